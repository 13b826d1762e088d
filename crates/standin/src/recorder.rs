//! The tables in which a target records what reaches it.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Instant;

use http::request::Parts;

use crate::{CallKey, CallRuns, IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, RecordedRequest, TargetStats};

/// Requests that are kept whole; older ones only count.
const MAX_SEEN_REQUESTS: usize = 256;

/// Headers that carry callers' keys.
const KEY_HEADERS: [&str; 2] = ["authorization", "x-api-key"];

/// Tables of one target. The tables by request grow for as long as the target lives.
#[derive(Debug, Default)]
pub(crate) struct Recorder {
    summary: TargetStats,
    key_headers: BTreeSet<String>,
    seen: VecDeque<RecordedRequest>,
    arrivals: HashMap<CallKey, u32>,
    runs: HashMap<CallKey, CallRuns>,
    runs_by_idempotency_key: HashMap<String, u32>,
    leaving_since: Option<Instant>,
}

impl Recorder {
    /// Counts an arrival.
    pub(crate) fn received(&mut self, parts: &Parts, key_markers: &[String], now: Instant) {
        self.summary.received += 1;
        self.record_keys(parts, key_markers);
        *self.arrivals.entry(call_key(parts)).or_default() += 1;
        if let Some(since) = self.leaving_since {
            self.summary.received_while_leaving += 1;
            self.summary.last_arrival_after_leaving_ms = now.duration_since(since).as_millis() as u64;
        }
        if self.seen.len() == MAX_SEEN_REQUESTS {
            self.seen.pop_front();
        }
        self.seen.push_back(seen_request(parts));
    }

    fn record_keys(&mut self, parts: &Parts, key_markers: &[String]) {
        let names = parts.headers.iter().filter(|(name, value)| {
            let text = String::from_utf8_lossy(value.as_bytes());
            KEY_HEADERS.contains(&name.as_str()) || key_markers.iter().any(|marker| text.contains(marker.as_str()))
        });
        let mut names: Vec<_> = names.map(|(name, _)| name.as_str().to_owned()).collect();
        let target = parts.uri.to_string();
        if key_markers.iter().any(|marker| target.contains(marker.as_str())) {
            names.push("(path)".to_owned());
        }
        if !names.is_empty() {
            self.summary.keys_seen += 1;
            self.key_headers.extend(names);
        }
    }

    /// Counts a request that is refused without running.
    pub(crate) fn refused(&mut self) {
        self.summary.refused += 1;
    }

    /// Counts a request whose work begins.
    pub(crate) fn started(&mut self, parts: &Parts, now: Instant) {
        self.summary.started += 1;
        let key = call_key(parts);
        if key.request_id.is_empty() {
            self.summary.without_request_id += 1;
        } else {
            let runs = self.runs.entry(key).or_insert(CallRuns { count: 0, first_start: now });
            runs.count += 1;
        }
        if let Some(key) = header_text(parts, IDEMPOTENCY_KEY_HEADER) {
            *self.runs_by_idempotency_key.entry(key).or_default() += 1;
        }
    }

    /// Counts a request that was finished.
    pub(crate) fn finished(&mut self) {
        self.summary.finished += 1;
    }

    /// Counts a request whose call to another service failed.
    pub(crate) fn child_failed(&mut self) {
        self.summary.failed_children += 1;
    }

    /// Counts a crash.
    pub(crate) fn crashed(&mut self) {
        self.summary.crashes += 1;
    }

    /// Takes note of whether the target is leaving.
    pub(crate) fn set_leaving(&mut self, leaving: bool, now: Instant) {
        self.leaving_since = leaving.then(|| self.leaving_since.unwrap_or(now));
    }

    /// Returns the summary so far; the caller fills in what is running and queued.
    pub(crate) fn summary(&self) -> TargetStats {
        let twice = self.runs_by_idempotency_key.iter().filter(|(_, runs)| **runs > 1);
        let ran_twice: BTreeMap<_, _> = twice.map(|(key, runs)| (key.clone(), *runs)).collect();
        let key_headers = self.key_headers.iter().cloned().collect();
        TargetStats { ran_twice, key_headers, ..self.summary.clone() }
    }

    /// Returns the last requests, oldest first.
    pub(crate) fn seen(&self) -> Vec<RecordedRequest> {
        self.seen.iter().cloned().collect()
    }

    /// Returns how often each call arrived.
    pub(crate) fn arrivals(&self) -> HashMap<CallKey, u32> {
        self.arrivals.clone()
    }

    /// Returns how often the work of each call began.
    pub(crate) fn runs(&self) -> HashMap<CallKey, CallRuns> {
        self.runs.clone()
    }

    /// Returns how often the work for each idempotency key began.
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

fn seen_request(parts: &Parts) -> RecordedRequest {
    let header = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        (name.as_str().to_owned(), String::from_utf8_lossy(value.as_bytes()).into_owned())
    };
    RecordedRequest {
        method: parts.method.to_string(),
        path: parts.uri.path_and_query().map(ToString::to_string).unwrap_or_default(),
        headers: parts.headers.iter().map(header).collect(),
    }
}
