//! Public form of a member's directory row, as it is sent to peers and returned to the node.

use std::net::SocketAddr;

use fulmartrestle_core::{AvailabilityZone, VmId, number_newtype};
use fulmartrestle_derive::record;

use crate::{MemberState, TargetInfo};

number_newtype!(
    /// Incarnation number of a member. The member increments it to refute a suspicion or to publish a change of
    /// its own row.
    Incarnation,
    u32,
    "incarnation"
);

/// Directory row of one member of the fleet.
#[record]
pub struct MemberRow {
    /// ID of the VM, which identifies one run of the node.
    pub vm: VmId,
    /// Version of the row. Only the member itself increments it.
    pub incarnation: Incarnation,
    /// Availability zone of the VM.
    pub zone: AvailabilityZone,
    /// Address at which the node receives datagrams and streams from other nodes.
    pub peer_address: SocketAddr,
    /// State of the member, as the sender of the row or this node sees it.
    pub state: MemberState,
    /// The target served by the node, or `None` until a target has announced itself.
    pub target: Option<TargetInfo>,
}
