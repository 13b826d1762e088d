//! Requests, sends, hops and attempts in flight.

use fulmartrestle_core::{CallId, Fingerprint, TimeUs, VmId};
use fulmartrestle_policy::{BasisPoints, RetryAllowance, RetryReservation};

/// A client's request, over all its sends.
#[derive(Debug)]
pub struct Request {
    /// Index of the tenant.
    pub tenant: usize,
    /// Index of the route.
    pub route: usize,
    /// Index of the client's zone.
    pub zone: usize,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether the request crashes each target that runs it at the first hop.
    pub crashes_targets: bool,
    /// Number of targets that the request crashed.
    pub crashed: u32,
    /// Number of sends so far.
    pub sends: u32,
    /// Whether the request was answered or given up by the client; calls for it may still be running.
    pub done: bool,
    /// Key of the first hop of the send that the client waits for.
    pub hop: Option<u64>,
}

/// Work and retries of one send in its whole chain.
#[derive(Debug, Default)]
pub struct Send {
    /// Share that ingress admission admitted.
    pub ingress_share: BasisPoints,
    /// Work done for the send, in microseconds.
    pub work_us: u64,
    /// Retries at all hops.
    pub retries: u32,
    /// Whether the client got a complete response.
    pub answered: bool,
}

/// One call of a service, over all its attempts.
#[derive(Debug)]
pub struct Hop {
    /// Key of the send.
    pub send: u64,
    /// Key of the request.
    pub request: u64,
    /// Attempt whose target makes this call; `None` at ingress.
    pub parent: Option<CallId>,
    /// Index of the node that makes the decisions for the call.
    pub node: usize,
    /// Index in the route's chain.
    pub depth: usize,
    /// Time at which the caller stops waiting.
    pub deadline: TimeUs,
    /// Targets that were tried.
    pub tried: Vec<VmId>,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Number of attempts that a target ran.
    pub runs: u32,
    /// Whether an earlier attempt may have run, from the caller's point of view.
    pub may_have_run: bool,
    /// Remaining retries.
    pub allowance: RetryAllowance,
    /// Current attempt.
    pub attempt: Option<CallId>,
}

/// One attempt at one target.
#[derive(Debug)]
pub struct Attempt {
    /// Key of the hop.
    pub hop: u64,
    /// Key of the send.
    pub send: u64,
    /// Index of the target's node.
    pub node: usize,
    /// Generation of the target's node when the attempt was sent.
    pub generation: u32,
    /// Time at which the attempt was sent.
    pub sent: TimeUs,
    /// Time at which the attempt reached the gate.
    pub offered: TimeUs,
    /// Whether the attempt was sent to the target.
    pub running: bool,
    /// Whether the gate admitted or queued the attempt.
    pub admitted: bool,
    /// Retries reserved for the attempt until they are returned.
    pub reservation: Option<RetryReservation>,
    /// Key of the hop that the attempt waits for.
    pub child: Option<u64>,
    /// Whether the connection was lost, so that the attempt can no longer reach the target.
    pub lost: bool,
    /// Whether the caller still waits for the response.
    pub caller_waits: bool,
    /// Retries that the subtree has not spent.
    pub unspent: u32,
}
