//! Application of updates to the directory, and the states that this node assigns to members.

use fulmartrestle_core::{TimeUs, VmId};

use crate::member_entry::MemberEntry;
use crate::rumour::RumourSubject;
use crate::zone_table::ZoneTable;
use crate::{Broadcast, Incarnation, MemberDelta, MemberRow, MemberState, Membership, Rumour};

impl Membership {
    /// Applies a rumour received from a peer, and queues it for dissemination if it is new.
    pub(crate) fn apply_rumour(&mut self, rumour: Rumour, now: TimeUs) {
        let is_new = match &rumour {
            Rumour::Row(row) => self.apply_row(row, now),
            Rumour::Delta(delta) => self.apply_delta(delta, now),
            Rumour::Broadcast(broadcast) => self.apply_broadcast(broadcast, now),
        };
        if is_new {
            self.rumours.push(rumour);
        } else {
            self.rumours.record_duplicate(&rumour);
        }
    }

    /// Stores a row if it is newer than the local one. Returns whether it was.
    pub(crate) fn apply_row(&mut self, row: &MemberRow, now: TimeUs) -> bool {
        if row.vm == self.own_vm {
            self.refute(row.incarnation, row.state, now);
            return false;
        }
        let Some(known) = self.directory.get(row.vm) else {
            return self.apply_new_member(row, now);
        };
        if (known.incarnation, known.state) >= (row.incarnation, row.state) {
            return false;
        }
        self.insert_member(row, now);
        true
    }

    /// Applies a state to a known member if it is newer than the local one. Returns whether it was.
    pub(crate) fn apply_delta(&mut self, delta: &MemberDelta, now: TimeUs) -> bool {
        if delta.vm == self.own_vm {
            self.refute(delta.incarnation, delta.state, now);
            return false;
        }
        let Some(known) = self.directory.get(delta.vm) else { return false };
        if (known.incarnation, known.state) >= (delta.incarnation, delta.state) {
            return false;
        }
        let mut entry = *known;
        entry.incarnation = delta.incarnation;
        entry.own_suspicion = false;
        let since = TimeUs(now.0.saturating_sub(u64::from(delta.age_ms) * 1_000));
        self.set_state(entry, delta.state, since);
        true
    }

    fn apply_broadcast(&mut self, broadcast: &Broadcast, now: TimeUs) -> bool {
        let is_new = self.seen_broadcasts.accept(broadcast, now);
        if is_new && broadcast.origin != self.own_vm {
            self.broadcasts.push(broadcast.clone());
        }
        is_new
    }

    fn apply_new_member(&mut self, row: &MemberRow, now: TimeUs) -> bool {
        if row.state == MemberState::Dead {
            return false;
        }
        self.insert_member(row, now);
        if row.peer_address == self.own_entry().peer_address() {
            self.mark_dead(row.vm, now);
            return false;
        }
        true
    }

    /// Stores a row as received. A suspect or dead member is assumed to have published itself as alive.
    pub(crate) fn insert_member(&mut self, row: &MemberRow, now: TimeUs) {
        let is_published = matches!(row.state, MemberState::Alive | MemberState::Leaving);
        let published_state = if is_published { row.state } else { MemberState::Alive };
        let entry = MemberEntry {
            vm: row.vm,
            address: row.peer_address.into(),
            incarnation: row.incarnation,
            zone: self.zones.intern(&row.zone, now),
            published_state,
            state: published_state,
            own_suspicion: false,
            since: now,
            target: row.target.as_ref().map(|target| self.directory.intern_target(target, now)),
        };
        self.set_state(entry, row.state, now);
    }

    /// Stores a member in a new state, and updates the ring of its zone and the sets of suspect and dead members.
    pub(crate) fn set_state(&mut self, mut entry: MemberEntry, state: MemberState, since: TimeUs) {
        entry.state = state;
        entry.since = since;
        let zone = self.zones.get_mut(entry.zone);
        if state == MemberState::Dead {
            zone.remove(entry.vm);
            self.dead.insert(entry.vm);
        } else {
            zone.insert(entry.vm);
            self.dead.remove(&entry.vm);
        }
        if state == MemberState::Suspect {
            self.suspects.insert(entry.vm);
        } else {
            self.suspects.remove(&entry.vm);
        }
        self.directory.put(entry);
        self.changed_members.insert(entry.vm);
    }

