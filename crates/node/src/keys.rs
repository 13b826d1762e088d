//! Extraction of API keys from requests, and checks against the active configuration.

use std::sync::Arc;

use fulmartrestle_config::FleetConfig;
use fulmartrestle_config::fleet::KeyHash;
use fulmartrestle_core::Tenant;
use http::HeaderMap;
use http::header::{AUTHORIZATION, HeaderName};

use crate::config::CurrentConfig;

/// Header that may carry the API key instead of `Authorization`.
const API_KEY_HEADER: HeaderName = HeaderName::from_static("x-api-key");

/// Prefix of an `Authorization` header that carries an API key. It is matched case-insensitively.
const BEARER_SCHEME_PREFIX: &str = "bearer ";

/// Checks whether a key is valid. The gate checks the keys of queued calls again before it runs them.
pub trait KeyCheck: Send + Sync {
    /// Returns whether the key with this hash exists and is not withdrawn.
    fn is_active(&self, hash: &KeyHash) -> bool;
}

impl KeyCheck for CurrentConfig {
    fn is_active(&self, hash: &KeyHash) -> bool {
        let config: Arc<FleetConfig> = self.get();
        config.tenant_for_hash(hash).is_some()
    }
}

/// Returns the tenant used for callers without a key, on routes open to all.
pub fn anonymous_tenant() -> Tenant {
    // The literal contains only allowed characters, so it always parses.
    "open".parse().unwrap_or_else(|_| unreachable!())
}

/// Returns the hash of the request's API key, and removes all headers that can carry a key, so that nothing behind
/// the entry node receives it.
pub fn extract_key(headers: &mut HeaderMap) -> Option<KeyHash> {
    let bearer = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok()).and_then(bearer_key);
    let api_key = headers.get(&API_KEY_HEADER).and_then(|value| value.to_str().ok());
    let hash = bearer.or(api_key).map(|key| KeyHash::from_key(key.trim()));
    headers.remove(AUTHORIZATION);
    headers.remove(&API_KEY_HEADER);
    hash
}

fn bearer_key(value: &str) -> Option<&str> {
    let scheme = value.get(..BEARER_SCHEME_PREFIX.len())?;
    if scheme.eq_ignore_ascii_case(BEARER_SCHEME_PREFIX) { value.get(BEARER_SCHEME_PREFIX.len()..) } else { None }
}
