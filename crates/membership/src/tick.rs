//! What a node does as time passes.

use std::net::SocketAddr;

use fulmartrestle_core::{TimeUs, VmId};
use rand::RngExt;

use crate::budget::BudgetShare;
use crate::probe::Probe;
use crate::slot::Slot;
use crate::zone_table::{ZoneEntry, ZoneTable};
use crate::{MemberState, Membership, MessageKind};

/// Time between two ticks above which the node takes itself to have been paused, in milliseconds.
const PAUSE_MS: u64 = 1_000;
/// Interval of dropping what is no longer needed, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 10_000;
/// Additional time for a probe of another zone's member, in milliseconds: its helpers report back.
const CROSS_ZONE_WAIT_MS: u64 = 200;
/// Members that together make one attempt each interval to reach members that are dead or unreachable.
const RECONNECTING_MEMBERS: usize = 16;
/// Suspects on the ring that are probed on top of the neighbours.
const MAX_RING_PROBES: usize = 8;

/// When each periodic step is due.
#[derive(Clone, Debug, Default)]
pub struct Timers {
    last_tick: Option<TimeUs>,
    ring_at: TimeUs,
    cross_zone_at: TimeUs,
    pub gossip_at: TimeUs,
    pub ask_sender_at: TimeUs,
    sync_at: TimeUs,
    reconnect_at: TimeUs,
    expiry_at: TimeUs,
    next_cross_zone: u16,
}

impl Membership {
    /// Does what is due. It is called every 50 ms or so; probes and rumours wait for it.
    pub fn tick(&mut self, now: TimeUs) {
        self.note_elapsed(now);
        self.check_probes(now);
        self.check_suspects(now);
        self.check_zones(now);
        self.probe_ring(now);
        self.probe_across_zones(now);
        self.fill_directory(now);
        self.gossip(now);
        self.sync_if_due(now);
        self.reconnect(now);
        self.expire(now);
    }

    /// Earns budget, and after a pause of this node drops conclusions from answers that it could not
    /// have read.
    fn note_elapsed(&mut self, now: TimeUs) {
        let Some(last_tick) = self.timers.last_tick.replace(now) else {
            self.start_timers(now);
            return;
        };
        self.budget.refill(now.us_since(last_tick));
        let gap_ms = now.ms_since(last_tick);
        if gap_ms >= PAUSE_MS {
            self.resume(gap_ms, now);
        }
    }

    fn start_timers(&mut self, now: TimeUs) {
        self.timers.ring_at = self.after_random(self.settings.probe_interval_ms, now);
        self.timers.cross_zone_at = self.after_random(self.settings.probe_interval_ms, now);
        self.timers.sync_at = self.after_random(self.settings.sync_interval_ms, now);
        self.reset_zone_clocks(now);
    }

    fn resume(&mut self, gap_ms: u64, now: TimeUs) {
        self.probes.clear();
        self.timers.sync_at = now;
        self.reset_zone_clocks(now);
        for vm in self.suspects.clone() {
            let Some(slot) = self.directory.get(vm).copied() else { continue };
            self.directory.put(Slot { since: slot.since.plus_ms(gap_ms), ..slot });
        }
    }

    fn reset_zone_clocks(&mut self, now: TimeUs) {
        for index in self.zones.indexes() {
            let zone = self.zones.get_mut(index);
            zone.heard_at = now;
            zone.risen_at = now;
        }
    }

    fn check_probes(&mut self, now: TimeUs) {
        let timeout_ms = self.settings.ack_timeout_ms;
        for (sequence, probe) in self.probes.take_unanswered(timeout_ms, now) {
            self.ask_helpers(sequence, &probe, now);
        }
        let failed_ms = timeout_ms + self.settings.indirect_timeout_ms;
        let directory = &self.directory;
        let wait_ms = |probe: &Probe| match directory.get(probe.subject) {
            Some(slot) if slot.zone != ZoneTable::OWN => failed_ms + CROSS_ZONE_WAIT_MS,
            _ => failed_ms,
        };
        let failed = self.probes.take_failed(|probe| now.ms_since(probe.sent_at) >= wait_ms(probe));
        for probe in failed {
            self.on_failed_probe(&probe, now);
        }
        for relay in self.probes.take_unanswered_relays(timeout_ms, now) {
            self.send(relay.origin, MessageKind::Nack { sequence: relay.origin_sequence }, now);
        }
    }

