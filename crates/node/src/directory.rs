//! Addresses of the other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use fulmartrestle_core::{VmId, lock};

/// Peer addresses of the members that are not dead, updated on each membership change.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    addresses: Mutex<HashMap<VmId, SocketAddr>>,
}

impl PeerDirectory {
    /// Sets the address of a member. Returns whether the member is new.
    pub fn insert(&self, vm: VmId, address: SocketAddr) -> bool {
        lock(&self.addresses).insert(vm, address).is_none()
    }

    /// Removes a member and returns its address.
    pub fn remove(&self, vm: VmId) -> Option<SocketAddr> {
        lock(&self.addresses).remove(&vm)
    }

    /// Returns the address of a member.
    pub fn peer_address(&self, vm: VmId) -> Option<SocketAddr> {
        lock(&self.addresses).get(&vm).copied()
    }
}
