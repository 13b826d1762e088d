//! What the harness did during a run.

use fulmartrestle_derive::local;

/// Times and counts of the harness's own acts, for the checks.
#[local]
#[derive(Default)]
pub struct ScenarioEvents {
    /// When the withdrawal of a key was confirmed, in microseconds from the load's start.
    pub key_withdrawn_us: Option<u64>,
    /// Requests in work or waiting in targets that were stopped after they had left.
    pub interrupted_by_stop: u64,
}
