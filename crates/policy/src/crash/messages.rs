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
}

/// Whether a request may run, given the crashes that it was part of.
#[value]
pub enum CrashVerdict {
    /// No valid crash is recorded.
    Clear,
    /// The request ran when one target crashed. It may run on one more target.
    Marked,
    /// The request ran in two crashes and is refused until the block ends.
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
