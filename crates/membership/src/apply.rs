//! How news changes the directory.

use fulmartrestle_core::{TimeUs, VmId};

use crate::rumour::Subject;
use crate::slot::Slot;
use crate::zone_table::ZoneTable;
use crate::{Broadcast, Incarnation, MemberDelta, MemberRow, MemberState, Membership, Rumour};

impl Membership {
    /// Applies a rumour of a peer and passes it on when it is news.
    pub(crate) fn apply_rumour(&mut self, rumour: Rumour, now: TimeUs) {
        let is_news = match &rumour {
            Rumour::Row(row) => self.apply_row(row, now),
            Rumour::Delta(delta) => self.apply_delta(delta, now),
            Rumour::Broadcast(broadcast) => self.apply_broadcast(broadcast, now),
        };
        if is_news {
            self.rumours.push(rumour);
        } else {
            self.rumours.heard(&rumour);
        }
    }

    /// Takes over a row when it is newer. Returns whether it was.
    pub(crate) fn apply_row(&mut self, row: &MemberRow, now: TimeUs) -> bool {
        if row.vm == self.own {
            self.refute(row.incarnation, row.state, now);
            return false;
        }
        let Some(known) = self.directory.get(row.vm) else {
            return self.apply_unknown(row, now);
        };
        if (known.incarnation, known.state) >= (row.incarnation, row.state) {
            return false;
        }
        self.insert_row(row, now);
        true
    }

    /// Takes over a state of a known member when it is newer. Returns whether it was.
    pub(crate) fn apply_delta(&mut self, delta: &MemberDelta, now: TimeUs) -> bool {
        if delta.vm == self.own {
            self.refute(delta.incarnation, delta.state, now);
            return false;
        }
        let Some(known) = self.directory.get(delta.vm) else { return false };
        if (known.incarnation, known.state) >= (delta.incarnation, delta.state) {
            return false;
        }
        let mut slot = *known;
        slot.incarnation = delta.incarnation;
        slot.own_suspicion = false;
        let since = TimeUs(now.0.saturating_sub(u64::from(delta.age_ms) * 1_000));
        self.set_state(slot, delta.state, since);
        true
    }

    fn apply_broadcast(&mut self, broadcast: &Broadcast, now: TimeUs) -> bool {
        let is_news = self.broadcasts_seen.accept(broadcast, now);
        if is_news && broadcast.origin != self.own {
            self.broadcasts.push(broadcast.clone());
        }
        is_news
    }

    fn apply_unknown(&mut self, row: &MemberRow, now: TimeUs) -> bool {
        if row.state == MemberState::Dead {
            return false;
        }
        self.insert_row(row, now);
        if row.peer_address == self.own_slot().peer_address() {
            self.bury(row.vm, now);
            return false;
        }
        true
    }

    /// Stores a row as it was told.
    pub(crate) fn insert_row(&mut self, row: &MemberRow, now: TimeUs) {
        let is_published = matches!(row.state, MemberState::Alive | MemberState::Leaving);
        let published = if is_published { row.state } else { MemberState::Alive };
        let slot = Slot {
            vm: row.vm,
            address: row.peer_address.into(),
            incarnation: row.incarnation,
            zone: self.zones.intern(&row.zone, now),
            published,
            state: published,
            own_suspicion: false,
            since: now,
            target: row.target.as_ref().map(|target| self.directory.intern_target(target, now)),
        };
        self.set_state(slot, row.state, now);
    }

    /// Stores a row in a new state and keeps the tables beside the directory in step.
    pub(crate) fn set_state(&mut self, mut slot: Slot, state: MemberState, since: TimeUs) {
        slot.state = state;
        slot.since = since;
        let zone = self.zones.get_mut(slot.zone);
        if state == MemberState::Dead {
            zone.remove(slot.vm);
            self.dead.insert(slot.vm);
        } else {
            zone.insert(slot.vm);
            self.dead.remove(&slot.vm);
        }
        if state == MemberState::Suspect {
            self.suspects.insert(slot.vm);
        } else {
            self.suspects.remove(&slot.vm);
        }
        self.directory.put(slot);
        self.changed.insert(slot.vm);
    }

