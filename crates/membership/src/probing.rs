//! Probing of neighbours and of members of other zones.

use fulmartrestle_core::{TimeUs, VmId};
use rand::RngExt;

use crate::probe::Probe;
use crate::zone_table::ZoneTable;
use crate::{Membership, MessageKind};

/// Additional time for a probe of another zone's member, in milliseconds: its helpers report back.
const CROSS_ZONE_WAIT_MS: u64 = 200;
/// Suspects on the ring that are probed on top of the neighbours.
const MAX_RING_PROBES: usize = 8;

impl Membership {
    pub(crate) fn check_probes(&mut self, now: TimeUs) {
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

    pub(crate) fn probe_ring(&mut self, now: TimeUs) {
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
    pub(crate) fn probe_across_zones(&mut self, now: TimeUs) {
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
}
