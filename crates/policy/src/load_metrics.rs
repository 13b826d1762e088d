//! What a target says about its load in its responses.

use fulmartrestle_derive::local;

/// The load of a target as it states it. Any of the figures may be false.
#[local]
#[derive(Copy, Eq)]
pub struct LoadMetrics {
    /// Requests that the target is running.
    pub running: u32,
    /// Requests that the target has accepted and not started.
    pub waiting: u32,
    /// Requests that the target can run concurrently.
    pub slots: u32,
    /// How long work takes at present, in percent of what is normal on all targets; `None` if it is not stated.
    pub pace_percent: Option<u32>,
}
