//! Limit of a target's capacity by the processor of its node.
//!
//! Load pattern: a target has free slots, and its node, which handles its calls with a fraction of a core, has no time left.
//! Calls wait inside the node then, each of a chain several times, and requests with long chains fail at their deadlines
//! after most of their work was done. The processor time that the present calls take shows how many the node can carry.

use fulmartrestle_derive::local;

/// Share of the time for which a node may be busy. A call takes a tenth of a millisecond of it, so that a ready task waits
/// for few milliseconds up to here, and for many above.
const MAX_BUSY: f64 = 0.95;

/// Share of the time from which on the capacity is limited. Below it, the time per call is not measured well, since a part
/// of it does not depend on the calls.
const MIN_BUSY: f64 = 0.5;

/// Mean time that a ready task may wait, in microseconds. A request with a long chain waits twenty times.
const MAX_WAIT_US: f64 = 6_000.0;

/// Wait that stands for twice the load that the node carries, in microseconds. The true load of a saturated node is not
/// known, because what is not done takes no time.
const DOUBLE_LOAD_WAIT_US: f64 = 100_000.0;

/// Highest load that is assumed of a saturated node, so that one long pause does not close it.
const MAX_LOAD: f64 = 1.5;

/// Smallest share of the time that is left to the target's calls, so that the requests of callers on the node's own VM do
/// not take the target out of use.
const MIN_TARGET_SHARE: f64 = 0.1;

/// What a node has done with its processor since it started.
#[local]
#[derive(Copy, Default)]
pub struct ProcessorWork {
    /// Time in which the node's thread ran or was ready to run, in microseconds.
    pub busy_us: u64,
    /// Calls to and from its target.
    pub target_calls: u64,
    /// Requests of callers on its VM.
    pub caller_requests: u64,
    /// Number of times at which the wait of a ready task was measured.
    pub waits: u64,
    /// Sum of these waits, in microseconds.
    pub waited_us: u64,
}

/// Estimates how much of its present demand a node can carry.
#[derive(Debug, Default)]
pub(super) struct ProcessorLimit {
    at_window_start: ProcessorWork,
    busy: f64,
    target_calls: f64,
    caller_requests: f64,
    wait_us: f64,
}

impl ProcessorLimit {
    /// Adds the work of a window of `elapsed_us` microseconds, with `weight` in the smoothed figures. `work` is what the
    /// node has done since its start.
    pub fn close_window(&mut self, work: ProcessorWork, elapsed_us: f64, weight: f64) {
        let since = |now: u64, before: u64| now.saturating_sub(before) as f64;
        let started = std::mem::replace(&mut self.at_window_start, work);
        let busy = (since(work.busy_us, started.busy_us) / elapsed_us).min(1.0);
        self.busy += (busy - self.busy) * weight;
        let target_calls = since(work.target_calls, started.target_calls);
        self.target_calls += (target_calls - self.target_calls) * weight;
        let caller_requests = since(work.caller_requests, started.caller_requests);
        self.caller_requests += (caller_requests - self.caller_requests) * weight;
        let waits = since(work.waits, started.waits);
        if waits > 0.0 {
            self.wait_us += (since(work.waited_us, started.waited_us) / waits - self.wait_us) * weight;
        }
    }

    /// Returns the part of the present demand that the node can carry, above 1 if it can carry more; `None` while it is
    /// not limited.
    pub fn sustainable_share(&self) -> Option<f64> {
        let calls = self.target_calls + self.caller_requests;
        if self.busy < MIN_BUSY || self.target_calls <= 0.0 {
            return None;
        }
        let busy_by_target = self.busy * self.target_calls / calls;
        let room = (MAX_BUSY - (self.busy - busy_by_target)).max(MIN_TARGET_SHARE);
        let excess_us = (self.wait_us - MAX_WAIT_US).max(0.0);
        let load = (1.0 + excess_us / DOUBLE_LOAD_WAIT_US).min(MAX_LOAD);
        Some(room / (busy_by_target * load))
    }
}
