//! Hashes by which requests that crash targets are recognised.

use fulmartrestle_core::{Fingerprint, Tenant};

/// Leading bytes of the body that count. A caller that sends a request again sends the same ones.
const MAX_BODY_BYTES: usize = 4_096;

/// Returns the fingerprint of a request.
pub fn fingerprint(method: &str, path: &str, tenant: Option<&Tenant>, body: &[u8]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    for part in [method, path, tenant.map_or("", Tenant::as_str)] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&body[..body.len().min(MAX_BODY_BYTES)]);
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    Fingerprint(u64::from_le_bytes(bytes))
}
