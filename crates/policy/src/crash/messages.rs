//! What crash tables tell each other and their users.

use fulmartrestle_core::{CallId, Fingerprint, TimeUs, VmId};
use fulmartrestle_derive::value;

/// One crash, as nodes tell each other. It carries an age in place of a time, because the clocks of
/// nodes can't be compared.
#[value]
pub struct CrashMark {
    /// The request that ran.
    pub fingerprint: Fingerprint,
    /// The target whose connection was lost.
    pub target: VmId,
    /// The attempt that ran there, as numbered by the caller's node.
    pub attempt: CallId,
    /// How long ago, in milliseconds.
    pub age_ms: u64,
}

/// What is known of a request.
#[value]
pub enum CrashVerdict {
    /// Nothing is held against it.
    Clear,
    /// It ran when one target crashed. It may run on one more target.
    Marked,
    /// It ran when two targets crashed, and is refused for a while.
    Blocked {
        /// When the block ends.
        until: TimeUs,
    },
}
