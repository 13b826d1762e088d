//! The answer to an intent.

use fulmartrestle_config::plan::{Plan, RowDiff};
use fulmartrestle_derive::record;

/// A plan, what it changes, and the secrets that are shown once.
#[record]
pub struct PlanAnswer {
    /// The plan. It takes effect when it is confirmed.
    pub plan: Plan,
    /// The rows before and after.
    pub diff: Vec<RowDiff>,
    /// Keys that the plan grants. Their secrets are kept nowhere.
    pub granted: Vec<GrantedKeyAnswer>,
}

/// A granted key.
#[record]
pub struct GrantedKeyAnswer {
    /// The key's name.
    pub key_id: String,
    /// The tenant.
    pub tenant: String,
    /// The secret that callers present.
    pub secret: String,
}
