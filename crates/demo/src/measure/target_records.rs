//! Merged records of all targets.

use std::collections::HashMap;
use std::time::Instant;

use fulmartrestle_standin::{CallKey, StandinTarget};

/// Records of all targets, merged over the fleet.
#[derive(Clone, Debug, Default)]
pub struct TargetRecords {
    /// When a target first started each send, by request id, in microseconds since the start of the load.
    pub first_start_us: HashMap<String, u64>,
    /// Attempts beyond the first of each call, summed over the call chain by request id.
    pub extra_attempts: HashMap<String, u32>,
    /// Number of idempotency keys whose request was started more than once.
    pub ran_twice: u64,
    /// Number of requests that carried a caller's API key.
    pub keys_seen: u64,
    /// Longest time from the start of a target's draining to a new request at that target, in milliseconds.
    pub last_arrival_after_leaving_ms: u64,
}

impl TargetRecords {
    /// Merges the records of all targets. `started` is the start of the load.
    pub(crate) fn collect(targets: &[StandinTarget], started: Instant) -> Self {
        let mut records = Self::default();
        records.merge_starts(targets, started);
        records.merge_attempts(targets);
        records.merge_runs(targets);
        for stats in targets.iter().map(|target| target.stats()) {
            records.keys_seen += stats.keys_seen;
            let last_ms = stats.last_arrival_after_leaving_ms;
            records.last_arrival_after_leaving_ms = records.last_arrival_after_leaving_ms.max(last_ms);
        }
        records
    }

    fn merge_starts(&mut self, targets: &[StandinTarget], started: Instant) {
        for (key, runs) in targets.iter().flat_map(|target| target.runs_by_call()) {
            let start_us = runs.first_start.saturating_duration_since(started).as_micros() as u64;
            let first = self.first_start_us.entry(key.request_id).or_insert(start_us);
            *first = start_us.min(*first);
        }
    }

    fn merge_attempts(&mut self, targets: &[StandinTarget]) {
        let mut arrivals: HashMap<CallKey, u32> = HashMap::new();
        for (key, count) in targets.iter().flat_map(|target| target.arrivals_by_call()) {
            *arrivals.entry(key).or_default() += count;
        }
        for (key, count) in arrivals {
            *self.extra_attempts.entry(key.request_id).or_default() += count - 1;
        }
    }

    fn merge_runs(&mut self, targets: &[StandinTarget]) {
        let mut runs: HashMap<String, u32> = HashMap::new();
        for (key, count) in targets.iter().flat_map(|target| target.runs_by_idempotency_key()) {
            *runs.entry(key).or_default() += count;
        }
        self.ran_twice = runs.values().filter(|count| **count > 1).count() as u64;
    }
}
