//! The other nodes: their addresses, when they were last seen, and how many nodes share the tenants' rates.

use std::collections::HashMap;
use std::net::SocketAddr;

use fulmartrestle_core::{AvailabilityZone, TimeUs, Version, VmId};
use fulmartrestle_quota::{IssuerCandidate, ShardSet, TokenShard};

use crate::status_message::{NodeIdentity, NodeStatus, StatusMessage};

/// Time without a status message after which a node no longer counts for the division of the tenants' rates, in
/// milliseconds. It is far longer than the time for which a partitioned node continues to accept requests with keys.
const SHARER_TIMEOUT_MS: u64 = 30_000;

/// Time without a status message after which a node is not expected to respond, in milliseconds: two lost
/// messages and some network delay.
const LIVE_TIMEOUT_MS: u64 = 2_600;

/// Time without a status message after which a node's registration is removed from the store, in milliseconds.
const REGISTRATION_TIMEOUT_MS: u64 = 60_000;

/// The same for a node that has announced that it stops, in milliseconds. A process that is started again sends
/// status messages earlier than that.
const LEAVING_TIMEOUT_MS: u64 = 6_000;

/// Time without a status message after which a node receives no leases any more, in milliseconds: one lost message
/// and some network delay.
const LESSEE_TIMEOUT_MS: u64 = 1_500;

/// Time by which a stamp may be older than the last one of the same address and still belong to an earlier run whose
/// messages are late, in microseconds. A larger difference means that the VM was replaced.
const MAX_LATE_STAMP_US: u64 = 10_000_000;

/// Local view of one other node.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// ID of the node's current run; `None` until its first status message.
    pub node: Option<VmId>,
    /// When its last status message arrived; until the first one, when the node became known.
    pub last_seen: TimeUs,
    /// The latest stamp received from the node, which is echoed to it.
    pub stamp_us: u64,
    /// Its version of the configuration.
    pub version: Version,
    /// Its zone, if it is known.
    pub zone: Option<AvailabilityZone>,
    /// Its names; `None` until its first status message.
    pub identity: Option<NodeIdentity>,
    /// The latest stamp of this run that it has confirmed.
    pub confirmed_stamp: TimeUs,
    /// Shards for which it issues tokens.
    pub issued: ShardSet,
    /// Whether it stops.
    pub leaving: bool,
    /// Whether its last call to the store succeeded.
    pub reaches_store: bool,
    /// Number up to which the crashes of its target have been received from this run.
    pub crashes_received: u32,
    /// Number up to which it has confirmed the crashes of this node's target.
    pub crashes_confirmed: u32,
}

/// Registration of a node on the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// Peer address of the node.
    pub address: SocketAddr,
    /// Its zone, if the registration names one.
    pub zone: Option<AvailabilityZone>,
}

/// Effect of a status message on the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatusEffect {
    /// ID of the previous run at the address, which has ended.
    pub replaced: Option<VmId>,
    /// Whether the message is the first one of its run.
    pub is_new: bool,
    /// Whether the message is a late one of an earlier run and must be ignored.
    pub is_outdated: bool,
}

/// Delay of a timer from which on this process was paused, in milliseconds.
const MIN_PAUSE_MS: u64 = 2_000;

/// Time from the start of a node by which it has heard of the others, in milliseconds: one interval of status messages and
/// the time to read the registrations.
const FIRST_STATUS_MS: u64 = 1_500;

/// The other nodes by their peer addresses.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: HashMap<SocketAddr, Peer>,
    quota_start: Option<TimeUs>,
    /// When this process last went on after a pause, in which it heard of nobody.
    resumed_at: TimeUs,
}

impl PeerTable {
    /// Adds nodes that are registered on the store. Known nodes stay as they are.
    pub fn register(&mut self, registrations: &[Registration], now: TimeUs) {
        for Registration { address, zone } in registrations {
            let new_peer = || Peer { last_seen: now, zone: zone.clone(), ..Peer::default() };
            self.peers.entry(*address).or_insert_with(new_peer);
        }
    }

    /// Sets when this node starts to use its share of the tenants' rates. Only the first call has an effect.
    pub fn set_quota_start(&mut self, start: TimeUs) {
        self.quota_start.get_or_insert(start);
    }

    /// Completes a status message with the sender's names. Returns `None` if it leaves them out and they are not
    /// known, which ends when the sender hears of this run.
    pub fn complete_status(&self, message: StatusMessage, address: SocketAddr) -> Option<NodeStatus> {
        let known = self.peers.get(&address).filter(|peer| peer.node == Some(message.node));
        let identity = message.identity.clone().or_else(|| known.and_then(|peer| peer.identity.clone()))?;
        Some(NodeStatus { message, address, identity })
    }

    /// Records a status message. `started_at` is the start of this node's run.
    pub fn record_status(&mut self, status: &NodeStatus, started_at: TimeUs, now: TimeUs) -> StatusEffect {
        let message = &status.message;
        let entry = self.peers.entry(status.address).or_default();
        let replaced = entry.node.filter(|known| *known != message.node);
        let stamp_age_us = entry.stamp_us.saturating_sub(message.stamp_us);
        if replaced.is_some() && stamp_age_us > 0 && stamp_age_us < MAX_LATE_STAMP_US {
            return StatusEffect { is_outdated: true, ..StatusEffect::default() };
        }
        let is_new = entry.node != Some(message.node);
        let echoed_stamp = message.echo_us.map(TimeUs).filter(|stamp| *stamp >= started_at).unwrap_or_default();
        let has_heard_this_run = echoed_stamp > TimeUs::default();
        let crashes_received = if is_new { 0 } else { entry.crashes_received };
        let confirmed_stamp = if is_new { echoed_stamp } else { entry.confirmed_stamp.max(echoed_stamp) };
        *entry = Peer {
            node: Some(message.node),
            last_seen: now,
            stamp_us: message.stamp_us,
            version: message.version,
            zone: Some(status.identity.zone.clone()),
            identity: Some(status.identity.clone()),
            confirmed_stamp,
            issued: message.issued,
            leaving: message.leaving,
            reaches_store: message.reaches_store,
            crashes_received: crashes_received.max(message.crashes.end()),
            crashes_confirmed: if has_heard_this_run { message.crashes_received } else { 0 },
        };
        StatusEffect { replaced, is_new, is_outdated: false }
    }

