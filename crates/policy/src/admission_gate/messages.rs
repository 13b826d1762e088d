//! Inputs and results of an admission gate.

use fulmartrestle_core::{CallId, Class, Refusal, Tenant, TimeUs};
use fulmartrestle_derive::{local, record, value};

use crate::BasisPoints;

/// A call that is offered to an admission gate.
#[local]
pub struct OfferedCall {
    /// Identifies the call until it is completed, cancelled, dropped or refused. It is assigned by the
    /// gate's own node, because numbers assigned by the nodes of several callers could collide.
    pub call: CallId,
    /// Tenant that the call is accounted to.
    pub tenant: Tenant,
    /// Weight of the tenant in the fair share; zero counts as one.
    pub weight: u32,
    /// Importance of the route.
    pub class: Class,
    /// Time at which the caller stops waiting.
    pub deadline: TimeUs,
    /// Share of such calls that ingress admission admitted, as returned by
    /// [`crate::IngressAdmission::admit`]. It travels with the call: from it the gate estimates how many
    /// calls were refused at ingress for each one that arrives.
    pub ingress_share: BasisPoints,
}

/// Decision of a gate about an offered call.
#[record]
#[derive(Copy, Eq)]
pub enum Admission {
    /// Send the call to the target now.
    Run,
    /// Keep the call until a [`QueueEvent`] starts or drops it.
    Queued,
    /// Refuse the call; it was not sent to the target.
    Refused(Refusal),
}

/// How a running call ended.
#[value]
pub enum Completion {
    /// The target sent a complete response.
    Answered,
    /// The connection failed or the response was malformed.
    Failed,
    /// The deadline passed while the call ran.
    TimedOut,
    /// The target refused the call because of overload.
    TargetRefused,
    /// The caller cancelled the call.
    Cancelled,
}

/// Decision about a queued call.
#[record]
#[derive(Copy, Eq)]
pub enum QueueEvent {
    /// Send the call to the target now.
    Start(CallId),
    /// Refuse the call; it was not sent to the target.
    Drop(CallId, Refusal),
}

/// Capacity hints of a target. Every field may be wrong or out of date.
#[value]
#[derive(Default)]
pub struct TargetHints {
    /// Calls that the target can process concurrently.
    pub slots: Option<u32>,
    /// Connections that the target accepts.
    pub connections: Option<u32>,
    /// Time in milliseconds that a cold target takes to reach its full speed.
    pub warm_up_ms: Option<u64>,
    /// Load that the target reports; [`BasisPoints::FULL`] means fully loaded.
    pub reported_load: Option<BasisPoints>,
}