    /// Asks helpers to probe a member: its neighbours where it is in another zone, with one member of
    /// any zone that may have a way around a cut.
    fn ask_helpers(&mut self, sequence: u32, probe: &Probe, now: TimeUs) {
        let Some(zone) = self.directory.get(probe.subject).map(|slot| slot.zone) else { return };
        for index in 0..self.settings.helpers {
            let helper = if index == 0 { self.random_member() } else { self.random_member_of(zone) };
            let Some(helper) = helper.filter(|helper| helper.vm != probe.subject) else { continue };
            let kind = MessageKind::PingRequest { sequence, subject: probe.subject, address: probe.address };
            self.send(helper.peer_address(), kind, now);
        }
    }

    /// Suspects a member that did not answer. In another zone, one of its neighbours has to have
    /// confirmed it: the way between the two zones may be cut while both are reached over a third, and a
    /// zone that was lost as a whole is noticed by its heartbeat.
    fn on_failed_probe(&mut self, probe: &Probe, now: TimeUs) {
        let Some(slot) = self.directory.get(probe.subject).copied() else { return };
        let is_evident = slot.zone == ZoneTable::OWN || probe.confirmed_in_zone;
        if is_evident && slot.incarnation == probe.incarnation && !self.is_frozen(slot.zone) {
            self.suspect(probe.subject, now);
        }
    }

    fn check_suspects(&mut self, now: TimeUs) {
        let timeout_ms = self.settings.suspicion_timeout_ms;
        for vm in self.suspects.clone() {
            let Some(slot) = self.directory.get(vm).copied() else { continue };
            if now.ms_since(slot.since) < timeout_ms || self.is_frozen(slot.zone) {
                continue;
            }
            if slot.own_suspicion {
                self.bury(vm, now);
            } else {
                self.set_state(slot, MemberState::Dead, now);
            }
        }
    }

    fn check_zones(&mut self, now: TimeUs) {
        let beat_ms = self.settings.zone_beat_interval_ms;
        let own = self.zones.get_mut(ZoneTable::OWN);
        if now.ms_since(own.risen_at) >= beat_ms {
            own.beat = own.beat.saturating_add(1);
            own.risen_at = now;
        }
        for index in self.zones.indexes() {
            self.check_zone(index, now);
        }
    }

    fn check_zone(&mut self, index: u16, now: TimeUs) {
        let zone = self.zones.get(index);
        let has_members = zone.ring.iter().any(|vm| *vm != self.own);
        let is_silent = has_members && now.ms_since(zone.heard_at) >= self.settings.zone_timeout_ms;
        if is_silent == zone.unreachable_since.is_some() {
            return;
        }
        self.zones.get_mut(index).unreachable_since = is_silent.then_some(now);
        let members = self.zones.get(index).ring.clone();
        self.changed.extend(members.iter().copied());
        if is_silent && self.is_frozen(index) {
            let suspects: Vec<VmId> = members.into_iter().filter(|vm| self.suspects.contains(vm)).collect();
            suspects.into_iter().for_each(|vm| self.cancel_suspicion(vm, now));
        }
    }

    fn probe_ring(&mut self, now: TimeUs) {
        if now < self.timers.ring_at {
            return;
        }
        self.timers.ring_at = now.plus_ms(self.settings.probe_interval_ms);
        for vm in self.ring_subjects() {
            if !self.probes.is_probing(vm) {
                self.probe(vm, now);
            }
        }
    }

