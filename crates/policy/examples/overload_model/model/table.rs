//! Requests, sends, hops and attempts that are under way.

use fulmartrestle_core::{CallId, Fingerprint, TimeUs, VmId};
use fulmartrestle_policy::{BasisPoints, RetryAllowance, RetryReservation};

/// What a client wants answered, over all its sends.
#[derive(Debug)]
pub struct Request {
    /// Index of the tenant.
    pub tenant: usize,
    /// Index of the route.
    pub route: usize,
    /// Index of the client's zone.
    pub zone: usize,
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
    /// Whether it crashes each target that runs it at the first hop.
    pub crashes_targets: bool,
    /// Targets it crashed.
    pub crashed: u32,
    /// Sends so far.
    pub sends: u32,
    /// Whether it was answered or the client gave up; calls for it may still be under way.
    pub done: bool,
    /// The send that the client waits for.
    pub hop: Option<u64>,
}

/// Work and retries of one send in its whole chain.
#[derive(Debug, Default)]
pub struct Send {
    /// The share that the entry's door admitted.
    pub ingress_share: BasisPoints,
    /// Work done for it, in microseconds.
    pub work_us: u64,
    /// Retries at all its hops.
    pub retries: u32,
    /// Whether the client got a whole answer.
    pub answered: bool,
}

/// One call of a service, with all attempts for it.
#[derive(Debug)]
pub struct Hop {
    /// Key of the send.
    pub send: u64,
    /// Key of the request.
    pub request: u64,
    /// The attempt whose target makes this call; `None` at the entry.
    pub parent: Option<CallId>,
    /// The node that decides for it.
    pub node: usize,
    /// Place in the route's chain.
    pub depth: usize,
    /// When the caller stops waiting.
    pub deadline: TimeUs,
    /// Targets tried.
    pub tried: Vec<VmId>,
    /// Attempts so far.
    pub attempts: u32,
    /// Attempts that a target ran.
    pub runs: u32,
    /// Whether an earlier attempt may have run, as far as the caller knows.
    pub may_have_run: bool,
    /// Retries left.
    pub allowance: RetryAllowance,
    /// The attempt under way.
    pub attempt: Option<CallId>,
}

/// One attempt at one target.
#[derive(Debug)]
pub struct Attempt {
    /// Key of its hop.
    pub hop: u64,
    /// Key of the send.
    pub send: u64,
    /// Index of the target's node.
    pub node: usize,
    /// Life of the target's node when the attempt was sent.
    pub life: u32,
    /// When it was sent.
    pub sent: TimeUs,
    /// When it reached the gate.
    pub offered: TimeUs,
    /// Whether the target was handed it.
    pub running: bool,
    /// Whether the gate knows it.
    pub admitted: bool,
    /// Retries set aside for it, until they are given back.
    pub reservation: Option<RetryReservation>,
    /// The hop that it waits for.
    pub child: Option<u64>,
    /// Whether its connection is gone, so that it can't reach the target any more.
    pub lost: bool,
    /// Whether the caller still waits.
    pub wanted: bool,
    /// Retries that its subtree has left.
    pub unspent: u32,
}
