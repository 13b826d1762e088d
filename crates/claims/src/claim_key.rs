//! Keys of calls that must run at most once.

use fulmartrestle_core::{ParseError, RouteId, Tenant};
use fulmartrestle_derive::value;

/// Length of a claim key, in bytes. With 10^9 keys in a window, the probability that any two collide
/// is about 10^-21.
const KEY_BYTES: usize = 16;

/// Hash of the tenant, the route and the caller's idempotency key of a call.
#[value]
#[serde(transparent)]
pub struct ClaimKey(pub [u8; KEY_BYTES]);

impl ClaimKey {
    /// Returns the key of a call. Each part is hashed with its length as a prefix, so that different
    /// calls never have the same hash input.
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
