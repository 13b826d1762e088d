//! Messages between entries and batchers.

use fulmartrestle_derive::{record, value};

use crate::{ClaimId, ClaimKey, NotRunReason};

/// A batcher's answer to a claim.
#[value]
pub enum BatcherReply {
    /// The claim is the key's first in log order.
    Won,
    /// Another claim holds the key, and this one never will.
    Held {
        /// The claim that holds the key.
        winner: ClaimId,
    },
    /// The batcher gives up on the claim.
    Refused {
        /// Why.
        reason: NotRunReason,
        /// Whether the claim's record may be on the log, now or later.
        may_be_written: bool,
    },
}

/// A message of the claim protocol.
#[record]
#[derive(Copy, Eq)]
pub enum ClaimMessage {
    /// Asks a batcher to claim a key.
    ClaimRequest {
        /// The key.
        key: ClaimKey,
        /// The claim.
        claim: ClaimId,
        /// How long ago the caller drew its idempotency key, in milliseconds.
        key_age_ms: u64,
    },
    /// Answers a claim request.
    ClaimReply {
        /// The claim.
        claim: ClaimId,
        /// The answer.
        reply: BatcherReply,
    },
    /// Asks a batcher to release a claim that will never run.
    ReleaseRequest {
        /// The key.
        key: ClaimKey,
        /// The claim.
        claim: ClaimId,
    },
    /// Tells that a release is on the log.
    ReleaseDone {
        /// The claim.
        claim: ClaimId,
    },
    /// Tells a holder that its claim stands in another's way. A holder that has given up the claim
    /// answers by releasing it, which repairs releases whose need was lost with a message.
    HolderCheck {
        /// The key.
        key: ClaimKey,
        /// The holder's claim.
        claim: ClaimId,
    },
}
