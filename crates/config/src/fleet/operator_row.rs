//! Operators and their keys, which are separate from tenants' keys.

use fulmartrestle_core::text_id;
use fulmartrestle_derive::record;

use super::{KeyHash, Row};

text_id!(
    /// Identifies an operator. Every plan states the operator who created it.
    OperatorName,
    "operator name"
);

/// An operator with the hash of the operator's key.
#[record]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct OperatorRow {
    /// The operator's name.
    pub name: OperatorName,
    /// Hash of the key that the operator presents.
    pub hash: KeyHash,
}

impl Row for OperatorRow {
    type Key = OperatorName;

    fn key(&self) -> &OperatorName {
        &self.name
    }
}
