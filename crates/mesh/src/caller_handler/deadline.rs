//! Deadlines of requests.

use fulmartrestle_core::TimeUs;

/// Deadline of callers that send none, in milliseconds: the longest of the usual deadlines.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Time for the final response to reach the caller, in milliseconds.
const RESPONSE_MARGIN_MS: u64 = 4;

/// Returns the latest time of the final response: the caller's deadline or the route's timeout, whichever comes
/// first.
pub fn response_deadline(arrived: TimeUs, deadline_ms: Option<u64>, timeout_ms: Option<u64>) -> TimeUs {
    let deadline_ms = deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS).saturating_sub(RESPONSE_MARGIN_MS);
    arrived.plus_ms(deadline_ms.min(timeout_ms.unwrap_or(u64::MAX)))
}

/// Returns how long the body of a response may take, in milliseconds since the request arrived. The timeout of the route
/// concerns the start of the response only, since a large body may take a slow caller longer.
pub fn body_limit_ms(deadline_ms: Option<u64>) -> u64 {
    deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS)
}
