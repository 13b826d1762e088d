//! When a request is given up.

use fulmartrestle_core::TimeUs;

/// Time that a caller who names no deadline is taken to wait, in milliseconds: the longest of usual
/// deadlines.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Time that the final answer needs to be with the caller, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 4;

/// Returns when a request gets its final answer at the latest: at the caller's deadline or at the
/// route's timeout, whichever is first.
pub fn response_deadline(arrived: TimeUs, deadline_ms: Option<u64>, timeout_ms: Option<u64>) -> TimeUs {
    let deadline_ms = deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS).saturating_sub(ANSWER_MARGIN_MS);
    arrived.plus_ms(deadline_ms.min(timeout_ms.unwrap_or(u64::MAX)))
}
