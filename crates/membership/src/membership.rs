//! One node's view of the fleet.

use std::collections::BTreeSet;

use fulmartrestle_core::{AvailabilityZone, TimeUs, VmId, rendezvous_owners};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::broadcast::{BroadcastLog, MAX_BROADCAST_BYTES, MAX_DIGEST_BYTES};
use crate::budget::Budget;
use crate::directory::Directory;
use crate::probe::ProbeTable;
use crate::rumour_queue::RumourQueue;
use crate::slot::Slot;
use crate::sync::SyncState;
use crate::tick::Timers;
use crate::zone_table::ZoneTable;
use crate::{
    Broadcast, Incarnation, JoinRecord, MemberChange, MemberRow, MemberState, MembershipError, MembershipSend,
    MembershipSettings, PeerDigest, Rumour, TargetInfo,
};

/// Join records kept as first contacts.
const MAX_CONTACTS: usize = 64;
/// Members of each zone that keep a join record on the log: enough that some are left after a rack
/// fails, few enough that refreshing them is no load for the log.
const JOIN_RECORDS_PER_ZONE: usize = 8;

/// One node's view of the fleet: the directory, and the gossip that keeps it.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(crate) own: VmId,
    pub(crate) settings: MembershipSettings,
    pub(crate) directory: Directory,
    pub(crate) zones: ZoneTable,
    pub(crate) suspects: BTreeSet<VmId>,
    pub(crate) dead: BTreeSet<VmId>,
    pub(crate) probes: ProbeTable,
    pub(crate) rumours: RumourQueue,
    pub(crate) broadcasts_seen: BroadcastLog,
    pub(crate) contacts: Vec<JoinRecord>,
    pub(crate) sync: SyncState,
    pub(crate) timers: Timers,
    pub(crate) random: ChaCha8Rng,
    pub(crate) budget: Budget,
    pub(crate) outgoing: Vec<MembershipSend>,
    pub(crate) changed: BTreeSet<VmId>,
    pub(crate) forgotten: Vec<MemberRow>,
    pub(crate) digests: Vec<PeerDigest>,
    pub(crate) broadcasts: Vec<Broadcast>,
    digest: Option<Vec<u8>>,
    join_record_at: Option<TimeUs>,
}

impl Membership {
    /// Returns the view of a node that knows only itself.
    pub fn new(own: MemberRow, settings: MembershipSettings, seed: u64) -> Self {
        let start = TimeUs::default();
        let mut membership = Self {
            own: own.vm,
            directory: Directory::new(),
            zones: ZoneTable::new(&own.zone),
            suspects: BTreeSet::new(),
            dead: BTreeSet::new(),
            probes: ProbeTable::default(),
            rumours: RumourQueue::new(settings.drop_superseded),
            broadcasts_seen: BroadcastLog::default(),
            contacts: Vec::new(),
            sync: SyncState::default(),
            timers: Timers::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            budget: Budget::new(settings.budget_bytes_per_s),
            outgoing: Vec::new(),
            changed: BTreeSet::new(),
            forgotten: Vec::new(),
            digests: Vec::new(),
            broadcasts: Vec::new(),
            digest: None,
            join_record_at: None,
            settings,
        };
        membership.insert_row(&own, start);
        membership.spread_row(own.vm, start);
        membership
    }

    /// Returns the id of this node.
    pub fn own_vm(&self) -> VmId {
        self.own
    }

    /// Takes join records read from the platform's log as first contacts and starts to fill the
    /// directory from them. It can be called again whenever the log was read.
    pub fn join(&mut self, records: &[JoinRecord], now: TimeUs) {
        let own = self.own;
        let others = records.iter().filter(|record| record.vm != own);
        for record in others {
            self.contacts.retain(|known| known.peer_address != record.peer_address);
            self.contacts.push(record.clone());
        }
        let excess = self.contacts.len().saturating_sub(MAX_CONTACTS);
        self.contacts.drain(..excess);
        if self.directory.len() <= 1 && !self.contacts.is_empty() {
            self.sync.start_filling();
        }
        self.timers.gossip_at = now;
    }

