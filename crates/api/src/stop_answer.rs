//! How far a planned stop is.

use fulmartrestle_derive::record;

/// A planned stop as one node sees it. A stop is complete when no target in its scope runs a call.
#[record]
pub struct StopAnswer {
    /// The stop's name.
    pub stop: String,
    /// What stops.
    pub scope: String,
    /// When, in UTC.
    pub utc_time: String,
    /// When, as the operator gave it, with offset and zone.
    pub local_time: String,
    /// Whether its time has come.
    pub due: bool,
    /// Whether the answering node's own target is in its scope.
    pub includes_own_target: bool,
    /// Whether nothing runs any more on the own target; absent when it is not in the stop's scope.
    pub own_target_drained: Option<bool>,
}
