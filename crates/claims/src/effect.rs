//! Effects that a claim node requests from its caller, and the decisions on claims.

use fulmartrestle_core::{LogOffset, VmId};
use fulmartrestle_derive::{local, value};

use crate::{ClaimId, ClaimMessage, ClaimRecord, ClaimStream};

/// Identifies a request to the platform's log, so that its result can be matched to it.
#[value]
#[serde(transparent)]
pub struct LogRequestId(pub u64);

/// Reason why a claim was abandoned before its call ran.
#[value]
pub enum NotRunReason {
    /// The platform's log cannot be reached.
    LogUnavailable,
    /// The key is older than the period for which the stream has been read completely, so an earlier
    /// claim of the key may have been trimmed.
    OutsideWindow,
    /// No batcher responded with a decision before the claim timeout.
    Timeout,
    /// The claim has already been released.
    Released,
}

/// Final decision on a claim.
#[value]
pub enum ClaimDecision {
    /// The call may run once, on this node.
    Won,
    /// Another claim holds the key. Its holder may have run the call, may be running it or may run it
    /// later.
    Held {
        /// The claim that holds the key.
        winner: ClaimId,
    },
    /// The call has not run under this claim and never will.
    NotRun(NotRunReason),
}

/// An effect that the caller of a [`crate::ClaimNode`] must carry out.
#[local]
#[derive(Eq)]
pub enum ClaimEffect {
    /// Append the claim records as a single log record.
    Append {
        /// The stream concerned.
        stream: ClaimStream,
        /// The records, in order.
        records: Vec<ClaimRecord>,
        /// Identifies the request in [`crate::ClaimNode::on_append_result`].
        request_id: LogRequestId,
    },
    /// Read a page from an offset, or from the lowest retained offset when that is higher.
    Read {
        /// The stream concerned.
        stream: ClaimStream,
        /// Offset to start reading at.
        first_offset: LogOffset,
        /// Identifies the request in [`crate::ClaimNode::on_read_result`].
        request_id: LogRequestId,
    },
    /// Deliver a message to another node.
    Send {
        /// The node to deliver to.
        to: VmId,
        /// The message to deliver.
        message: ClaimMessage,
    },
    /// Report the decision on a claim to the caller of [`crate::ClaimNode::begin_claim`].
    Decided {
        /// The claim concerned.
        claim: ClaimId,
        /// The decision.
        decision: ClaimDecision,
    },
}
