//! Keys of tenants.

use fulmartrestle_core::{Tenant, text_id};
use fulmartrestle_derive::{local, record};

use super::{KeyHash, Row};

text_id!(
    /// Names a key without giving away its secret.
    KeyId,
    "key id"
);

impl KeyId {
    /// Returns the name of the key with `hash`: its first eight bytes as digits.
    pub fn from_hash(hash: &KeyHash) -> Self {
        let digits = hash.to_string();
        let text = format!("k-{}", &digits[..16]);
        // Digits and a dash are always a valid identifier.
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
    /// The key's name.
    pub key_id: KeyId,
    /// The tenant whose calls present the key.
    pub tenant: Tenant,
    /// Whether the key has stopped working. Withdrawn keys stay, so that none comes back.
    pub withdrawn: bool,
}

impl Row for KeyRow {
    type Key = KeyHash;

    fn key(&self) -> &KeyHash {
        &self.hash
    }
}

/// What a valid key stands for.
#[local]
#[derive(Copy, Eq)]
pub struct KeyMatch<'c> {
    /// The key's name.
    pub key_id: &'c KeyId,
    /// The tenant whose calls present the key.
    pub tenant: &'c Tenant,
}
