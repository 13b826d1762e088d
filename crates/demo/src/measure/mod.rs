//! Records of callers and targets, and functions that compute measurements and check invariants on them.

mod fairness;
mod goodput;
mod invariants;
mod rate;
mod request_row;
mod send_row;
mod summary;
mod target_records;
mod violation;

pub use fairness::{TenantGoodput, worst_tenant_share};
pub use goodput::recovery_ms;
pub use rate::{Admission, RateLimit, check_conformance, count_rate_violations};
pub(crate) use request_row::{RequestRow, join_sends};
pub use send_row::SendRow;
pub use summary::{RunRecord, summarize};
pub use target_records::TargetRecords;
pub use violation::{Invariant, Violation};
