//! What happens at a point of virtual time.

use fulmartrestle_core::{CallId, Refusal, TimeUs};
use fulmartrestle_policy::{AdmissionLevel, AdmissionLevelReport};

use super::settings::Fault;

/// An answer on its way from a target's node to the caller's.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The attempt that it answers.
    pub call: CallId,
    /// Key of the attempt's hop.
    pub hop: u64,
    /// What became of the attempt.
    pub result: AnswerResult,
    /// The gate's level.
    pub level: AdmissionLevel,
    /// What the target's node knows of the services further down.
    pub reports: Vec<AdmissionLevelReport>,
    /// Retries that the attempt's subtree did not spend.
    pub unspent: u32,
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerResult {
    /// The target did the work.
    Done,
    /// The target ran, but a call of its own failed, so that it answers with an error.
    Error,
    /// The gate refused.
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
    Arrive { call: CallId },
    /// The target's own work for an attempt is done.
    WorkDone { call: CallId, node: usize, life: u32 },
    /// An answer reaches the caller's node.
    Answered(Answer),
    /// A cancellation reaches the target's node.
    Cancel { call: CallId },
    /// A hop's attempt takes too long (baseline only).
    AttemptTimeout { call: CallId },
    /// A node's tick.
    Tick,
    /// A connection was found silent and is replaced.
    Replaced { from: usize, to: usize },
    /// Something happens to the fleet.
    Fault(Fault),
    /// A target's process or VM is back.
    Back { node: usize },
    /// The tables hear that a target leaves.
    LeavingHeard { node: usize },
}

/// An event with its time; equal times keep the order in which they were scheduled.
#[derive(Debug)]
pub struct Scheduled {
    /// When it happens.
    pub at: TimeUs,
    /// Order of scheduling.
    pub sequence: u64,
    /// What happens.
    pub event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    /// Reversed, because the standard heap returns the greatest first.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}
