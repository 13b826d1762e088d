//! Choice of peers, and attempts to reach those that are lost.

use std::net::SocketAddr;

use fulmartrestle_core::{TimeUs, VmId};
use rand::RngExt;

use crate::slot::Slot;
use crate::zone_table::ZoneEntry;
use crate::{MemberState, Membership, MessageKind};

/// Members that together make one attempt each interval to reach members that are dead or unreachable.
const RECONNECTING_MEMBERS: usize = 16;

impl Membership {
    /// Tries one member that is dead or unreachable, or a first contact, so that parts of the fleet
    /// that lost each other meet again.
    pub(crate) fn reconnect(&mut self, now: TimeUs) {
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
    pub(crate) fn random_member(&mut self) -> Option<Slot> {
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
    pub(crate) fn random_member_of(&mut self, zone: u16) -> Option<Slot> {
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
}
