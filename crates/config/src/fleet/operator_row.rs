//! Operators and their keys, apart from tenants' keys.

use fulmartrestle_core::text_id;
use fulmartrestle_derive::record;

use super::{KeyHash, Row};

text_id!(
    /// Names an operator; every plan carries who made it.
    OperatorName,
    "operator name"
);

/// One operator's key.
#[record]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct OperatorRow {
    /// The operator.
    pub name: OperatorName,
    /// Hash of the secret that the operator presents.
    pub hash: KeyHash,
}

impl Row for OperatorRow {
    type Key = OperatorName;

    fn key(&self) -> &OperatorName {
        &self.name
    }
}
