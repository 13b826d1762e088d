//! The other nodes: their addresses, when they were last seen, and how many nodes share the tenants' rates.

use std::collections::HashMap;
use std::net::SocketAddr;

use fulmartrestle_core::{TimeUs, Version, VmId};

/// Time without a status message after which a node no longer counts for the division of the tenants' rates, in
/// milliseconds. It is far longer than the time for which a partitioned node continues to accept requests with keys.
const SHARER_TIMEOUT_MS: u64 = 30_000;

/// Time without a status message after which a node is not expected to respond, in milliseconds: two lost
/// messages and some network delay.
const LIVE_TIMEOUT_MS: u64 = 2_600;

/// Time without a status message after which a node's registration is removed from the store, in milliseconds.
const REGISTRATION_TIMEOUT_MS: u64 = 600_000;

/// Local view of one other node.
#[derive(Clone, Debug)]
pub struct Peer {
    /// ID of the node's current run; `None` until its first status message.
    pub node: Option<VmId>,
    /// When its last status message arrived; until the first one, when the node became known.
    pub last_seen: TimeUs,
    /// The latest stamp received from the node, which is echoed to it.
    pub stamp_us: u64,
    /// Its version of the configuration.
    pub version: Version,
}

/// The other nodes by their peer addresses.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: HashMap<SocketAddr, Peer>,
    quota_start: Option<TimeUs>,
}

impl PeerTable {
    /// Adds nodes that are registered on the store. Known nodes stay as they are.
    pub fn register(&mut self, addresses: &[SocketAddr], now: TimeUs) {
        for address in addresses {
            let new_peer = Peer { node: None, last_seen: now, stamp_us: 0, version: Version(0) };
            self.peers.entry(*address).or_insert(new_peer);
        }
    }

    /// Sets when this node starts to use its share of the tenants' rates. Only the first call has an effect.
    pub fn set_quota_start(&mut self, start: TimeUs) {
        self.quota_start.get_or_insert(start);
    }

    /// Records a status message. Returns the ID of the previous run if the node was restarted.
    pub fn record_status(
        &mut self,
        address: SocketAddr,
        node: VmId,
        stamp_us: u64,
        version: Version,
        now: TimeUs,
    ) -> Option<VmId> {
        let new_peer = Peer { node: None, last_seen: now, stamp_us: 0, version };
        let entry = self.peers.entry(address).or_insert(new_peer);
        let replaced = entry.node.filter(|known| *known != node);
        *entry = Peer { node: Some(node), last_seen: now, stamp_us, version };
        replaced
    }

    /// Returns the entry of the node at `address`.
    pub fn get(&self, address: &SocketAddr) -> Option<&Peer> {
        self.peers.get(address)
    }

    /// Returns the address of the node whose current run is `node`.
    pub fn address_of(&self, node: VmId) -> Option<SocketAddr> {
        self.peers.iter().find(|(_, peer)| peer.node == Some(node)).map(|(address, _)| *address)
    }

    /// Returns the addresses of all known nodes.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Returns the addresses of the nodes that are expected to respond.
    pub fn live_addresses(&self, now: TimeUs) -> Vec<SocketAddr> {
        let is_live = |peer: &Peer| peer.node.is_some() && now.ms_since(peer.last_seen) < LIVE_TIMEOUT_MS;
        self.peers.iter().filter(|(_, peer)| is_live(peer)).map(|(address, _)| *address).collect()
    }

    /// Returns the IDs of the nodes that are expected to respond.
    pub fn live_nodes(&self, now: TimeUs) -> Vec<VmId> {
        let live = self.peers.values().filter(|peer| now.ms_since(peer.last_seen) < LIVE_TIMEOUT_MS);
        live.filter_map(|peer| peer.node).collect()
    }

    /// Returns the number of nodes that share the tenants' rates, this one included, or 0 while this node has no
    /// share yet.
    pub fn quota_sharers(&self, now: TimeUs) -> usize {
        if self.quota_start.is_none_or(|start| now < start) {
            return 0;
        }
        1 + self.peers.values().filter(|peer| now.ms_since(peer.last_seen) < SHARER_TIMEOUT_MS).count()
    }

    /// Returns the addresses of nodes that have sent no status message for so long that they are considered gone.
    pub fn expired_registrations(&self, now: TimeUs) -> Vec<SocketAddr> {
        let is_expired = |peer: &Peer| now.ms_since(peer.last_seen) >= REGISTRATION_TIMEOUT_MS;
        self.peers.iter().filter(|(_, peer)| is_expired(peer)).map(|(address, _)| *address).collect()
    }

    /// Removes a node.
    pub fn remove(&mut self, address: &SocketAddr) {
        self.peers.remove(address);
    }
}
