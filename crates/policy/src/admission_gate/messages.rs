//! What goes into a gate and what comes out.

use fulmartrestle_core::{CallId, Class, Refusal, Tenant, TimeUs};
use fulmartrestle_derive::{local, record, value};

use crate::BasisPoints;

/// A call that asks to be run.
#[local]
pub struct OfferedCall {
    /// Identifies the call until it is completed, cancelled, dropped or refused. The gate's own node
    /// numbers the calls: numbers given by several callers' nodes could collide here.
    pub call: CallId,
    /// Whose call it is.
    pub tenant: Tenant,
    /// The tenant's weight in the fair share; zero counts as one.
    pub weight: u32,
    /// How important the route is.
    pub class: Class,
    /// When the caller stops waiting.
    pub deadline: TimeUs,
    /// The share that the entry's door admitted when it let the call in, as returned by
    /// [`crate::IngressAdmission::admit`]. It must travel with the call: from it the gate knows how many calls
    /// were refused for each one that it sees.
    pub ingress_share: BasisPoints,
}

/// What a gate decides about an offered call.
#[record]
#[derive(Copy, Eq)]
pub enum Admission {
    /// Hand it to the target now.
    Run,
    /// Hold it until an event tells what becomes of it.
    Queued,
    /// Refuse it; the target was not handed the call.
    Refused(Refusal),
}

/// How a running call ended.
#[value]
pub enum Completion {
    /// With a whole answer.
    Answered,
    /// With a failed connection or a broken answer.
    Failed,
    /// Its deadline passed while it ran.
    TimedOut,
    /// The target itself refused it as too much.
    TargetRefused,
    /// The caller gave up.
    Cancelled,
}

/// What becomes of a queued call.
#[record]
#[derive(Copy, Eq)]
pub enum QueueEvent {
    /// Hand the call to the target now.
    Start(CallId),
    /// Refuse the call; the target was not handed it.
    Drop(CallId, Refusal),
}

/// What a target says of itself. Every field may be wrong or late.
#[value]
#[derive(Default)]
pub struct TargetHints {
    /// Calls the target can work on at once.
    pub slots: Option<u32>,
    /// Connections the target accepts.
    pub connections: Option<u32>,
    /// Time in milliseconds that a cold target takes to reach its full speed.
    pub warm_up_ms: Option<u64>,
    /// Load as the target reports it, where the whole means that it is full.
    pub reported_load: Option<BasisPoints>,
}
