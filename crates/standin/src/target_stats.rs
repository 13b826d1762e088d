//! Records and counters of the requests that reached a target.

use std::collections::BTreeMap;

use fulmartrestle_derive::record;

/// A request as it arrived.
#[record]
pub struct RecordedRequest {
    /// Method of the request.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// Names and values of all headers, in order of arrival.
    pub headers: Vec<(String, String)>,
}

/// Counters of the requests that reached a target. A received request is either refused or started. One that
/// was started but not finished was cancelled, failed, was aborted by a crash, or is still running.
#[record]
#[derive(Default)]
pub struct TargetStats {
    /// Requests that arrived.
    pub received: u64,
    /// Requests that were refused without running.
    pub refused: u64,
    /// Requests whose work started.
    pub started: u64,
    /// Requests whose work finished and that got a response.
    pub finished: u64,
    /// Requests that failed because a call to another service failed.
    pub failed_children: u64,
    /// Crashes of the target.
    pub crashes: u64,
    /// Requests that contained a caller's API key.
    pub keys_seen: u64,
    /// Names of the headers that contained a key; `(path)` stands for the URL.
    pub key_headers: Vec<String>,
    /// Idempotency keys whose work was started more than once, with the number of starts.
    pub ran_twice: BTreeMap<String, u32>,
    /// Starts of requests without a request id. They are counted here because their runs can't be told apart.
    pub without_request_id: u64,
    /// Requests that arrived while the target was leaving.
    pub received_while_leaving: u64,
    /// Time from the moment at which the target began to leave to the last later arrival, in milliseconds.
    pub last_arrival_after_leaving_ms: u64,
    /// Requests that hold a slot at present.
    pub running: u64,
    /// Requests that wait for a slot at present.
    pub queued: u64,
}
