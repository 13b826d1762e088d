//! Secrets of keys, and the hashes that are kept in their place.

use super::bytes_newtype;

/// Separates hashes of keys from all other uses of the hash function.
const KEY_HASH_CONTEXT: [u8; 32] = *b"fulmartrestle caller key hash v1";

/// Random bytes in a secret: too many to guess, so that a plain fast hash hides it.
pub const KEY_SECRET_BYTES: usize = 32;

bytes_newtype!(
    /// Hash of a key's secret. Secrets themselves are never kept; see `docs/KEYS.md`.
    KeyHash,
    32,
    "key hash"
);

impl KeyHash {
    /// Returns the hash of a key as a caller presents it.
    pub fn from_key(presented: &str) -> Self {
        Self(*blake3::keyed_hash(&KEY_HASH_CONTEXT, presented.as_bytes()).as_bytes())
    }
}

/// The secret of a new key. It is shown once, to the operator who granted the key; its `Debug` text
/// hides it, so that it can't reach a log by accident.
#[derive(Clone, PartialEq, Eq)]
pub struct KeySecret(String);

impl KeySecret {
    /// Returns the secret made of random bytes.
    pub fn from_bytes(bytes: [u8; KEY_SECRET_BYTES]) -> Self {
        use std::fmt::Write;
        let mut text = String::from("fk_");
        for byte in bytes {
            // Writing to a string can't fail.
            let _ = write!(text, "{byte:02x}");
        }
        Self(text)
    }

    /// Returns the text that callers present.
    pub fn expose_secret(&self) -> &str {
        &self.0
    }

    /// Returns the hash that is kept.
    pub fn hash(&self) -> KeyHash {
        KeyHash::from_key(&self.0)
    }
}

impl std::fmt::Debug for KeySecret {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("KeySecret(hidden)")
    }
}
