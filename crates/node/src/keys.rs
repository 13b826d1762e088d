//! Checks of callers' keys against the configuration in force.

use std::sync::Arc;

use fulmartrestle_config::FleetConfig;
use fulmartrestle_config::fleet::KeyHash;
use fulmartrestle_core::Tenant;
use http::HeaderMap;
use http::header::{AUTHORIZATION, HeaderName};

use crate::config::CurrentConfig;

/// Header that may carry the key in place of `Authorization`.
const API_KEY: HeaderName = HeaderName::from_static("x-api-key");

/// Scheme of the `Authorization` header that carries a key.
const BEARER_SCHEME_PREFIX: &str = "bearer ";

/// Tells whether a key still works. Calls that waited are checked again with it.
pub trait KeyCheck: Send + Sync {
    /// Returns whether the key with this hash is known and not withdrawn.
    fn is_active(&self, hash: &KeyHash) -> bool;
}

impl KeyCheck for CurrentConfig {
    fn is_active(&self, hash: &KeyHash) -> bool {
        let config: Arc<FleetConfig> = self.get();
        config.tenant_for_hash(hash).is_some()
    }
}

/// Returns the tenant that stands for callers without a key on routes open to all.
pub fn anonymous_tenant() -> Tenant {
    // A fixed text of allowed characters always parses.
    "open".parse().unwrap_or_else(|_| unreachable!())
}

/// Returns the hash of the key that a request presents, and removes every header that carries one.
/// Nothing behind the entry sees the key.
pub fn extract_key(headers: &mut HeaderMap) -> Option<KeyHash> {
    let bearer = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok()).and_then(bearer_key);
    let api_key = headers.get(&API_KEY).and_then(|value| value.to_str().ok());
    let hash = bearer.or(api_key).map(|key| KeyHash::from_key(key.trim()));
    headers.remove(AUTHORIZATION);
    headers.remove(&API_KEY);
    hash
}

fn bearer_key(value: &str) -> Option<&str> {
    let scheme = value.get(..BEARER_SCHEME_PREFIX.len())?;
    if scheme.eq_ignore_ascii_case(BEARER_SCHEME_PREFIX) { value.get(BEARER_SCHEME_PREFIX.len()..) } else { None }
}
