//! Recorder of the requests that reach a target.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Instant;

use http::request::Parts;

use crate::{CallKey, CallRuns, IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, RecordedRequest, TargetStats};

/// Requests that are kept in full; older ones are only counted.
const MAX_RECORDED_REQUESTS: usize = 256;

/// Headers that carry callers' API keys.
const KEY_HEADERS: [&str; 2] = ["authorization", "x-api-key"];

/// Records of one target. The maps by call and by idempotency key grow for as long as the target exists.
#[derive(Debug, Default)]
pub(crate) struct Recorder {
    stats: TargetStats,
    key_headers: BTreeSet<String>,
    recent_requests: VecDeque<RecordedRequest>,
    arrivals: HashMap<CallKey, u32>,
    runs: HashMap<CallKey, CallRuns>,
    runs_by_idempotency_key: HashMap<String, u32>,
    leaving_since: Option<Instant>,
}

impl Recorder {
    /// Records the arrival of a request. A header or URL that contains one of `key_markers` counts as a key.
    pub(crate) fn record_arrival(&mut self, parts: &Parts, key_markers: &[String], now: Instant) {
        self.stats.received += 1;
        self.record_api_keys(parts, key_markers);
        *self.arrivals.entry(call_key(parts)).or_default() += 1;
        if let Some(since) = self.leaving_since {
            self.stats.received_while_leaving += 1;
            self.stats.last_arrival_after_leaving_ms = now.duration_since(since).as_millis() as u64;
        }
        if self.recent_requests.len() == MAX_RECORDED_REQUESTS {
            self.recent_requests.pop_front();
        }
        self.recent_requests.push_back(recorded_request(parts));
    }

    fn record_api_keys(&mut self, parts: &Parts, key_markers: &[String]) {
        let names = parts.headers.iter().filter(|(name, value)| {
            let text = String::from_utf8_lossy(value.as_bytes());
            KEY_HEADERS.contains(&name.as_str()) || key_markers.iter().any(|marker| text.contains(marker.as_str()))
        });
        let mut names: Vec<_> = names.map(|(name, _)| name.as_str().to_owned()).collect();
        let url = parts.uri.to_string();
        if key_markers.iter().any(|marker| url.contains(marker.as_str())) {
            names.push("(path)".to_owned());
        }
        if !names.is_empty() {
            self.stats.keys_seen += 1;
            self.key_headers.extend(names);
        }
    }

    /// Counts a request that is refused without running.
    pub(crate) fn record_refusal(&mut self) {
        self.stats.refused += 1;
    }

    /// Records that the work of a request starts.
    pub(crate) fn record_start(&mut self, parts: &Parts, now: Instant) {
        self.stats.started += 1;
        let key = call_key(parts);
        if key.request_id.is_empty() {
            self.stats.without_request_id += 1;
        } else {
            let runs = self.runs.entry(key).or_insert(CallRuns { count: 0, first_start: now });
            runs.count += 1;
        }
        if let Some(key) = header_text(parts, IDEMPOTENCY_KEY_HEADER) {
            *self.runs_by_idempotency_key.entry(key).or_default() += 1;
        }
    }

    /// Counts a request whose work finished.
    pub(crate) fn record_finish(&mut self) {
        self.stats.finished += 1;
    }

    /// Counts a request whose call to another service failed.
    pub(crate) fn record_child_failure(&mut self) {
        self.stats.failed_children += 1;
    }

    /// Counts a crash.
    pub(crate) fn record_crash(&mut self) {
        self.stats.crashes += 1;
    }

    /// Records whether the target is leaving, and since when.
    pub(crate) fn set_leaving(&mut self, leaving: bool, now: Instant) {
        self.leaving_since = leaving.then(|| self.leaving_since.unwrap_or(now));
    }

    /// Returns the counters so far. The caller fills in `running` and `queued`.
    pub(crate) fn stats(&self) -> TargetStats {
        let repeated = self.runs_by_idempotency_key.iter().filter(|(_, runs)| **runs > 1);
        let ran_twice: BTreeMap<_, _> = repeated.map(|(key, runs)| (key.clone(), *runs)).collect();
        let key_headers = self.key_headers.iter().cloned().collect();
        TargetStats { ran_twice, key_headers, ..self.stats.clone() }
    }

    /// Returns the most recent requests, oldest first.
    pub(crate) fn recent_requests(&self) -> Vec<RecordedRequest> {
        self.recent_requests.iter().cloned().collect()
    }

    /// Returns the number of arrivals of each call.
    pub(crate) fn arrivals(&self) -> HashMap<CallKey, u32> {
        self.arrivals.clone()
    }

    /// Returns the runs of each call.
    pub(crate) fn runs(&self) -> HashMap<CallKey, CallRuns> {
        self.runs.clone()
    }

    /// Returns the number of runs for each idempotency key.
    pub(crate) fn runs_by_idempotency_key(&self) -> HashMap<String, u32> {
        self.runs_by_idempotency_key.clone()
    }
}

fn call_key(parts: &Parts) -> CallKey {
    let request_id = header_text(parts, REQUEST_ID_HEADER).unwrap_or_default();
    CallKey { request_id, path: parts.uri.path().to_owned() }
}

fn header_text(parts: &Parts, name: &str) -> Option<String> {
    let value = parts.headers.get(name)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

fn recorded_request(parts: &Parts) -> RecordedRequest {
    let header = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        (name.as_str().to_owned(), String::from_utf8_lossy(value.as_bytes()).into_owned())
    };
    RecordedRequest {
        method: parts.method.to_string(),
        path: parts.uri.path_and_query().map(ToString::to_string).unwrap_or_default(),
        headers: parts.headers.iter().map(header).collect(),
    }
}
