//! A member as it is sent and handed out.

use std::net::SocketAddr;

use fulmartrestle_core::{AvailabilityZone, VmId, number_newtype};
use fulmartrestle_derive::record;

use crate::{MemberState, TargetInfo};

number_newtype!(
    /// Number that a member raises to refute a suspicion or to publish a change of its own row.
    Incarnation,
    u32,
    "incarnation"
);

/// One member of the fleet.
#[record]
pub struct MemberRow {
    /// The run of the node.
    pub vm: VmId,
    /// Version of the row, raised by the member alone.
    pub incarnation: Incarnation,
    /// The zone the VM is in.
    pub zone: AvailabilityZone,
    /// Where the node takes datagrams and streams from other nodes.
    pub peer_address: SocketAddr,
    /// The member's state.
    pub state: MemberState,
    /// The target behind the node, absent while none has announced itself.
    pub target: Option<TargetInfo>,
}
