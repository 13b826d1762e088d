//! What a stand-in target is told to do wrong.

use fulmartrestle_derive::record;

/// The behaviour in force. The default is a target without faults.
#[record]
#[serde(default, deny_unknown_fields)]
pub struct TargetBehaviour {
    /// Stretches the service time; 1 is normal.
    pub slow_factor: f64,
    /// Refuses every request with 503, without running it.
    pub refusing: bool,
    /// Holds each answer back for this time after the work is done and its slot is free.
    pub late_ms: u64,
    /// Load that `GET /load` reports in place of the real one; 1 means that all slots are in use.
    pub reported_load: Option<f64>,
    /// Health that `GET /health` reports in place of the real one.
    pub reported_healthy: Option<bool>,
    /// Announces that the target is leaving. It goes on answering.
    pub draining: bool,
    /// Ends each answer's body after half of the announced length.
    pub cut_answers: bool,
    /// A request that carries this marker in its path or in the header `x-standin-marker` crashes the
    /// target: its listener and all its connections are gone.
    pub crash_marker: Option<String>,
    /// Time after a crash until the target listens again on the same address; `None` stays down.
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
            crash_marker: None,
            restart_after_ms: None,
        }
    }
}
