//! Response to an intent.

use fulmartrestle_config::plan::{Plan, RowDiff};
use fulmartrestle_derive::record;

/// A plan, its changes, and the secrets of new keys, which are shown only once.
#[record]
pub struct PlanAnswer {
    /// The plan, which takes effect when it is confirmed.
    pub plan: Plan,
    /// Changed rows with their values before and after.
    pub diff: Vec<RowDiff>,
    /// Keys that the plan grants. Their secrets are not stored.
    pub granted: Vec<GrantedKeyAnswer>,
}

/// A key that a plan grants.
#[record]
pub struct GrantedKeyAnswer {
    /// Identifier of the key, which is not secret.
    pub key_id: String,
    /// Tenant whose callers use the key.
    pub tenant: String,
    /// The secret that callers present.
    pub secret: String,
}
