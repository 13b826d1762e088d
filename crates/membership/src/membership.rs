//! The membership state machine of one node.

use std::collections::BTreeSet;

use fulmartrestle_core::{AvailabilityZone, TimeUs, VmId, rendezvous_owners};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::broadcast::{MAX_BROADCAST_BYTES, MAX_DIGEST_BYTES, SeenBroadcasts};
use crate::budget::Budget;
use crate::directory::Directory;
use crate::member_entry::MemberEntry;
use crate::probe::ProbeTable;
use crate::rumour_queue::RumourQueue;
use crate::sync::SyncState;
use crate::tick::Timers;
use crate::zone_table::ZoneTable;
use crate::{
    Broadcast, Incarnation, JoinRecord, MemberChange, MemberRow, MemberState, MembershipError, MembershipSettings,
    OutgoingMessage, PeerDigest, Rumour, TargetInfo,
};

/// Maximum number of join records that are kept as bootstrap contacts.
const MAX_BOOTSTRAP_CONTACTS: usize = 64;
/// Number of members of each zone that keep a join record in the log. Some of them survive the failure of a
/// rack, and refreshing so few records does not load the log.
const JOIN_RECORDS_PER_ZONE: usize = 8;

/// Membership of the fleet as one node sees it: the member directory and the protocol state that maintains it.
///
/// The node calls [`Self::tick`] periodically and [`Self::handle_message`] for each datagram, and sends what
/// [`Self::take_outgoing`] returns.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(crate) own_vm: VmId,
    pub(crate) settings: MembershipSettings,
    pub(crate) directory: Directory,
    pub(crate) zones: ZoneTable,
    pub(crate) suspects: BTreeSet<VmId>,
    pub(crate) dead: BTreeSet<VmId>,
    pub(crate) probes: ProbeTable,
    pub(crate) rumours: RumourQueue,
    pub(crate) seen_broadcasts: SeenBroadcasts,
    pub(crate) bootstrap_contacts: Vec<JoinRecord>,
    pub(crate) sync: SyncState,
    pub(crate) timers: Timers,
    pub(crate) random: ChaCha8Rng,
    pub(crate) budget: Budget,
    pub(crate) outgoing: Vec<OutgoingMessage>,
    pub(crate) changed_members: BTreeSet<VmId>,
    pub(crate) removed_rows: Vec<MemberRow>,
    pub(crate) peer_digests: Vec<PeerDigest>,
    pub(crate) broadcasts: Vec<Broadcast>,
    piggybacked_digest: Option<Vec<u8>>,
    join_record_appended_at: Option<TimeUs>,
}

impl Membership {
    /// Creates the state of a node whose directory contains only its own row.
    pub fn new(own: MemberRow, settings: MembershipSettings, seed: u64) -> Self {
        let start = TimeUs::default();
        let mut membership = Self {
            own_vm: own.vm,
            directory: Directory::new(),
            zones: ZoneTable::new(&own.zone),
            suspects: BTreeSet::new(),
            dead: BTreeSet::new(),
            probes: ProbeTable::default(),
            rumours: RumourQueue::new(settings.drop_superseded),
            seen_broadcasts: SeenBroadcasts::default(),
            bootstrap_contacts: Vec::new(),
            sync: SyncState::default(),
            timers: Timers::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            budget: Budget::new(settings.budget_bytes_per_s),
            outgoing: Vec::new(),
            changed_members: BTreeSet::new(),
            removed_rows: Vec::new(),
            peer_digests: Vec::new(),
            broadcasts: Vec::new(),
            piggybacked_digest: None,
            join_record_appended_at: None,
            settings,
        };
        membership.insert_member(&own, start);
        membership.disseminate_row(own.vm, start);
        membership
    }

    /// Returns the ID under which this node is a member.
    pub fn own_vm(&self) -> VmId {
        self.own_vm
    }

    /// Adds join records from the platform's log as bootstrap contacts, and starts the initial directory
    /// transfer from them if the directory has no other member. It may be called after each read of the log.
    pub fn join(&mut self, records: &[JoinRecord], now: TimeUs) {
        let own_vm = self.own_vm;
        let others = records.iter().filter(|record| record.vm != own_vm);
        for record in others {
            self.bootstrap_contacts.retain(|contact| contact.peer_address != record.peer_address);
            self.bootstrap_contacts.push(record.clone());
        }
        let excess = self.bootstrap_contacts.len().saturating_sub(MAX_BOOTSTRAP_CONTACTS);
        self.bootstrap_contacts.drain(..excess);
        if self.directory.len() <= 1 && !self.bootstrap_contacts.is_empty() {
            self.sync.start_initial_transfer();
        }
        self.timers.next_gossip_at = now;
    }

