//! Messages that nodes exchange apart from calls and their status: rate tokens, the configuration and runs that have left.

use fulmartrestle_core::Tenant;
use fulmartrestle_derive::record;

use crate::local_target::TargetRun;

/// Request for tokens of a tenant's rate.
#[record]
pub enum TokenRequest {
    /// A node needs a token for a request.
    Issue {
        /// The tenant whose token is requested.
        tenant: Tenant,
        /// Tokens requested beyond the one that is needed.
        ahead: u32,
    },
    /// An issuer needs a part of a token, or has room for more.
    Yield {
        /// The tenant whose tokens are requested.
        tenant: Tenant,
        /// Millionths of tokens that are needed.
        missing_micro: u64,
        /// Millionths of tokens for which the sender has room.
        room_micro: u64,
    },
}

/// Tokens that the sender has taken out of its own stock.
#[record]
pub struct TokenGrant {
    /// Millionths of tokens granted.
    pub granted_micro: u64,
    /// Time until the caller should return if the tokens do not suffice, in milliseconds.
    pub retry_after_ms: u64,
}

/// Response to a request for the configuration.
#[record]
pub struct ConfigResponse {
    /// The bytes as the operator wrote them; empty if the sender has no configuration.
    pub bytes: Vec<u8>,
}

/// Response to a request for the runs of targets that have left.
#[record]
pub struct LeftRunsResponse {
    /// Runs that the sender has seen leave, also those of other nodes' targets.
    pub runs: Vec<TargetRun>,
}
