//! Secrets of keys, and the hashes that are stored instead of them.

use super::bytes_newtype;

/// Separates hashes of keys from other uses of the hash function.
const KEY_HASH_CONTEXT: [u8; 32] = *b"fulmartrestle caller key hash v1";

/// Number of random bytes in a secret. They can't be guessed, so a fast hash is enough to hide the secret.
pub const KEY_SECRET_BYTES: usize = 32;

bytes_newtype!(
    /// Hash of a key's secret. Secrets themselves are never stored; see `docs/KEYS.md`.
    KeyHash,
    32,
    "key hash"
);

impl KeyHash {
    /// Hashes a key as a caller presents it.
    pub fn from_key(presented: &str) -> Self {
        Self(*blake3::keyed_hash(&KEY_HASH_CONTEXT, presented.as_bytes()).as_bytes())
    }
}

/// The secret of a new key. It is shown once, to the operator who granted the key. The `Debug` output hides it, so
/// that it can't end up in a log by accident.
#[derive(Clone, PartialEq, Eq)]
pub struct KeySecret(String);

impl KeySecret {
    /// Encodes random bytes as a secret.
    pub fn from_bytes(bytes: [u8; KEY_SECRET_BYTES]) -> Self {
        use std::fmt::Write;
        let mut text = String::from("fk_");
        for byte in bytes {
            // Writing to a `String` can't fail.
            let _ = write!(text, "{byte:02x}");
        }
        Self(text)
    }

    /// Returns the text that callers present.
    pub fn expose_secret(&self) -> &str {
        &self.0
    }

    /// Returns the hash that is stored instead of the secret.
    pub fn hash(&self) -> KeyHash {
        KeyHash::from_key(&self.0)
    }
}

impl std::fmt::Debug for KeySecret {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("KeySecret(hidden)")
    }
}
