//! Events of the model, ordered by virtual time.

use fulmartrestle_core::{CallId, Refusal, TimeUs};
use fulmartrestle_policy::{AdmissionLevel, AdmissionLevelReport};

use super::settings::Fault;

/// A response sent from a target's node to the caller's.
#[derive(Clone, Debug)]
pub struct Response {
    /// Attempt that is answered.
    pub call: CallId,
    /// Key of the attempt's hop.
    pub hop: u64,
    /// How the attempt ended.
    pub kind: ResponseKind,
    /// Admission level of the gate.
    pub level: AdmissionLevel,
    /// Levels of the services further down the chain, from the target's node.
    pub reports: Vec<AdmissionLevelReport>,
    /// Retries that the attempt's subtree did not spend.
    pub unspent: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The target completed the work.
    Done,
    /// The target ran the attempt, but a child call failed, so that it answers with an error.
    Error,
    /// The gate refused the attempt.
    Refused(Refusal),
    /// The connection was lost.
    Lost,
}

/// An event of the model.
#[derive(Clone, Debug)]
pub enum Event {
    /// A tenant's client makes a new request.
    NewRequest { tenant: usize },
    /// A client sends its request, for the first time or again.
    ClientSend { request: u64 },
    /// A client gives up on one send.
    ClientTimeout { request: u64, send: u32 },
    /// An attempt reaches the node of its target.
    AttemptArrived { call: CallId },
    /// The target finished its own work for an attempt.
    WorkDone { call: CallId, node: usize, generation: u32 },
    /// A response reaches the caller's node.
    ResponseArrived(Response),
    /// A cancellation reaches the target's node.
    CancellationArrived { call: CallId },
    /// An attempt reaches its time limit (baseline only).
    AttemptTimeout { call: CallId },
    /// Periodic tick of all nodes.
    Tick,
    /// A silent connection has been detected and is replaced.
    ConnectionReplaced { from: usize, to: usize },
    /// A fault of the fleet starts.
    Fault(Fault),
    /// A crashed target or lost VM is restored.
    Restored { node: usize },
    /// All tables receive the announcement that a target leaves.
    LeavingPublished { node: usize },
}

/// An event with its time; events at equal times are handled in the order in which they were scheduled.
#[derive(Debug)]
pub struct ScheduledEvent {
    /// Time of the event.
    pub at: TimeUs,
    /// Position in the order of scheduling.
    pub sequence: u64,
    /// The event.
    pub event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    /// Reverses the order, because the standard heap returns the greatest element first.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}
