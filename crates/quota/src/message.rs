//! Messages between nodes. Sequence numbers start at the sender's random identity, so that a reply
//! meant for an earlier process at the same address is recognised as foreign.

use fulmartrestle_core::{AvailabilityZone, Tenant, Version, VmId};
use fulmartrestle_derive::{local, record, value};

use crate::QuotaShard;

/// What a holder knows about one loan. Counts are totals, so that a doubled report changes nothing.
#[value]
pub struct LoanReport {
    /// Sequence number of the request that the loan answered.
    pub seq: u64,
    /// Tokens that admitted a request so far.
    pub used: u64,
    /// Tokens that the holder gave up unused so far.
    pub returned: u64,
}

/// What a candidate for ownership knows of the configuration.
#[value]
pub struct ConfigState {
    /// The version it applies.
    pub version: Version,
    /// Whether it knows of no share that must not rise yet.
    pub settled: bool,
}

/// A message of the quota protocol. No message carries a point in time, only durations.
#[record]
pub enum QuotaMessage {
    /// Asks a member of the zone to acknowledge the sender as owner of a shard.
    LeaseRequest {
        /// The shard of tenants.
        shard: QuotaShard,
        /// The sender's number of this request.
        seq: u64,
        /// How long the acknowledgement must last, in microseconds.
        lease_us: u64,
        /// Whether the sender holds a valid lease already.
        established: bool,
        /// What the sender knows of the configuration.
        config: ConfigState,
    },
    /// Acknowledges the owner of a shard for the requested time.
    LeaseAck {
        /// The shard of tenants.
        shard: QuotaShard,
        /// Number of the request.
        seq: u64,
        /// Whether the member started so recently that it may have forgotten an acknowledgement.
        fresh: bool,
        /// Version that the member has applied for longer than any loan lasts.
        applied: Version,
    },
    /// Asks an owner for tokens.
    TokenRequest {
        /// The tenant.
        tenant: Tenant,
        /// The sender's number of this request, unique for the sender's lifetime.
        seq: u64,
        /// How many tokens are wanted.
        want: u64,
        /// What became of earlier loans of this tenant from this owner.
        reports: Vec<LoanReport>,
    },
    /// Lends tokens in answer to a request. The loan lapses on the holder a fixed time after the
    /// holder sent the request.
    TokenLoan {
        /// The tenant.
        tenant: Tenant,
        /// Number of the request.
        seq: u64,
        /// How many tokens are lent; may be zero.
        tokens: u64,
        /// When to ask again for tokens that were wanted and not lent, in milliseconds; zero when
        /// all were lent.
        retry_after_ms: u64,
    },
    /// Tells the sender of a token request that the receiver doesn't lend.
    NotOwner {
        /// The tenant.
        tenant: Tenant,
        /// Number of the request.
        seq: u64,
        /// The owner that the receiver has acknowledged, when it knows one.
        owner: Option<VmId>,
    },
    /// Asks a zone whether all its members apply a version, for a zone whose share rises.
    VersionQuery {
        /// The version.
        version: Version,
        /// The node that wants the answer; the first receiver passes the query on to its owner.
        asker: VmId,
    },
    /// Tells that no owner of the zone will use a share of an earlier version again.
    VersionConfirmed {
        /// The zone.
        zone: AvailabilityZone,
        /// The version.
        version: Version,
    },
    /// Reports on loans without asking for more.
    LoanReports {
        /// The tenant.
        tenant: Tenant,
        /// What became of the loans.
        reports: Vec<LoanReport>,
    },
}

/// A message on its way to a node.
#[local]
pub struct OutgoingMessage {
    /// The receiver.
    pub to: VmId,
    /// The message.
    pub message: QuotaMessage,
}