    /// Returns the next neighbours on the ring that are not suspect, and the suspects before them.
    fn ring_subjects(&self) -> Vec<VmId> {
        let mut subjects = Vec::new();
        let mut neighbours = 0;
        for vm in self.zones.get(ZoneTable::OWN).successors(self.own) {
            if neighbours >= self.settings.ring_neighbours || subjects.len() >= MAX_RING_PROBES {
                break;
            }
            subjects.push(vm);
            neighbours += usize::from(!self.suspects.contains(&vm));
        }
        subjects
    }

    /// Probes a random member of the next zone in turn: it carries rumours and heartbeats across, and
    /// finds members that all their neighbours lost at the same time.
    fn probe_across_zones(&mut self, now: TimeUs) {
        if now < self.timers.cross_zone_at {
            return;
        }
        self.timers.cross_zone_at = now.plus_ms(self.settings.probe_interval_ms);
        let count = self.zones.indexes().end;
        for _ in 0..count {
            let index = self.timers.next_cross_zone % count;
            self.timers.next_cross_zone = index + 1;
            let zone = self.zones.get(index);
            if index == ZoneTable::OWN || zone.ring.is_empty() || zone.unreachable_since.is_some() {
                continue;
            }
            let vm = zone.ring[self.random.random_range(0..zone.ring.len())];
            if !self.probes.is_probing(vm) {
                self.probe(vm, now);
            }
            return;
        }
    }

    /// Sends a probe to a member.
    pub(crate) fn probe(&mut self, vm: VmId, now: TimeUs) {
        let Some(slot) = self.directory.get(vm).copied() else { return };
        let probe = Probe {
            subject: vm,
            incarnation: slot.incarnation,
            address: slot.peer_address(),
            sent_at: now,
            asked_helpers: false,
            confirmed_in_zone: false,
        };
        let sequence = self.probes.add(probe);
        self.send(slot.peer_address(), MessageKind::Ping { sequence, subject: vm }, now);
    }

    fn gossip(&mut self, now: TimeUs) {
        if now < self.timers.gossip_at || self.rumours.is_empty() {
            return;
        }
        self.timers.gossip_at = now.plus_ms(self.settings.gossip_interval_ms);
        for _ in 0..self.settings.gossip_fanout {
            let Some(peer) = self.random_contact() else { return };
            if self.rumours.is_empty() || !self.can_afford(BudgetShare::Rumours, 0) {
                return;
            }
            self.send(peer, MessageKind::Gossip, now);
        }
    }

    fn sync_if_due(&mut self, now: TimeUs) {
        if now >= self.timers.sync_at && !self.sync.is_filling() {
            self.timers.sync_at = self.exchange_digests(now);
        }
    }

    /// Tries one member that is dead or unreachable, or a first contact, so that parts of the fleet
    /// that lost each other meet again.
    fn reconnect(&mut self, now: TimeUs) {
        if now < self.timers.reconnect_at {
            return;
        }
        self.timers.reconnect_at = now.plus_ms(self.reconnect_interval_ms());
        let candidates = self.reconnect_candidates();
        if candidates.is_empty() {
            return;
        }
        let (address, subject) = candidates[self.random.random_range(0..candidates.len())];
        // Sequence 0 belongs to no probe: a missing answer is no news.
        self.send(address, MessageKind::Ping { sequence: 0, subject }, now);
        if let Some(slot) = self.directory.get(subject).copied()
            && slot.state == MemberState::Dead
        {
            self.tell_suspicion(&slot, now);
        }
    }

    /// Returns the interval of this node's attempts, such that all members together make no more of
    /// them as the fleet grows: they would otherwise flood the few addresses that are tried.
    fn reconnect_interval_ms(&mut self) -> u64 {
        let live: usize = self.zones.iter().map(|zone| self.other_members(zone)).sum();
        let interval_ms =
            self.settings.reconnect_interval_ms.saturating_mul((live / RECONNECTING_MEMBERS).max(1) as u64);
        self.random.random_range(interval_ms / 2..=interval_ms.saturating_add(interval_ms / 2))
    }

