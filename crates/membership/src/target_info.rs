//! What a member says about its target.

use fulmartrestle_core::Service;
use fulmartrestle_derive::record;

/// The target that a member serves, as the target announced itself to its node.
#[record]
pub struct TargetInfo {
    /// The service it offers.
    pub service: Service,
    /// Calls it can run at the same time.
    pub slots: u32,
    /// Connections it can hold.
    pub connections: u32,
    /// Time it takes to warm up, in milliseconds.
    pub warm_up_ms: u32,
    /// Whether it takes no new work because it is leaving.
    pub leaving: bool,
    /// Time since it started to take work, in milliseconds, as of the moment the row was made.
    pub age_ms: u32,
}
