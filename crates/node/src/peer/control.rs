//! Control messages between nodes. Small messages are sent as datagrams, larger ones over streams.

use fulmartrestle_claims::ClaimMessage;
use fulmartrestle_config::propagation::ConfigMessage;
use fulmartrestle_core::VmId;
use fulmartrestle_derive::record;
use fulmartrestle_membership::MembershipMessage;
use fulmartrestle_policy::CrashMark;
use fulmartrestle_quota::QuotaMessage;

/// A message from a component of one node to the same component of another.
#[record]
pub enum ControlMessage {
    /// Membership gossip and probes.
    Membership(MembershipMessage),
    /// Transfer of rate tokens between nodes.
    Quota(QuotaMessage),
    /// Propagation of configuration.
    Config(ConfigMessage),
    /// All crash marks that the sender holds, sent to a node that has just joined.
    CrashMarks(Vec<CrashMark>),
    /// Claims of calls that must run at most once.
    Claims(ClaimMessage),
}

/// A control message with its sender.
#[record]
pub struct ControlEnvelope {
    /// Identity of the sending node, which is new after each restart.
    pub from: VmId,
    /// Message for the component of the receiving node.
    pub message: ControlMessage,
}
