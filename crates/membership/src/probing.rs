//! Failure detection: direct and indirect probes of ring neighbours and of members of other zones.

use fulmartrestle_core::{TimeUs, VmId};
use rand::RngExt;

use crate::probe::Probe;
use crate::zone_table::ZoneTable;
use crate::{Membership, MessageKind};

/// Additional timeout for a probe of a member in another zone, in milliseconds. It is the time for the relaying members
/// to report back.
const CROSS_ZONE_EXTRA_TIMEOUT_MS: u64 = 200;
/// Maximum number of members that one round probes on the ring, suspects included.
const MAX_RING_PROBES: usize = 8;

impl Membership {
    /// Starts indirect probes for unanswered probes, and handles probes and relayed probes that timed out.
    pub(crate) fn check_probes(&mut self, now: TimeUs) {
        let timeout_ms = self.settings.ack_timeout_ms;
        for (sequence, probe) in self.probes.mark_for_indirect_probe(timeout_ms, now) {
            self.send_ping_requests(sequence, &probe, now);
        }
        let total_timeout_ms = timeout_ms + self.settings.indirect_timeout_ms;
        let directory = &self.directory;
        let probe_timeout_ms = |probe: &Probe| match directory.get(probe.subject) {
            Some(entry) if entry.zone != ZoneTable::OWN_INDEX => total_timeout_ms + CROSS_ZONE_EXTRA_TIMEOUT_MS,
            _ => total_timeout_ms,
        };
        let failed = self.probes.take_failed(|probe| now.ms_since(probe.sent_at) >= probe_timeout_ms(probe));
        for probe in failed {
            self.handle_failed_probe(&probe, now);
        }
        for relay in self.probes.take_timed_out_relays(timeout_ms, now) {
            self.send(relay.origin, MessageKind::Nack { sequence: relay.origin_sequence }, now);
        }
    }

    /// Requests indirect probes of a member, one from a member of any zone, which may have a path around a partition,
    /// and the others from members of the zone of the probed member.
    fn send_ping_requests(&mut self, sequence: u32, probe: &Probe, now: TimeUs) {
        let Some(zone) = self.directory.get(probe.subject).map(|entry| entry.zone) else { return };
        for index in 0..self.settings.helpers {
            let helper = if index == 0 { self.random_member() } else { self.random_member_of_zone(zone) };
            let Some(helper) = helper.filter(|helper| helper.vm != probe.subject) else { continue };
            let kind = MessageKind::PingRequest { sequence, subject: probe.subject, address: probe.address };
            self.send(helper.peer_address(), kind, now);
        }
    }

    /// Marks a member that did not answer as suspect. The failure of a member in another zone has to be confirmed by a
    /// member of that zone: the path between the two zones may be partitioned while both are reachable through a third,
    /// and the loss of a whole zone is detected by its heartbeat.
    fn handle_failed_probe(&mut self, probe: &Probe, now: TimeUs) {
        let Some(entry) = self.directory.get(probe.subject).copied() else { return };
        let is_confirmed = entry.zone == ZoneTable::OWN_INDEX || probe.confirmed_by_zone_member;
        if is_confirmed && entry.incarnation == probe.incarnation && !self.is_failure_detection_suspended(entry.zone) {
            self.mark_suspect(probe.subject, now);
        }
    }

    /// Probes the successors on the ring of this node's zone, if a round is due.
    pub(crate) fn probe_ring(&mut self, now: TimeUs) {
        if now < self.timers.next_ring_probe_at {
            return;
        }
        self.timers.next_ring_probe_at = now.plus_ms(self.settings.probe_interval_ms);
        for vm in self.ring_probe_subjects() {
            if !self.probes.is_probing(vm) {
                self.probe(vm, now);
            }
        }
    }

    /// Returns the nearest successors on the ring that are not suspect, and the suspects between them.
    fn ring_probe_subjects(&self) -> Vec<VmId> {
        let mut subjects = Vec::new();
        let mut neighbours = 0;
        for vm in self.zones.get(ZoneTable::OWN_INDEX).successors(self.own_vm) {
            if neighbours >= self.settings.ring_neighbours || subjects.len() >= MAX_RING_PROBES {
                break;
            }
            subjects.push(vm);
            neighbours += usize::from(!self.suspects.contains(&vm));
        }
        subjects
    }

    /// Probes a random member of another zone, taking the zones in turn. These probes carry rumours and heartbeats
    /// between zones, and detect the failure of members whose ring neighbours all failed at the same time.
    pub(crate) fn probe_across_zones(&mut self, now: TimeUs) {
        if now < self.timers.next_cross_zone_probe_at {
            return;
        }
        self.timers.next_cross_zone_probe_at = now.plus_ms(self.settings.probe_interval_ms);
        let count = self.zones.indexes().end;
        for _ in 0..count {
            let index = self.timers.next_zone_to_probe % count;
            self.timers.next_zone_to_probe = index + 1;
            let zone = self.zones.get(index);
            if index == ZoneTable::OWN_INDEX || zone.ring.is_empty() || zone.unreachable_since.is_some() {
                continue;
            }
            let vm = zone.ring[self.random.random_range(0..zone.ring.len())];
            if !self.probes.is_probing(vm) {
                self.probe(vm, now);
            }
            return;
        }
    }

    /// Sends a direct probe to a member.
    pub(crate) fn probe(&mut self, vm: VmId, now: TimeUs) {
        let Some(entry) = self.directory.get(vm).copied() else { return };
        let probe = Probe {
            subject: vm,
            incarnation: entry.incarnation,
            address: entry.peer_address(),
            sent_at: now,
            indirect_probe_started: false,
            confirmed_by_zone_member: false,
        };
        let sequence = self.probes.add(probe);
        self.send(entry.peer_address(), MessageKind::Ping { sequence, subject: vm }, now);
    }
}
