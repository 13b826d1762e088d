//! Requests that were not served in time.

use std::collections::BTreeMap;

use fulmartrestle_derive::record;

/// Outcomes of a set of requests, and the reasons of those that were lost.
#[record]
#[derive(Default, Eq)]
pub struct Losses {
    /// Requests that ended.
    pub requests: u64,
    /// Requests answered within their latency objective.
    pub in_time: u64,
    /// Requests answered later.
    pub late: u64,
    /// Sum of the times until the responses, in milliseconds.
    pub answered_ms: u64,
    /// Requests that were not answered by a target, by reason.
    pub unserved: BTreeMap<String, u64>,
}

impl Losses {
    /// Adds the outcomes of other requests.
    pub fn add(&mut self, other: &Losses) {
        self.requests += other.requests;
        self.in_time += other.in_time;
        self.late += other.late;
        self.answered_ms += other.answered_ms;
        for (reason, count) in &other.unserved {
            *self.unserved.entry(reason.clone()).or_default() += count;
        }
    }

    /// Returns the number of requests that were late or not served.
    pub fn lost(&self) -> u64 {
        self.requests - self.in_time
    }

    /// Returns the share of requests that were served in time; 1 without requests.
    pub fn share_in_time(&self) -> f64 {
        if self.requests == 0 { 1.0 } else { self.in_time as f64 / self.requests as f64 }
    }

    /// Returns the mean time until a response, in milliseconds; 0 without responses.
    pub fn mean_answered_ms(&self) -> u64 {
        self.answered_ms / (self.in_time + self.late).max(1)
    }

    /// Returns why requests were lost, the most frequent reason first; `late` is one of them.
    pub fn reasons(&self) -> Vec<(&str, u64)> {
        let unserved = self.unserved.iter().map(|(reason, count)| (reason.as_str(), *count));
        let mut reasons: Vec<_> = unserved.chain([("late", self.late)]).filter(|(_, count)| *count > 0).collect();
        reasons.sort_by_key(|(reason, count)| (std::cmp::Reverse(*count), *reason));
        reasons
    }
}