    /// Returns whether this node should append a join record now. Only a few members of each zone keep a
    /// record, and they refresh it after a third of the log's retention period, `retention_ms`. The decision
    /// computes one hash per member of the zone, so it should be made every few seconds rather than every tick.
    pub fn needs_join_record(&self, now: TimeUs, retention_ms: u64) -> bool {
        let is_due = self.join_record_appended_at.is_none_or(|at| now.ms_since(at) >= retention_ms / 3);
        if !is_due {
            return false;
        }
        let zone = self.zones.get(ZoneTable::OWN_INDEX);
        let role = format!("join-record/{}", zone.name);
        let owners = rendezvous_owners(&role, zone.ring.iter().copied(), JOIN_RECORDS_PER_ZONE);
        owners.contains(&self.own_vm)
    }

    /// Returns the join record of this node, to be appended to the log.
    pub fn join_record(&self) -> JoinRecord {
        let own = self.own_entry();
        let zone = self.zones.get(own.zone).name.clone();
        JoinRecord { vm: self.own_vm, zone, peer_address: own.peer_address() }
    }

    /// Records when the join record was appended, so that it is refreshed in time.
    pub fn mark_join_record_appended(&mut self, now: TimeUs) {
        self.join_record_appended_at = Some(now);
    }

    /// Replaces the byte budget of rumours and directory synchronisation. The new budget starts full.
    pub fn set_budget(&mut self, bytes_per_s: u64) {
        self.settings.budget_bytes_per_s = bytes_per_s;
        self.budget = Budget::new(bytes_per_s);
    }

    /// Publishes the target of this node, or that it has none.
    pub fn set_local_target(&mut self, target: Option<TargetInfo>, now: TimeUs) {
        let mut own = self.own_entry();
        own.target = target.as_ref().map(|target| self.directory.intern_target(target, now));
        self.publish_own_entry(own, now);
    }

    /// Publishes that this node is leaving, so that it receives no new work.
    pub fn leave(&mut self, now: TimeUs) {
        let mut own = self.own_entry();
        own.state = MemberState::Leaving;
        own.published_state = MemberState::Leaving;
        self.publish_own_entry(own, now);
    }

    /// Sets the application digest that is piggybacked on the messages of this node, except accusations.
    ///
    /// # Errors
    ///
    /// Returns [`MembershipError::PayloadTooLong`] for more than 96 bytes.
    pub fn set_piggybacked_digest(&mut self, bytes: Vec<u8>) -> Result<(), MembershipError> {
        check_payload_size(&bytes, MAX_DIGEST_BYTES)?;
        self.piggybacked_digest = Some(bytes);
        Ok(())
    }

    /// Disseminates an application payload to all members. It replaces an earlier payload of the same topic
    /// and key.
    ///
    /// # Errors
    ///
    /// Returns [`MembershipError::PayloadTooLong`] for more than 256 bytes.
    pub fn broadcast(&mut self, topic: u8, key: u64, bytes: Vec<u8>, now: TimeUs) -> Result<(), MembershipError> {
        check_payload_size(&bytes, MAX_BROADCAST_BYTES)?;
        let version = self.seen_broadcasts.next_version(topic, key);
        let broadcast = Broadcast { origin: self.own_vm, topic, key, version, bytes };
        self.seen_broadcasts.accept(&broadcast, now);
        self.rumours.push(Rumour::Broadcast(broadcast));
        self.timers.next_gossip_at = now;
        Ok(())
    }

    /// Takes the messages that are ready to be sent.
    pub fn take_outgoing(&mut self) -> Vec<OutgoingMessage> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the rows that changed since the last call, including the row of this node. Members that were removed
    /// with an unreachable zone are returned once as dead.
    pub fn take_changes(&mut self, now: TimeUs) -> Vec<MemberChange> {
        let changed = std::mem::take(&mut self.changed_members);
        let removed = std::mem::take(&mut self.removed_rows);
        let rows = changed.into_iter().filter_map(|vm| self.member(vm, now));
        removed.into_iter().chain(rows).map(|row| MemberChange { row }).collect()
    }

    /// Takes the application digests received from peers since the last call.
    pub fn take_peer_digests(&mut self) -> Vec<PeerDigest> {
        std::mem::take(&mut self.peer_digests)
    }

    /// Takes the broadcasts received from other members since the last call.
    pub fn take_broadcasts(&mut self) -> Vec<Broadcast> {
        std::mem::take(&mut self.broadcasts)
    }

