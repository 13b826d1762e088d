//! The other nodes: where they are, when they were heard, and among how many the rates are shared.

use std::collections::HashMap;
use std::net::SocketAddr;

use fulmartrestle_core::{TimeUs, Version, VmId};

/// Time without a word after which a node does not count as part of the fleet, in milliseconds. It is
/// far longer than a node that is cut off goes on answering keyed requests.
const SHARER_TIMEOUT_MS: u64 = 30_000;

/// Time without a word after which a node is not expected to answer, in milliseconds: two lost status
/// messages and some delay.
const LIVE_TIMEOUT_MS: u64 = 2_600;

/// Time without a word after which a node's registration is dropped from the store, in milliseconds.
const REGISTRATION_TIMEOUT_MS: u64 = 600_000;

/// What is known of one node.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The node's present run, once it was heard.
    pub node: Option<VmId>,
    /// When it was heard last; when it was first known until then.
    pub last_seen: TimeUs,
    /// Its latest stamp, which it gets back.
    pub stamp_us: u64,
    /// Its version of the configuration.
    pub version: Version,
}

/// The other nodes by address.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: HashMap<SocketAddr, Peer>,
    quota_start: Option<TimeUs>,
}

impl PeerTable {
    /// Adds nodes that are registered on the store.
    pub fn register(&mut self, addresses: &[SocketAddr], now: TimeUs) {
        for address in addresses {
            let new_peer = Peer { node: None, last_seen: now, stamp_us: 0, version: Version(0) };
            self.peers.entry(*address).or_insert(new_peer);
        }
    }

    /// Notes that this node has its own slice of the rates from `from` on.
    pub fn set_quota_start(&mut self, from: TimeUs) {
        self.quota_start.get_or_insert(from);
    }

    /// Notes a word of a node. Returns the run that it replaces, if the node was started again.
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

    /// Returns what is known of the node at an address.
    pub fn get(&self, address: &SocketAddr) -> Option<&Peer> {
        self.peers.get(address)
    }

    /// Returns the address of a run.
    pub fn address_of(&self, node: VmId) -> Option<SocketAddr> {
        self.peers.iter().find(|(_, peer)| peer.node == Some(node)).map(|(address, _)| *address)
    }

    /// Returns the addresses of all nodes.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Returns the addresses of nodes that are expected to answer.
    pub fn live_addresses(&self, now: TimeUs) -> Vec<SocketAddr> {
        let is_live = |peer: &Peer| peer.node.is_some() && now.ms_since(peer.last_seen) < LIVE_TIMEOUT_MS;
        self.peers.iter().filter(|(_, peer)| is_live(peer)).map(|(address, _)| *address).collect()
    }

    /// Returns the runs of nodes that are expected to answer.
    pub fn live_nodes(&self, now: TimeUs) -> Vec<VmId> {
        let live = self.peers.values().filter(|peer| now.ms_since(peer.last_seen) < LIVE_TIMEOUT_MS);
        live.filter_map(|peer| peer.node).collect()
    }

    /// Returns among how many nodes the rates are shared, this one included; zero while this node has
    /// no slice.
    pub fn quota_sharers(&self, now: TimeUs) -> usize {
        if self.quota_start.is_none_or(|from| now < from) {
            return 0;
        }
        1 + self.peers.values().filter(|peer| now.ms_since(peer.last_seen) < SHARER_TIMEOUT_MS).count()
    }

    /// Returns registered nodes that have been silent for so long that they are gone for good.
    pub fn expired_registrations(&self, now: TimeUs) -> Vec<SocketAddr> {
        let is_expired = |peer: &Peer| now.ms_since(peer.last_seen) >= REGISTRATION_TIMEOUT_MS;
        self.peers.iter().filter(|(_, peer)| is_expired(peer)).map(|(address, _)| *address).collect()
    }

    /// Forgets a node.
    pub fn remove(&mut self, address: &SocketAddr) {
        self.peers.remove(address);
    }
}
