//! Inputs of the target table.

use fulmartrestle_core::{AvailabilityZone, Service, VmId};
use fulmartrestle_derive::{record, value};

/// An announced target.
#[record]
#[derive(Eq)]
pub struct AnnouncedTarget {
    /// VM of the target.
    pub target: VmId,
    /// Service that the target provides.
    pub service: Service,
    /// Zone of the target.
    pub zone: AvailabilityZone,
    /// Announced number of calls that the target can process concurrently; zero when unknown.
    pub slots: u32,
    /// Time that the target takes to reach its full speed, in milliseconds.
    pub warm_up_ms: u64,
    /// Whether the target accepts no new calls because it is leaving.
    pub leaving: bool,
}

/// Requirements of a call on its target.
#[derive(Clone, Copy, Debug)]
pub struct TargetRequirements<'a> {
    /// Service that is called.
    pub service: &'a Service,
    /// Zone of the caller's node, whose targets are preferred.
    pub own_zone: &'a AvailabilityZone,
    /// Targets that were tried before.
    pub exclude: &'a [VmId],
}

/// Result and latency of a call to a target.
#[value]
pub struct CompletedCall {
    /// Time from sending the call to its end, in microseconds.
    pub latency_us: u64,
    /// Result of the call.
    pub result: CallResult,
}

/// Result of a call to a target.
#[value]
pub enum CallResult {
    /// The target sent a complete response.
    Answered,
    /// The target or its gate refused the call.
    Refused,
    /// The connection was lost while the call ran.
    ConnectionLost,
    /// No response was received before the deadline.
    TimedOut,
    /// The caller cancelled the call.
    Cancelled,
}