    /// Returns the nodes to which rights to issue tokens may be leased.
    pub fn issuer_candidates(&self, own_zone: &AvailabilityZone, now: TimeUs) -> Vec<IssuerCandidate> {
        let is_fresh = |peer: &&Peer| !peer.leaving && now.ms_since(peer.last_seen) < LESSEE_TIMEOUT_MS;
        let to_candidate = |peer: &Peer| {
            peer.node.map(|node| IssuerCandidate { node, in_own_zone: peer.zone.as_ref() == Some(own_zone) })
        };
        self.peers.values().filter(is_fresh).filter_map(to_candidate).collect()
    }

    /// Returns the live nodes that issue tokens of a shard.
    pub fn issuers(&self, shard: TokenShard, now: TimeUs) -> Vec<VmId> {
        let live = self.peers.values().filter(|peer| now.ms_since(peer.last_seen) < LIVE_TIMEOUT_MS);
        live.filter(|peer| peer.issued.contains(shard)).filter_map(|peer| peer.node).collect()
    }

    /// Returns whether every known node, or every one that may be in `zone`, has received a status message of this
    /// run, so that none of them counts on what an earlier run on this VM has sent.
    pub fn all_have_heard_this_run(&self, zone: Option<&AvailabilityZone>) -> bool {
        let is_in_zone = |peer: &&Peer| zone.is_none() || peer.zone.is_none() || peer.zone.as_ref() == zone;
        !self.peers.is_empty()
            && self.peers.values().filter(is_in_zone).all(|peer| peer.confirmed_stamp > TimeUs::default())
    }

    /// Returns whether a known node is in `zone`. Returns true while no node is known at all, or one whose zone is not
    /// known, because it may be there.
    pub fn may_have_nodes_in(&self, zone: &AvailabilityZone) -> bool {
        self.peers.is_empty() || self.peers.values().any(|peer| peer.zone.is_none() || peer.zone.as_ref() == Some(zone))
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

    /// Returns the addresses of the nodes that are expected to respond, those in `zone` first.
    pub fn live_addresses_nearest_first(&self, zone: &AvailabilityZone, now: TimeUs) -> Vec<SocketAddr> {
        let mut addresses = self.live_addresses(now);
        addresses.sort_by_key(|address| self.peers[address].zone.as_ref() != Some(zone));
        addresses
    }

    /// Returns the IDs of the nodes that are expected to respond and that reach the store.
    pub fn live_store_readers(&self, now: TimeUs) -> Vec<VmId> {
        let live = self.peers.values().filter(|peer| now.ms_since(peer.last_seen) < LIVE_TIMEOUT_MS);
        live.filter(|peer| peer.reaches_store && !peer.leaving).filter_map(|peer| peer.node).collect()
    }

    /// Returns the highest version of the configuration on nodes that are expected to respond.
    pub fn highest_version(&self, now: TimeUs) -> Version {
        let live = self.peers.values().filter(|peer| now.ms_since(peer.last_seen) < LIVE_TIMEOUT_MS);
        live.map(|peer| peer.version).max().unwrap_or_default()
    }

    /// Returns whether this node, which runs since `started_at`, has heard of another node, or for so long of none that there
    /// is none. Before that, [`PeerTable::highest_version`] says nothing.
    pub fn knows_versions(&self, started_at: TimeUs, now: TimeUs) -> bool {
        now.ms_since(started_at) >= FIRST_STATUS_MS || self.peers.values().any(|peer| peer.node.is_some())
    }

    /// Returns the number of nodes that share the tenants' rates, this one included, or 0 while this node has no
    /// share yet.
    pub fn quota_sharers(&self, now: TimeUs) -> usize {
        if self.quota_start.is_none_or(|start| now < start) {
            return 0;
        }
        1 + self.peers.values().filter(|peer| now.ms_since(peer.last_seen) < SHARER_TIMEOUT_MS).count()
    }

    /// Observes that this process runs, which was due at `due`. After a pause all others look silent.
    pub fn observe_timer(&mut self, due: TimeUs, now: TimeUs) {
        if now.ms_since(due) >= MIN_PAUSE_MS {
            self.resumed_at = now;
        }
    }

    /// Returns the addresses of nodes that have sent no status message for so long that they are considered gone.
    pub fn expired_registrations(&self, now: TimeUs) -> Vec<SocketAddr> {
        let timeout_ms = |peer: &Peer| if peer.leaving { LEAVING_TIMEOUT_MS } else { REGISTRATION_TIMEOUT_MS };
        let is_expired = |peer: &Peer| now.ms_since(peer.last_seen.max(self.resumed_at)) >= timeout_ms(peer);
        self.peers.iter().filter(|(_, peer)| is_expired(peer)).map(|(address, _)| *address).collect()
    }

    /// Removes a node.
    pub fn remove(&mut self, address: &SocketAddr) {
        self.peers.remove(address);
    }
}
