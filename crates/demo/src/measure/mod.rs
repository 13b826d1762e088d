//! Tables of what callers and targets saw, and functions that measure and judge by them.

mod fairness;
mod goodput;
mod invariants;
mod rate;
mod request_row;
mod send_row;
mod summary;
mod target_view;
mod violation;

pub use fairness::{TenantGoodput, worst_share};
pub use goodput::recovery_ms;
pub use rate::{Admission, RateLimit, conforming, late_admissions};
pub(crate) use request_row::{RequestRow, requests};
pub use send_row::SendRow;
pub use summary::{RunRecord, summarize};
pub use target_view::TargetView;
pub use violation::{Invariant, Violation};
