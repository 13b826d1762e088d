//! What a node does as time passes.

use fulmartrestle_core::{TimeUs, VmId};
use rand::RngExt;

use crate::budget::BudgetShare;
use crate::slot::Slot;
use crate::zone_table::ZoneTable;
use crate::{MemberState, Membership, MessageKind};

/// Time between two ticks above which the node takes itself to have been paused, in milliseconds.
const PAUSE_MS: u64 = 1_000;
/// Interval of dropping what is no longer needed, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 10_000;

/// When each periodic step is due.
#[derive(Clone, Debug, Default)]
pub struct Timers {
    last_tick: Option<TimeUs>,
    pub ring_at: TimeUs,
    pub cross_zone_at: TimeUs,
    pub gossip_at: TimeUs,
    pub ask_sender_at: TimeUs,
    sync_at: TimeUs,
    pub reconnect_at: TimeUs,
    expiry_at: TimeUs,
    pub next_cross_zone: u16,
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

    fn after_random(&mut self, interval_ms: u64, now: TimeUs) -> TimeUs {
        now.plus_us(self.random.random_range(0..interval_ms.max(1) * 1_000))
    }
}
