//! Retries, with a bound on their number across the whole chain. See `docs/RETRIES.md`.

mod allowance;
mod budgets;
mod decision;

pub use allowance::{RetryAllowance, RetryReservation};
pub use budgets::{RetryBudgetSettings, RetryBudgets};
pub use decision::{AttemptResult, FailedAttempt, RetryContext, RetryDecision, decide_retry};