    /// Whether this node should append a join record now. Only a few members of each zone keep one,
    /// and refresh it after a third of the log's retention, given in milliseconds. Deciding takes one
    /// hash for each member of the zone: ask every few seconds rather than every tick.
    pub fn needs_join_record(&self, now: TimeUs, retention_ms: u64) -> bool {
        let is_due = self.join_record_at.is_none_or(|at| now.ms_since(at) >= retention_ms / 3);
        if !is_due {
            return false;
        }
        let zone = self.zones.get(ZoneTable::OWN);
        let role = format!("join-record/{}", zone.name);
        let keepers = rendezvous_owners(&role, zone.ring.iter().copied(), JOIN_RECORDS_PER_ZONE);
        keepers.contains(&self.own)
    }

    /// Returns the record to append.
    pub fn join_record(&self) -> JoinRecord {
        let own = self.own_slot();
        let zone = self.zones.get(own.zone).name.clone();
        JoinRecord { vm: self.own, zone, peer_address: own.peer_address() }
    }

    /// Notes that the join record was appended.
    pub fn mark_join_record_appended(&mut self, now: TimeUs) {
        self.join_record_at = Some(now);
    }

    /// Changes the bytes a second that rumours and directory exchange may use.
    pub fn set_budget(&mut self, bytes_per_s: u64) {
        self.settings.budget_bytes_per_s = bytes_per_s;
        self.budget = Budget::new(bytes_per_s);
    }

    /// Publishes the target behind this node, or that there is none.
    pub fn set_own_target(&mut self, target: Option<TargetInfo>, now: TimeUs) {
        let mut own = self.own_slot();
        own.target = target.as_ref().map(|target| self.directory.intern_target(target, now));
        self.publish_own(own, now);
    }

    /// Publishes that this node is about to stop.
    pub fn leave(&mut self, now: TimeUs) {
        let mut own = self.own_slot();
        own.state = MemberState::Leaving;
        own.published = MemberState::Leaving;
        self.publish_own(own, now);
    }

    /// Sets the digest that rides on every message.
    ///
    /// # Errors
    ///
    /// Returns the size when it is over 96 bytes.
    pub fn set_digest(&mut self, bytes: Vec<u8>) -> Result<(), MembershipError> {
        check_size(&bytes, MAX_DIGEST_BYTES)?;
        self.digest = Some(bytes);
        Ok(())
    }

    /// Spreads a payload of another part to all members. It replaces an earlier one of the same topic
    /// and key.
    ///
    /// # Errors
    ///
    /// Returns the size when it is over 256 bytes.
    pub fn broadcast(&mut self, topic: u8, key: u64, bytes: Vec<u8>, now: TimeUs) -> Result<(), MembershipError> {
        check_size(&bytes, MAX_BROADCAST_BYTES)?;
        let version = self.broadcasts_seen.next_version(topic, key);
        let broadcast = Broadcast { origin: self.own, topic, key, version, bytes };
        self.broadcasts_seen.accept(&broadcast, now);
        self.rumours.push(Rumour::Broadcast(broadcast));
        self.timers.gossip_at = now;
        Ok(())
    }

    /// Takes the messages to send.
    pub fn take_outgoing(&mut self) -> Vec<MembershipSend> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the rows that changed since the last call, this node's own included. Members of a zone that
    /// was lost for good are handed out as dead.
    pub fn take_changes(&mut self, now: TimeUs) -> Vec<MemberChange> {
        let changed = std::mem::take(&mut self.changed);
        let forgotten = std::mem::take(&mut self.forgotten);
        let rows = changed.into_iter().filter_map(|vm| self.member(vm, now));
        forgotten.into_iter().chain(rows).map(|row| MemberChange { row }).collect()
    }

    /// Takes the digests that peers sent since the last call.
    pub fn take_digests(&mut self) -> Vec<PeerDigest> {
        std::mem::take(&mut self.digests)
    }

    /// Takes the broadcasts of other members that arrived since the last call.
    pub fn take_broadcasts(&mut self) -> Vec<Broadcast> {
        std::mem::take(&mut self.broadcasts)
    }

