//! Applies zone partitions to connections between nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use fulmartrestle_core::AvailabilityZone;
use fulmartrestle_node::LinkFaults;

use super::ZonePartitions;

/// Maps peer addresses to zones, so that nodes can't reach each other across a partition. Unknown addresses
/// are always reachable.
pub(super) struct ZoneLinkFaults {
    partitions: Arc<ZonePartitions>,
    zones: RwLock<HashMap<SocketAddr, AvailabilityZone>>,
}

impl ZoneLinkFaults {
    pub(super) fn new(partitions: Arc<ZonePartitions>) -> Self {
        Self { partitions, zones: RwLock::default() }
    }

    pub(super) fn add(&self, peer_address: SocketAddr, zone: AvailabilityZone) {
        self.zones.write().unwrap_or_else(PoisonError::into_inner).insert(peer_address, zone);
    }
}

impl LinkFaults for ZoneLinkFaults {
    fn allows(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let zones = self.zones.read().unwrap_or_else(PoisonError::into_inner);
        match (zones.get(&from), zones.get(&to)) {
            (Some(from), Some(to)) => self.partitions.is_connected(from, to),
            _ => true,
        }
    }
}