    /// Returns the rows of all members, including dead ones that are still retained.
    pub fn members(&self, now: TimeUs) -> impl Iterator<Item = MemberRow> + '_ {
        self.directory
            .iter()
            .map(move |entry| self.directory.to_row(entry, self.effective_state(entry), &self.zones, now))
    }

    /// Returns the row of `vm`, or `None` if the directory has no such member.
    pub fn member(&self, vm: VmId, now: TimeUs) -> Option<MemberRow> {
        let entry = self.directory.get(vm)?;
        Some(self.directory.to_row(entry, self.effective_state(entry), &self.zones, now))
    }

    /// Returns the state of `vm`, or `None` if the directory has no such member.
    pub fn state(&self, vm: VmId) -> Option<MemberState> {
        self.directory.get(vm).map(|entry| self.effective_state(entry))
    }

    /// Returns the members of `zone` that are considered reachable, ordered by ID.
    pub fn reachable_in_zone(&self, zone: &AvailabilityZone) -> Vec<VmId> {
        let Some(index) = self.zones.index_of(zone) else { return Vec::new() };
        let ring = self.zones.get(index).ring.iter().copied();
        ring.filter(|vm| self.state(*vm).is_some_and(MemberState::is_reachable)).collect()
    }

    /// Returns the zones that have at least one member that is not dead.
    pub fn zones(&self) -> Vec<AvailabilityZone> {
        self.zones.iter().filter(|zone| !zone.ring.is_empty()).map(|zone| zone.name.clone()).collect()
    }

    /// Returns whether `zone` has a member other than this node, and evidence that the zone is alive arrived
    /// within the zone timeout, directly or through other members.
    pub fn is_zone_reachable(&self, zone: &AvailabilityZone) -> bool {
        let Some(index) = self.zones.index_of(zone) else { return false };
        let entry = self.zones.get(index);
        entry.unreachable_since.is_none() && entry.ring.iter().any(|vm| *vm != self.own_vm)
    }

    /// Reports that a call could not reach `vm`. The member is probed immediately.
    pub fn report_unreachable(&mut self, vm: VmId, now: TimeUs) {
        let is_candidate = self.state(vm).is_some_and(MemberState::accepts_new_work) && vm != self.own_vm;
        if is_candidate && !self.probes.is_probing(vm) {
            self.probe(vm, now);
        }
    }

    /// Reports that a call reached `vm`. Probes of it are cancelled; if it is suspect or dead, the accusation is sent
    /// to it, so that it can refute it immediately.
    pub fn report_reachable(&mut self, vm: VmId, now: TimeUs) {
        self.probes.remove_subject(vm);
        let Some(entry) = self.directory.get(vm).copied() else { return };
        if matches!(entry.state, MemberState::Suspect | MemberState::Dead) {
            self.send_accusation(&entry, now);
        }
    }

    /// Returns the heap memory of the directory in bytes, without queued rumours.
    pub fn directory_size_bytes(&self) -> usize {
        let rings: usize = self.zones.iter().map(|zone| zone.ring.capacity() * size_of::<VmId>()).sum();
        self.directory.size_bytes() + rings
    }

    /// Returns the number of rumours that are queued for dissemination.
    pub fn queued_rumours(&self) -> usize {
        self.rumours.len()
    }

    pub(crate) fn own_entry(&self) -> MemberEntry {
        let own = self.directory.get(self.own_vm).copied();
        own.unwrap_or_else(|| unreachable!("the row of this node is inserted at creation and never removed"))
    }

    pub(crate) fn piggybacked_digest(&self) -> Option<&Vec<u8>> {
        self.piggybacked_digest.as_ref()
    }

    /// Returns the state of a member, which is [`MemberState::Unreachable`] while its zone is unreachable.
    pub(crate) fn effective_state(&self, entry: &MemberEntry) -> MemberState {
        let is_zone_unreachable = self.zones.get(entry.zone).unreachable_since.is_some();
        if is_zone_unreachable && entry.state != MemberState::Dead && entry.vm != self.own_vm {
            MemberState::Unreachable
        } else {
            entry.state
        }
    }

    /// Increments this node's incarnation and disseminates its row.
    pub(crate) fn publish_own_entry(&mut self, mut own: MemberEntry, now: TimeUs) {
        own.incarnation = Incarnation(own.incarnation.0.saturating_add(1));
        own.state = own.published_state;
        self.directory.put(own);
        self.changed_members.insert(own.vm);
        self.disseminate_row(own.vm, now);
    }
}

fn check_payload_size(bytes: &[u8], limit_bytes: usize) -> Result<(), MembershipError> {
    if bytes.len() > limit_bytes {
        return Err(MembershipError::PayloadTooLong(bytes.len(), limit_bytes));
    }
    Ok(())
}
