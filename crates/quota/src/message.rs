//! Messages between nodes. Sequence numbers start at the sender's random identity, so that a process
//! can tell a response to its predecessor at the same address from a response to itself.

use fulmartrestle_core::{AvailabilityZone, Tenant, Version, VmId};
use fulmartrestle_derive::{local, record, value};

use crate::QuotaShard;

/// A holder's report on one loan. Counts are totals, so that a duplicate report has no effect.
#[value]
pub struct LoanReport {
    /// Sequence number of the request that the loan answers.
    pub seq: u64,
    /// Tokens consumed by admitted requests so far.
    pub used: u64,
    /// Tokens returned unused so far.
    pub returned: u64,
}

/// Configuration state of a node that requests ownership of a shard.
#[value]
pub struct ConfigState {
    /// Version that the node applies.
    pub version: Version,
    /// Whether every zone whose share falls has confirmed the version, so that no share is held back.
    pub all_confirmed: bool,
}

/// A message of the quota protocol. Messages carry durations but no timestamps, because the clocks
/// of nodes are not comparable.
#[record]
pub enum QuotaMessage {
    /// Requests that a member of the zone acknowledge the sender as owner of a shard.
    LeaseRequest {
        /// The shard of tenants concerned.
        shard: QuotaShard,
        /// Sequence number of this request, assigned by the sender.
        seq: u64,
        /// Time for which the acknowledgement must be valid, in microseconds.
        lease_duration_us: u64,
        /// Whether the sender already holds a valid lease.
        established: bool,
        /// Configuration state of the sender.
        config: ConfigState,
    },
    /// Acknowledges the receiver as owner of a shard for the requested time.
    LeaseAck {
        /// The shard of tenants concerned.
        shard: QuotaShard,
        /// Sequence number of the request.
        seq: u64,
        /// Whether the member started so recently that it may have lost the record of an
        /// acknowledgement.
        recently_started: bool,
        /// Version that the member has applied for longer than the lifetime of a loan.
        applied_version: Version,
    },
    /// Requests tokens from an owner.
    TokenRequest {
        /// The tenant concerned.
        tenant: Tenant,
        /// Sequence number of this request, unique for the sender's lifetime.
        seq: u64,
        /// Number of tokens requested.
        wanted: u64,
        /// Reports on earlier loans of this tenant from this owner.
        reports: Vec<LoanReport>,
    },
    /// Lends tokens in response to a request. The loan expires at the holder a fixed time after the
    /// holder sent the request.
    TokenLoan {
        /// The tenant concerned.
        tenant: Tenant,
        /// Sequence number of the request.
        seq: u64,
        /// Number of tokens lent; may be zero.
        tokens: u64,
        /// Delay before the tokens that were not lent may be requested again, in milliseconds; zero
        /// when all were lent.
        retry_after_ms: u64,
    },
    /// Response to a token request from a node that does not lend tokens of the shard at present.
    NotOwner {
        /// The tenant concerned.
        tenant: Tenant,
        /// Sequence number of the request.
        seq: u64,
        /// The owner that the responding node has acknowledged, if any.
        owner: Option<VmId>,
    },
    /// Asks whether all members of the receiver's zone apply a version. Sent on behalf of a zone
    /// whose share rises.
    VersionQuery {
        /// Version of the configuration.
        version: Version,
        /// The node that receives the confirmation. The first receiver forwards the query to the
        /// shard's owner.
        requester: VmId,
    },
    /// Confirms that no owner in the zone will use a share of an earlier version again.
    VersionConfirmed {
        /// The zone that confirms.
        zone: AvailabilityZone,
        /// Version of the configuration.
        version: Version,
    },
    /// Reports on loans without requesting tokens.
    LoanReports {
        /// The tenant concerned.
        tenant: Tenant,
        /// The reports, one per loan.
        reports: Vec<LoanReport>,
    },
}

/// A message to be delivered by the caller of the node.
#[local]
pub struct OutgoingMessage {
    /// The node to deliver to.
    pub to: VmId,
    /// The message to deliver.
    pub message: QuotaMessage,
}
