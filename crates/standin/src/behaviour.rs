//! Faults that a stand-in target injects.

use fulmartrestle_derive::record;

/// Behaviour of a target, which can change at run time. The default has no faults.
#[record]
#[serde(default, deny_unknown_fields)]
pub struct TargetBehaviour {
    /// Factor on the service time; 1 is normal.
    pub slow_factor: f64,
    /// Refuses every request with status 503, without running it.
    pub refusing: bool,
    /// Delay of each response, in milliseconds, after its work is done and its slot is free.
    pub late_ms: u64,
    /// Load that `GET /load` reports instead of the real one; 1 means that all slots are in use.
    pub reported_load: Option<f64>,
    /// Health that `GET /health` reports instead of the real one.
    pub reported_healthy: Option<bool>,
    /// Announces that the target is leaving. It still serves requests.
    pub draining: bool,
    /// Truncates each response body to half of the announced length.
    pub cut_answers: bool,
    /// Runs each call and closes its connection without a response.
    pub drop_answers: bool,
    /// A crashed target keeps its port: connections are accepted and wait for the restart.
    pub keep_port: bool,
    /// A request with this marker in its URL or in the header `x-standin-marker` crashes the target, which
    /// closes its listener and all its connections.
    pub crash_marker: Option<String>,
    /// Time from a crash to the restart on the same address, in milliseconds. `None` means no restart.
    pub restart_after_ms: Option<u64>,
}

impl Default for TargetBehaviour {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            refusing: false,
            late_ms: 0,
            reported_load: None,
            reported_healthy: None,
            draining: false,
            cut_answers: false,
            drop_answers: false,
            keep_port: false,
            crash_marker: None,
            restart_after_ms: None,
        }
    }
}
