//! Messages and results of the crash table.

use fulmartrestle_core::{CallId, Fingerprint, TimeUs, VmId};
use fulmartrestle_derive::value;

/// One crash, as nodes exchange it. It carries an age instead of a time, because the clocks of different
/// nodes can't be compared.
#[value]
pub struct CrashMark {
    /// Fingerprint of the request that ran.
    pub fingerprint: Fingerprint,
    /// Target whose connection was lost.
    pub target: VmId,
    /// Attempt that ran there, as numbered by the caller's node.
    pub attempt: CallId,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// How the attempt ended.
    pub evidence: CrashEvidence,
}

/// How one attempt of a request ended, as evidence for or against the request.
#[value]
pub enum CrashEvidence {
    /// The target ended, and other requests that ran there were as much suspected.
    Shared,
    /// The target ended, and no other request that ran there was as much suspected.
    Conclusive,
    /// The request is suspected and runs alone. It must not reach another target before the outcome is known.
    Trial,
    /// The target has not run a trial.
    Withdrawn,
    /// The target answered. The request merely ran beside the one that ended targets.
    Answered,
}

/// Whether a request may run, given the crashes that it was part of.
#[value]
pub enum CrashVerdict {
    /// No valid crash is recorded.
    Clear,
    /// The request ran when one target crashed. It may run on one more target.
    Marked,
    /// The request ran in two crashes or more, and others that may have caused them ran beside it. It may run on one
    /// target at a time, where no other suspected request runs.
    Suspected,
    /// The request ran in two crashes, at least one of them conclusive, and is refused until the block ends.
    Blocked {
        /// End of the block.
        until: TimeUs,
    },
}

impl CrashVerdict {
    /// Returns whether the request may not run.
    pub fn is_blocked(self) -> bool {
        matches!(self, Self::Blocked { .. })
    }
}
