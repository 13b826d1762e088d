//! What is written to a claim stream.

use fulmartrestle_core::LogOffset;
use fulmartrestle_derive::{record, value};

use crate::{ClaimId, ClaimKey};

/// One record of a claim stream.
#[value]
pub enum ClaimRecord {
    /// Claims a key. It wins when the key has no holder and the claim is not void.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The claim.
        claim: ClaimId,
    },
    /// States that the claim's holder will never run the call under this claim. It voids the claim
    /// wherever the claim's own record stands, before or after.
    Release {
        /// The key.
        key: ClaimKey,
        /// The claim.
        claim: ClaimId,
    },
}

/// The records of one append, in order, with their offset.
#[record]
#[derive(Eq)]
pub struct ClaimBatch {
    /// Offset of the append on its stream.
    pub offset: LogOffset,
    /// The records.
    pub records: Vec<ClaimRecord>,
}
