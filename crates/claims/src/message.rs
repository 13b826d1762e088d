//! Messages between entry nodes and batchers.

use fulmartrestle_derive::{record, value};

use crate::{ClaimId, ClaimKey, NotRunReason};

/// A batcher's response to a claim request.
#[value]
pub enum BatcherResponse {
    /// The claim is the first of the key in log order.
    Won,
    /// Another claim holds the key, and this claim never will.
    Held {
        /// The claim that holds the key.
        winner: ClaimId,
    },
    /// The batcher will not decide the claim.
    Refused {
        /// Reason for the refusal.
        reason: NotRunReason,
        /// Whether the claim's record may be on the log already or may appear there later.
        may_be_written: bool,
    },
}

/// A message of the claim protocol.
#[record]
#[derive(Copy, Eq)]
pub enum ClaimMessage {
    /// Requests that a batcher claim a key.
    ClaimRequest {
        /// The key concerned.
        key: ClaimKey,
        /// The claim concerned.
        claim: ClaimId,
        /// Age of the caller's idempotency key, in milliseconds.
        key_age_ms: u64,
    },
    /// Response to a claim request.
    ClaimResponse {
        /// The claim concerned.
        claim: ClaimId,
        /// The batcher's response.
        response: BatcherResponse,
    },
    /// Requests that a batcher release a claim under which the call will never run.
    ReleaseRequest {
        /// The key concerned.
        key: ClaimKey,
        /// The claim concerned.
        claim: ClaimId,
    },
    /// Confirms that a release is on the log.
    ReleaseDone {
        /// The claim concerned.
        claim: ClaimId,
    },
    /// Notifies a holder that its claim blocks another one. A holder that has abandoned the claim
    /// releases it again, in case it missed a response that made a release necessary.
    HolderCheck {
        /// The key concerned.
        key: ClaimKey,
        /// The claim that holds the key.
        claim: ClaimId,
    },
}
