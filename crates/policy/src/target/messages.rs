//! What goes into the table of targets.

use fulmartrestle_core::{AvailabilityZone, Service, VmId};
use fulmartrestle_derive::{record, value};

/// A target as it was announced.
#[record]
#[derive(Eq)]
pub struct TargetRow {
    /// The target's VM.
    pub target: VmId,
    /// What it serves.
    pub service: Service,
    /// Where it is.
    pub zone: AvailabilityZone,
    /// Calls it says it can work on at once; zero when unknown.
    pub slots: u32,
    /// Time it takes to reach its full speed, in milliseconds.
    pub warm_up_ms: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// What a call needs of a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetRequirements<'a> {
    /// The service called.
    pub service: &'a Service,
    /// The zone that is preferred.
    pub own_zone: &'a AvailabilityZone,
    /// Targets that were tried before.
    pub exclude: &'a [VmId],
}

/// How a call to a target ended.
#[value]
pub struct CompletedCall {
    /// Time from sending the call to its end, in microseconds.
    pub latency_us: u64,
    /// What ended it.
    pub result: CallResult,
}

/// What ended a call to a target.
#[value]
pub enum CallResult {
    /// A whole answer came.
    Answered,
    /// The target or its gate refused the call.
    Refused,
    /// The connection was lost while the call ran.
    ConnectionLost,
    /// No answer came in time.
    TimedOut,
    /// The caller gave up.
    Cancelled,
}