    fn reconnect_candidates(&mut self) -> Vec<(SocketAddr, VmId)> {
        let mut candidates = Vec::new();
        for index in self.zones.indexes() {
            let zone = self.zones.get(index);
            if zone.unreachable_since.is_some() && !zone.ring.is_empty() {
                let vm = zone.ring[self.random.random_range(0..zone.ring.len())];
                candidates.extend(self.directory.get(vm).map(|slot| (slot.peer_address(), vm)));
            }
        }
        if !self.dead.is_empty() {
            let index = self.random.random_range(0..self.dead.len());
            let vm = self.dead.iter().nth(index).copied();
            let slot = vm.and_then(|vm| self.directory.get(vm));
            candidates.extend(slot.map(|slot| (slot.peer_address(), slot.vm)));
        }
        let unknown = |vm: VmId| self.directory.get(vm).is_none();
        let contacts = self.contacts.iter().filter(|contact| unknown(contact.vm));
        candidates.extend(contacts.map(|contact| (contact.peer_address, contact.vm)));
        candidates.retain(|(_, vm)| *vm != self.own);
        candidates
    }

    fn expire(&mut self, now: TimeUs) {
        if now < self.timers.expiry_at {
            return;
        }
        self.timers.expiry_at = now.plus_ms(EXPIRY_INTERVAL_MS);
        self.broadcasts_seen.expire(now);
        self.forget_lost_zones(now);
        let retention_ms = self.settings.dead_retention_ms;
        for vm in self.dead.clone() {
            let is_old = self.directory.get(vm).is_none_or(|slot| now.ms_since(slot.since) >= retention_ms);
            if is_old {
                self.directory.remove(vm);
                self.dead.remove(&vm);
            }
        }
    }

    /// Forgets the members of zones that have been silent for longer than dead members are remembered.
    /// They aren't marked as dead: each would refute that after a long cut, and all rows would change.
    fn forget_lost_zones(&mut self, now: TimeUs) {
        let retention_ms = self.settings.dead_retention_ms;
        for index in self.zones.indexes() {
            let zone = self.zones.get(index);
            if zone.unreachable_since.is_some_and(|since| now.ms_since(since) >= retention_ms) {
                let members: Vec<VmId> = zone.ring.iter().copied().filter(|vm| *vm != self.own).collect();
                members.into_iter().for_each(|vm| self.forget(vm, now));
            }
        }
    }

    /// Returns a random member that can be reached as far as is known, or a first contact.
    pub(crate) fn random_contact(&mut self) -> Option<SocketAddr> {
        if let Some(slot) = self.random_member() {
            return Some(slot.peer_address());
        }
        if self.contacts.is_empty() {
            return None;
        }
        let index = self.random.random_range(0..self.contacts.len());
        Some(self.contacts[index].peer_address)
    }

    /// Returns a random member other than this node that can be reached as far as is known.
    fn random_member(&mut self) -> Option<Slot> {
        let count: usize = self.zones.iter().map(|zone| self.other_members(zone)).sum();
        if count == 0 {
            return None;
        }
        let mut index = self.random.random_range(0..count);
        for zone in self.zones.iter() {
            let others = self.other_members(zone);
            if index < others {
                let start = zone.ring.partition_point(|vm| *vm <= self.own);
                let vm = zone.ring[(start + index) % zone.ring.len()];
                return self.directory.get(vm).copied();
            }
            index -= others;
        }
        None
    }

    /// Returns a random member of a zone other than this node.
    fn random_member_of(&mut self, zone: u16) -> Option<Slot> {
        let ring = &self.zones.get(zone).ring;
        if ring.is_empty() {
            return None;
        }
        let vm = ring[self.random.random_range(0..ring.len())];
        self.directory.get(vm).filter(|slot| slot.vm != self.own).copied()
    }

    /// Returns how many members of a reachable zone there are beside this node.
    fn other_members(&self, zone: &ZoneEntry) -> usize {
        if zone.unreachable_since.is_some() {
            return 0;
        }
        zone.ring.len() - usize::from(zone.ring.binary_search(&self.own).is_ok())
    }

    fn after_random(&mut self, interval_ms: u64, now: TimeUs) -> TimeUs {
        now.plus_us(self.random.random_range(0..interval_ms.max(1) * 1_000))
    }
}
