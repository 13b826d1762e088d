//! Keys of tenants.

use fulmartrestle_core::{Tenant, text_id};
use fulmartrestle_derive::{local, record};

use super::{KeyHash, Row};

text_id!(
    /// Identifies a key without revealing its secret.
    KeyId,
    "key id"
);

impl KeyId {
    /// Returns the id of the key with `hash`: `k-` and the first eight bytes of the hash in hexadecimal.
    pub fn from_hash(hash: &KeyHash) -> Self {
        let digits = hash.to_string();
        let text = format!("k-{}", &digits[..16]);
        // Hexadecimal digits and a dash are always a valid identifier.
        text.parse().unwrap_or_else(|_| unreachable!())
    }
}

/// One key of one tenant.
#[record]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct KeyRow {
    /// Hash of the key's secret.
    pub hash: KeyHash,
    /// The key's id.
    pub key_id: KeyId,
    /// The tenant whose calls present the key.
    pub tenant: Tenant,
    /// Whether the key is withdrawn. The rows of withdrawn keys stay, so that such a key can't be granted again.
    pub withdrawn: bool,
}

impl Row for KeyRow {
    type Key = KeyHash;

    fn key(&self) -> &KeyHash {
        &self.hash
    }
}

/// The result of looking up a valid key.
#[local]
#[derive(Copy, Eq)]
pub struct KeyMatch<'c> {
    /// The key's id.
    pub key_id: &'c KeyId,
    /// The tenant whose calls present the key.
    pub tenant: &'c Tenant,
}
