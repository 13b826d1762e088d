//! What a target saw.

use std::collections::BTreeMap;

use fulmartrestle_derive::record;

/// One request as it arrived.
#[record]
pub struct RecordedRequest {
    /// Method of the request.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// All headers, in the order in which they came.
    pub headers: Vec<(String, String)>,
}

/// Summary of what reached a target. A request is received, then either refused or started; one that
/// was started and not finished was cancelled, failed, cut off by a crash, or is still running.
#[record]
#[derive(Default)]
pub struct TargetStats {
    /// Requests that arrived.
    pub received: u64,
    /// Requests that were refused without running.
    pub refused: u64,
    /// Requests whose work began.
    pub started: u64,
    /// Requests whose work was finished and answered.
    pub finished: u64,
    /// Requests that failed because a call to another service failed.
    pub failed_children: u64,
    /// Crashes.
    pub crashes: u64,
    /// Requests that carried a caller's key.
    pub keys_seen: u64,
    /// Names of the headers in which keys were seen.
    pub key_headers: Vec<String>,
    /// Idempotency keys whose request was started more than once, with the number of starts.
    pub ran_twice: BTreeMap<String, u32>,
    /// Starts of requests that carried no request id can't be told apart; their number.
    pub without_request_id: u64,
    /// Requests that arrived while the target was leaving.
    pub received_while_leaving: u64,
    /// Time from the start of leaving to the last such arrival, in milliseconds.
    pub last_arrival_after_leaving_ms: u64,
    /// Requests in work.
    pub running: u64,
    /// Requests that wait for a slot.
    pub queued: u64,
}
