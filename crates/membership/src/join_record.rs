//! Join records in the platform's log, from which a new node discovers its first peers.

use std::net::SocketAddr;

use fulmartrestle_core::{AvailabilityZone, VmId};
use fulmartrestle_derive::record;

/// A record in the platform's log with the address of a member.
#[record]
pub struct JoinRecord {
    /// ID of the VM, which identifies one run of the node.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: AvailabilityZone,
    /// Address at which the node receives datagrams.
    pub peer_address: SocketAddr,
}
