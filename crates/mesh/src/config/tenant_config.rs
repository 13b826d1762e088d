//! Tenants and their API keys.

use fulmartrestle_core::{RateMilliPerS, Tenant, Tokens};

/// An API key of a caller. Its `Debug` output hides the key.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(String);

impl ApiKey {
    /// Wraps the text of a key.
    pub fn new(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl std::fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ApiKey(hidden)")
    }
}

/// A tenant with its API keys, priority and rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantConfig {
    /// Name of the tenant.
    pub tenant: Tenant,
    /// API keys that identify the tenant.
    pub keys: Vec<ApiKey>,
    /// Priority of all its requests; takes precedence over the priority of the route.
    pub priority: Option<u8>,
    /// Rate of requests over the whole fleet; 0 means no limit.
    pub rate: RateMilliPerS,
    /// Requests above the rate that may arrive at once after a pause.
    pub burst: Tokens,
}
