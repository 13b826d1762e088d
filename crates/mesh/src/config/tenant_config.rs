//! One tenant and its keys.

use fulmartrestle_core::{RatePerS, Tenant, Tokens};

/// A caller's key. Its text is never printed.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(String);

impl ApiKey {
    /// Wraps a key.
    pub fn new(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl std::fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ApiKey(hidden)")
    }
}

/// A tenant: who may send with which keys, and how much.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantConfig {
    /// The tenant's name.
    pub tenant: Tenant,
    /// Its keys.
    pub keys: Vec<ApiKey>,
    /// Urgency of all its requests; it goes before the routes'.
    pub priority: Option<u8>,
    /// Requests per second over the whole fleet; zero means no limit.
    pub rate_per_s: RatePerS,
    /// Requests that may come at once after a pause.
    pub burst: Tokens,
}