    /// Raises the own incarnation when others hold this node for suspect or dead. An accusation that was
    /// refuted before comes from a member that missed the refutation, which is then sent again.
    fn refute(&mut self, incarnation: Incarnation, state: MemberState, now: TimeUs) {
        let mut own = self.own_slot();
        let is_accused = matches!(state, MemberState::Suspect | MemberState::Dead);
        if (is_accused && incarnation >= own.incarnation) || incarnation > own.incarnation {
            own.incarnation = incarnation;
            self.publish_own(own, now);
        } else if is_accused && !self.rumours.contains(Subject::Member(self.own)) {
            self.spread_row(self.own, now);
        }
    }

    /// Marks a member as suspect on this node's own evidence and spreads it.
    pub(crate) fn suspect(&mut self, vm: VmId, now: TimeUs) {
        let Some(mut slot) = self.directory.get(vm).copied() else { return };
        if slot.state >= MemberState::Suspect {
            return;
        }
        slot.own_suspicion = true;
        self.set_state(slot, MemberState::Suspect, now);
        self.spread_delta(&slot, MemberState::Suspect);
        self.tell_suspicion(&Slot { state: MemberState::Suspect, since: now, ..slot }, now);
    }

    /// Marks a member as dead on this node's own evidence and spreads it.
    pub(crate) fn bury(&mut self, vm: VmId, now: TimeUs) {
        let Some(slot) = self.directory.get(vm).copied() else { return };
        if slot.state == MemberState::Dead || vm == self.own {
            return;
        }
        self.set_state(slot, MemberState::Dead, now);
        self.spread_delta(&slot, MemberState::Dead);
    }

    /// Drops a member's row and hands it out a last time as dead.
    pub(crate) fn forget(&mut self, vm: VmId, now: TimeUs) {
        let Some(slot) = self.directory.get(vm).copied() else { return };
        self.forgotten.push(self.directory.to_row(&slot, MemberState::Dead, &self.zones, now));
        self.zones.get_mut(slot.zone).remove(vm);
        self.suspects.remove(&vm);
        self.changed.remove(&vm);
        self.directory.remove(vm);
    }

    /// Ends a suspicion without an answer of the suspect, because its whole zone fell silent.
    pub(crate) fn cancel_suspicion(&mut self, vm: VmId, now: TimeUs) {
        let Some(slot) = self.directory.get(vm).copied() else { return };
        self.set_state(slot, slot.published, now);
        self.rumours.remove(Subject::Member(vm));
    }

    /// Queues the row of `vm` as the member published it.
    pub(crate) fn spread_row(&mut self, vm: VmId, now: TimeUs) {
        let Some(slot) = self.directory.get(vm) else { return };
        let row = self.directory.to_row(slot, slot.published, &self.zones, now);
        self.rumours.push(Rumour::Row(row));
        self.timers.gossip_at = now;
    }

    fn spread_delta(&mut self, slot: &Slot, state: MemberState) {
        let delta = MemberDelta { vm: slot.vm, incarnation: slot.incarnation, state, age_ms: 0 };
        self.rumours.push(Rumour::Delta(delta));
    }

    /// Whether judgements of single members of a zone wait until the zone is heard again. In the own
    /// zone they go on as long as any other zone is heard: then this node isn't the one cut off.
    pub(crate) fn is_frozen(&self, zone: u16) -> bool {
        if self.zones.get(zone).unreachable_since.is_none() {
            return false;
        }
        let hears_another = |index: u16| {
            let other = self.zones.get(index);
            index != ZoneTable::OWN && other.unreachable_since.is_none() && !other.ring.is_empty()
        };
        zone != ZoneTable::OWN || !self.zones.indexes().any(hears_another)
    }
}
