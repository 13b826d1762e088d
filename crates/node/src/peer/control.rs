//! Control messages between nodes: small ones as datagrams, long ones as streams.

use fulmartrestle_claims::ClaimMessage;
use fulmartrestle_config::propagation::ConfigMessage;
use fulmartrestle_core::VmId;
use fulmartrestle_derive::record;
use fulmartrestle_membership::MembershipMessage;
use fulmartrestle_policy::CrashMark;
use fulmartrestle_quota::QuotaMessage;

/// What one part of a node says to the same part of another.
#[record]
pub enum ControlMessage {
    /// Gossip and probes of the directory of members.
    Membership(MembershipMessage),
    /// Tokens of tenants' rates.
    Quota(QuotaMessage),
    /// Spread of configuration.
    Config(ConfigMessage),
    /// All crash marks that the sender holds, for a node that has just joined.
    CrashMarks(Vec<CrashMark>),
    /// Claims of calls that run at most once.
    Claims(ClaimMessage),
}

/// A control message with its sender.
#[record]
pub struct ControlEnvelope {
    /// The run of the node that sent it.
    pub from: VmId,
    /// The message.
    pub message: ControlMessage,
}
