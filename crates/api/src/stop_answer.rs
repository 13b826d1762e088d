//! Progress of a planned stop.

use fulmartrestle_derive::record;

/// State of a planned stop on one node. A stop is complete when no target in its scope runs a call.
#[record]
pub struct StopAnswer {
    /// Name of the stop.
    pub stop: String,
    /// Zone, service or target to stop.
    pub scope: String,
    /// Time of the stop in UTC.
    pub utc_time: String,
    /// Time of the stop in the operator's time zone, with offset and zone name.
    pub local_time: String,
    /// Whether the time of the stop has passed.
    pub due: bool,
    /// Whether the responding node's own target is in scope.
    pub includes_own_target: bool,
    /// Whether the own target has no running calls; absent if it is not in scope.
    pub own_target_drained: Option<bool>,
}
