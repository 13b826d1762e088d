//! Events that the scenario runner records.

use fulmartrestle_derive::local;

/// Events of a scenario that the invariant checks need.
#[local]
#[derive(Default)]
pub struct ScenarioEvents {
    /// When the withdrawal of a key was confirmed, in microseconds since the start of the load.
    pub key_withdrawn_us: Option<u64>,
    /// Number of requests that were running or queued in targets that stopped after draining.
    pub interrupted_by_stop: u64,
}
