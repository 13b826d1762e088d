//! The identity of a call that must run at most once.

use fulmartrestle_core::{ParseError, RouteId, Tenant};
use fulmartrestle_derive::value;

/// Bytes of a claim key. At 10^9 keys in a window two collide with a chance of about 10^-21.
const KEY_BYTES: usize = 16;

/// Hash of a tenant, a route and the caller's idempotency key.
#[value]
#[serde(transparent)]
pub struct ClaimKey(pub [u8; KEY_BYTES]);

impl ClaimKey {
    /// Returns the key of a call. Each part is preceded by its length, so that no two different
    /// calls yield the same input.
    pub fn new(tenant: &Tenant, route: &RouteId, idempotency_key: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [tenant.as_str(), route.as_str(), idempotency_key] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let mut bytes = [0; KEY_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }
}

impl std::fmt::Display for ClaimKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl std::str::FromStr for ClaimKey {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = u128::from_str_radix(text, 16).map_err(|_| ParseError::not_a("claim key", text))?;
        Ok(Self(number.to_be_bytes()))
    }
}