    /// Increments this node's incarnation when other members consider it suspect or dead. An accusation that was
    /// already refuted comes from a member that missed the refutation, so this node's row is disseminated again.
    fn refute(&mut self, incarnation: Incarnation, state: MemberState, now: TimeUs) {
        let mut own = self.own_entry();
        let is_accused = matches!(state, MemberState::Suspect | MemberState::Dead);
        if (is_accused && incarnation >= own.incarnation) || incarnation > own.incarnation {
            own.incarnation = incarnation;
            self.publish_own_entry(own, now);
        } else if is_accused && !self.rumours.contains(RumourSubject::Member(self.own_vm)) {
            self.disseminate_row(self.own_vm, now);
        }
    }

    /// Marks a member as suspect after a failed probe by this node, and disseminates the suspicion.
    pub(crate) fn mark_suspect(&mut self, vm: VmId, now: TimeUs) {
        let Some(mut entry) = self.directory.get(vm).copied() else { return };
        if entry.state >= MemberState::Suspect {
            return;
        }
        entry.own_suspicion = true;
        self.set_state(entry, MemberState::Suspect, now);
        self.disseminate_delta(&entry, MemberState::Suspect);
        self.send_accusation(&MemberEntry { state: MemberState::Suspect, since: now, ..entry }, now);
    }

    /// Marks a member as dead on the evidence of this node, and disseminates the state.
    pub(crate) fn mark_dead(&mut self, vm: VmId, now: TimeUs) {
        let Some(entry) = self.directory.get(vm).copied() else { return };
        if entry.state == MemberState::Dead || vm == self.own_vm {
            return;
        }
        self.set_state(entry, MemberState::Dead, now);
        self.disseminate_delta(&entry, MemberState::Dead);
    }

    /// Removes the row of a member, and reports it one last time as dead.
    pub(crate) fn remove_member(&mut self, vm: VmId, now: TimeUs) {
        let Some(entry) = self.directory.get(vm).copied() else { return };
        self.removed_rows.push(self.directory.to_row(&entry, MemberState::Dead, &self.zones, now));
        self.zones.get_mut(entry.zone).remove(vm);
        self.suspects.remove(&vm);
        self.changed_members.remove(&vm);
        self.directory.remove(vm);
    }

    /// Ends a suspicion without a refutation, because the whole zone of the suspect became unreachable.
    pub(crate) fn cancel_suspicion(&mut self, vm: VmId, now: TimeUs) {
        let Some(entry) = self.directory.get(vm).copied() else { return };
        self.set_state(entry, entry.published_state, now);
        self.rumours.remove(RumourSubject::Member(vm));
    }

    /// Queues the row of `vm` for dissemination, with the state that the member published.
    pub(crate) fn disseminate_row(&mut self, vm: VmId, now: TimeUs) {
        let Some(entry) = self.directory.get(vm) else { return };
        let row = self.directory.to_row(entry, entry.published_state, &self.zones, now);
        self.rumours.push(Rumour::Row(row));
        self.timers.next_gossip_at = now;
    }

    fn disseminate_delta(&mut self, entry: &MemberEntry, state: MemberState) {
        let delta = MemberDelta { vm: entry.vm, incarnation: entry.incarnation, state, age_ms: 0 };
        self.rumours.push(Rumour::Delta(delta));
    }

    /// Returns whether failure detection for the individual members of a zone is suspended because the zone is
    /// unreachable. In this node's zone it continues as long as any other zone is reachable, because this node is then
    /// not the one that is partitioned.
    pub(crate) fn is_failure_detection_suspended(&self, zone: u16) -> bool {
        if self.zones.get(zone).unreachable_since.is_none() {
            return false;
        }
        let is_other_zone_reachable = |index: u16| {
            let other = self.zones.get(index);
            index != ZoneTable::OWN_INDEX && other.unreachable_since.is_none() && !other.ring.is_empty()
        };
        zone != ZoneTable::OWN_INDEX || !self.zones.indexes().any(is_other_zone_reachable)
    }
}
