//! Retries, with a bound on their number across the whole chain. See `docs/RETRIES.md`.

mod allowance;
mod budgets;
mod decision;
mod fleet_budgets;

pub use allowance::{RetryAllowance, RetryReservation};
pub use budgets::{RetryBudgetSettings, RetryBudgets};
pub use decision::{AttemptResult, FailedAttempt, RetryContext, RetryDecision, decide_retry};
pub use fleet_budgets::FleetRetryBudgets;
