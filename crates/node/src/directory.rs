//! Where the other nodes are reached.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use fulmartrestle_core::VmId;

use crate::lock::lock;

/// Addresses of the members that can be reached, kept in step with membership.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    addresses: Mutex<HashMap<VmId, SocketAddr>>,
}

impl PeerDirectory {
    /// Notes where a member is reached.
    pub fn insert(&self, vm: VmId, address: SocketAddr) {
        lock(&self.addresses).insert(vm, address);
    }

    /// Forgets a member and returns where it was reached.
    pub fn remove(&self, vm: VmId) -> Option<SocketAddr> {
        lock(&self.addresses).remove(&vm)
    }

    /// Returns where a member is reached.
    pub fn peer_address(&self, vm: VmId) -> Option<SocketAddr> {
        lock(&self.addresses).get(&vm).copied()
    }

    /// Tells whether a member is reached at `address`.
    pub fn contains_address(&self, address: &SocketAddr) -> bool {
        lock(&self.addresses).values().any(|known| known == address)
    }
}