    /// Returns all members, dead ones that are still remembered included.
    pub fn members(&self, now: TimeUs) -> impl Iterator<Item = MemberRow> + '_ {
        self.directory.iter().map(move |slot| self.directory.to_row(slot, self.state_of(slot), &self.zones, now))
    }

    /// Returns the row of one member.
    pub fn member(&self, vm: VmId, now: TimeUs) -> Option<MemberRow> {
        let slot = self.directory.get(vm)?;
        Some(self.directory.to_row(slot, self.state_of(slot), &self.zones, now))
    }

    /// Returns the state of one member.
    pub fn state(&self, vm: VmId) -> Option<MemberState> {
        self.directory.get(vm).map(|slot| self.state_of(slot))
    }

    /// Returns the members of `zone` that can be reached as far as is known, in order of id.
    pub fn reachable_in_zone(&self, zone: &AvailabilityZone) -> Vec<VmId> {
        let Some(index) = self.zones.index_of(zone) else { return Vec::new() };
        let ring = self.zones.get(index).ring.iter().copied();
        ring.filter(|vm| self.state(*vm).is_some_and(MemberState::is_reachable)).collect()
    }

    /// Returns the zones that this node knows members of.
    pub fn zones(&self) -> Vec<AvailabilityZone> {
        self.zones.iter().filter(|zone| !zone.ring.is_empty()).map(|zone| zone.name.clone()).collect()
    }

    /// Whether any member of `zone` other than this node has been heard, directly or through others,
    /// within the zone timeout.
    pub fn is_zone_reachable(&self, zone: &AvailabilityZone) -> bool {
        let Some(index) = self.zones.index_of(zone) else { return false };
        let entry = self.zones.get(index);
        entry.unreachable_since.is_none() && entry.ring.iter().any(|vm| *vm != self.own)
    }

    /// Notes that a call found `vm` out of reach: it is probed at once.
    pub fn report_unreachable(&mut self, vm: VmId, now: TimeUs) {
        let is_candidate = self.state(vm).is_some_and(MemberState::accepts_new_work) && vm != self.own;
        if is_candidate && !self.probes.is_probing(vm) {
            self.probe(vm, now);
        }
    }

    /// Notes that a call reached `vm`. A suspect is told of the suspicion, so that it refutes at once.
    pub fn report_reachable(&mut self, vm: VmId, now: TimeUs) {
        self.probes.forget(vm);
        let Some(slot) = self.directory.get(vm).copied() else { return };
        if matches!(slot.state, MemberState::Suspect | MemberState::Dead) {
            self.tell_suspicion(&slot, now);
        }
    }

    /// Returns the bytes that the directory holds on the heap, without rumours in flight.
    pub fn directory_size_bytes(&self) -> usize {
        let rings: usize = self.zones.iter().map(|zone| zone.ring.capacity() * size_of::<VmId>()).sum();
        self.directory.size_bytes() + rings
    }

    /// Returns how many rumours wait to be passed on.
    pub fn queued_rumours(&self) -> usize {
        self.rumours.len()
    }

    pub(crate) fn own_slot(&self) -> Slot {
        let own = self.directory.get(self.own).copied();
        own.unwrap_or_else(|| unreachable!("the own row is inserted first and never removed"))
    }

    pub(crate) fn digest(&self) -> Option<&Vec<u8>> {
        self.digest.as_ref()
    }

    /// Returns the state of a row with the silence of its zone taken into account.
    pub(crate) fn state_of(&self, slot: &Slot) -> MemberState {
        let is_silent = self.zones.get(slot.zone).unreachable_since.is_some();
        if is_silent && slot.state != MemberState::Dead && slot.vm != self.own {
            MemberState::Unreachable
        } else {
            slot.state
        }
    }

    /// Raises the own incarnation and spreads the own row.
    pub(crate) fn publish_own(&mut self, mut own: Slot, now: TimeUs) {
        own.incarnation = Incarnation(own.incarnation.0.saturating_add(1));
        own.state = own.published;
        self.directory.put(own);
        self.changed.insert(own.vm);
        self.spread_row(own.vm, now);
    }
}

fn check_size(bytes: &[u8], limit_bytes: usize) -> Result<(), MembershipError> {
    if bytes.len() > limit_bytes {
        return Err(MembershipError::PayloadTooLong(bytes.len(), limit_bytes));
    }
    Ok(())
}
