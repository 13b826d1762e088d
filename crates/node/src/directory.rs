//! Where the other nodes are reached.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use fulmartrestle_core::{VmId, lock};

/// Addresses of the members that can be reached, kept in step with membership.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    addresses: Mutex<HashMap<VmId, SocketAddr>>,
}

impl PeerDirectory {
    /// Notes where a member is reached, and returns whether the member is new.
    pub fn insert(&self, vm: VmId, address: SocketAddr) -> bool {
        lock(&self.addresses).insert(vm, address).is_none()
    }

    /// Forgets a member and returns where it was reached.
    pub fn remove(&self, vm: VmId) -> Option<SocketAddr> {
        lock(&self.addresses).remove(&vm)
    }

    /// Returns where a member is reached.
    pub fn peer_address(&self, vm: VmId) -> Option<SocketAddr> {
        lock(&self.addresses).get(&vm).copied()
    }
}
