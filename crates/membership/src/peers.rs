//! Selection of random peers, and reconnection to dead or unreachable members.

use std::net::SocketAddr;

use fulmartrestle_core::{TimeUs, VmId};
use rand::RngExt;

use crate::member_entry::MemberEntry;
use crate::zone_table::ZoneEntry;
use crate::{MemberState, Membership, MessageKind};

/// Number of reconnection attempts that the whole fleet makes in each interval. Smaller fleets make one attempt per
/// member.
const RECONNECT_ATTEMPTS_PER_INTERVAL: usize = 16;

impl Membership {
    /// Pings one dead or unreachable member or an unknown bootstrap contact, so that the parts of a partitioned
    /// fleet merge again.
    pub(crate) fn reconnect(&mut self, now: TimeUs) {
        if now < self.timers.next_reconnect_at {
            return;
        }
        self.timers.next_reconnect_at = now.plus_ms(self.reconnect_interval_ms());
        let candidates = self.reconnect_candidates();
        if candidates.is_empty() {
            return;
        }
        let (address, subject) = candidates[self.random.random_range(0..candidates.len())];
        // No probe has sequence number 0, so a missing acknowledgement has no effect.
        self.send(address, MessageKind::Ping { sequence: 0, subject }, now);
        if let Some(entry) = self.directory.get(subject).copied()
            && entry.state == MemberState::Dead
        {
            self.send_accusation(&entry, now);
        }
    }

    /// Returns the randomised interval until the next reconnection attempt of this node. It grows with the fleet so
    /// that the total rate of attempts stays constant; otherwise they would flood the few addresses that are tried.
    fn reconnect_interval_ms(&mut self) -> u64 {
        let reachable: usize = self.zones.iter().map(|zone| self.other_member_count(zone)).sum();
        let interval_ms = self
            .settings
            .reconnect_interval_ms
            .saturating_mul((reachable / RECONNECT_ATTEMPTS_PER_INTERVAL).max(1) as u64);
        self.random.random_range(interval_ms / 2..=interval_ms.saturating_add(interval_ms / 2))
    }

    fn reconnect_candidates(&mut self) -> Vec<(SocketAddr, VmId)> {
        let mut candidates = Vec::new();
        for index in self.zones.indexes() {
            let zone = self.zones.get(index);
            if zone.unreachable_since.is_some() && !zone.ring.is_empty() {
                let vm = zone.ring[self.random.random_range(0..zone.ring.len())];
                candidates.extend(self.directory.get(vm).map(|entry| (entry.peer_address(), vm)));
            }
        }
        if !self.dead.is_empty() {
            let index = self.random.random_range(0..self.dead.len());
            let vm = self.dead.iter().nth(index).copied();
            let entry = vm.and_then(|vm| self.directory.get(vm));
            candidates.extend(entry.map(|entry| (entry.peer_address(), entry.vm)));
        }
        let is_unknown = |vm: VmId| self.directory.get(vm).is_none();
        let unknown_contacts = self.bootstrap_contacts.iter().filter(|contact| is_unknown(contact.vm));
        candidates.extend(unknown_contacts.map(|contact| (contact.peer_address, contact.vm)));
        candidates.retain(|(_, vm)| *vm != self.own_vm);
        candidates
    }

    /// Returns the address of a random member of a reachable zone, or of a bootstrap contact if there is none.
    pub(crate) fn random_peer_address(&mut self) -> Option<SocketAddr> {
        if let Some(entry) = self.random_member() {
            return Some(entry.peer_address());
        }
        if self.bootstrap_contacts.is_empty() {
            return None;
        }
        let index = self.random.random_range(0..self.bootstrap_contacts.len());
        Some(self.bootstrap_contacts[index].peer_address)
    }

    /// Returns a random member of a reachable zone other than this node.
    pub(crate) fn random_member(&mut self) -> Option<MemberEntry> {
        let count: usize = self.zones.iter().map(|zone| self.other_member_count(zone)).sum();
        if count == 0 {
            return None;
        }
        let mut index = self.random.random_range(0..count);
        for zone in self.zones.iter() {
            let others = self.other_member_count(zone);
            if index < others {
                let start = zone.ring.partition_point(|vm| *vm <= self.own_vm);
                let vm = zone.ring[(start + index) % zone.ring.len()];
                return self.directory.get(vm).copied();
            }
            index -= others;
        }
        None
    }

    /// Returns a random member of `zone`, or `None` if the choice falls on this node.
    pub(crate) fn random_member_of_zone(&mut self, zone: u16) -> Option<MemberEntry> {
        let ring = &self.zones.get(zone).ring;
        if ring.is_empty() {
            return None;
        }
        let vm = ring[self.random.random_range(0..ring.len())];
        self.directory.get(vm).filter(|entry| entry.vm != self.own_vm).copied()
    }

    /// Returns the number of members of a zone other than this node, or 0 if the zone is unreachable.
    fn other_member_count(&self, zone: &ZoneEntry) -> usize {
        if zone.unreachable_since.is_some() {
            return 0;
        }
        zone.ring.len() - usize::from(zone.ring.binary_search(&self.own_vm).is_ok())
    }
}
