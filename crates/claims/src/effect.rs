//! What a claim node asks its surroundings to do.

use fulmartrestle_core::{LogOffset, VmId};
use fulmartrestle_derive::{local, value};

use crate::{ClaimId, ClaimMessage, ClaimRecord, ClaimStream};

/// Matches a result of the platform's log to its request.
#[value]
#[serde(transparent)]
pub struct LogRequestId(pub u64);

/// Why a claim was given up before its call ran.
#[value]
pub enum NotRunReason {
    /// The platform's log is out of reach.
    LogUnavailable,
    /// The key is older than what the stream is known to cover, so that an earlier claim may have
    /// been trimmed.
    OutsideWindow,
    /// No batcher decided in time.
    Timeout,
    /// The claim was released before.
    Released,
}

/// The final decision on a claim.
#[value]
pub enum ClaimDecision {
    /// The call may run, here and now, once.
    Won,
    /// The key is claimed. Its holder may have run the call, may be running it or may run it yet.
    Held {
        /// The claim that holds the key.
        winner: ClaimId,
    },
    /// The call has not run and never will run under this claim.
    NotRun(NotRunReason),
}

/// One thing to do.
#[local]
#[derive(Eq)]
pub enum ClaimEffect {
    /// Append the records as one record of the log.
    Append {
        /// The stream.
        stream: ClaimStream,
        /// The records, in order.
        records: Vec<ClaimRecord>,
        /// For [`crate::ClaimNode::on_append_result`].
        request_id: LogRequestId,
    },
    /// Read from an offset, or from the lowest that is kept when that is higher.
    Read {
        /// The stream.
        stream: ClaimStream,
        /// The first offset wanted.
        first_offset: LogOffset,
        /// For [`crate::ClaimNode::on_read_result`].
        request_id: LogRequestId,
    },
    /// Deliver a message.
    Send {
        /// The receiver.
        to: VmId,
        /// The message.
        message: ClaimMessage,
    },
    /// Tell the caller of [`crate::ClaimNode::begin_claim`] what became of its claim.
    Decided {
        /// The claim.
        claim: ClaimId,
        /// The decision.
        decision: ClaimDecision,
    },
}
