//! Target that a member publishes in its row.

use fulmartrestle_core::Service;
use fulmartrestle_derive::record;

/// Capacity and state of the target that a member serves, as the target announced them to its node.
#[record]
pub struct TargetInfo {
    /// Service that the target offers.
    pub service: Service,
    /// Number of calls that the target can run concurrently.
    pub slots: u32,
    /// Number of connections that the target can hold open.
    pub connections: u32,
    /// Warm-up time of the target, in milliseconds.
    pub warm_up_ms: u32,
    /// Whether the target is leaving and accepts no new work.
    pub leaving: bool,
    /// Time since the target started to accept work, in milliseconds, at the moment when the row was created.
    pub age_ms: u32,
}
