//! Records on the platform's log by which a new node finds its first peers.

use std::net::SocketAddr;

use fulmartrestle_core::{AvailabilityZone, VmId};
use fulmartrestle_derive::record;

/// Says on the platform's log where a member can be reached.
#[record]
pub struct JoinRecord {
    /// The run of the node.
    pub vm: VmId,
    /// The zone the VM is in.
    pub zone: AvailabilityZone,
    /// Where the node takes datagrams.
    pub peer_address: SocketAddr,
}
