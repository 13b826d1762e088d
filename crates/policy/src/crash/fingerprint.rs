//! Fingerprints that identify repeated requests which crash targets.

use fulmartrestle_core::{Fingerprint, Tenant};

/// Number of leading body bytes that are hashed. A caller that retries a request sends the same bytes again.
const HASHED_BODY_BYTES: usize = 4_096;

/// Returns a hash of the method, location, tenant and first bytes of the body. The location is the path, preceded by
/// the host where routes differ by host.
///
/// The first three are prefixed with their lengths, so that different splits don't collide.
pub fn request_fingerprint(method: &str, location: &str, tenant: Option<&Tenant>, body: &[u8]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    for part in [method, location, tenant.map_or("", Tenant::as_str)] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&body[..body.len().min(HASHED_BODY_BYTES)]);
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    Fingerprint(u64::from_le_bytes(bytes))
}
