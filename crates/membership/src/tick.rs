//! Periodic work of the protocol: timers, suspicion and zone timeouts, expiry.

use fulmartrestle_core::{TimeUs, VmId};
use rand::RngExt;

use crate::budget::BudgetShare;
use crate::member_entry::MemberEntry;
use crate::zone_table::ZoneTable;
use crate::{MemberState, Membership, MessageKind};

/// Interval between two ticks from which on the node assumes that it was paused, in milliseconds.
const PAUSE_THRESHOLD_MS: u64 = 1_000;
/// Interval between removals of expired state, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 10_000;

/// Due times of the periodic work.
#[derive(Clone, Debug, Default)]
pub struct Timers {
    last_tick: Option<TimeUs>,
    pub next_ring_probe_at: TimeUs,
    pub next_cross_zone_probe_at: TimeUs,
    pub next_gossip_at: TimeUs,
    pub next_sender_query_at: TimeUs,
    next_sync_at: TimeUs,
    pub next_reconnect_at: TimeUs,
    next_expiry_at: TimeUs,
    pub next_zone_to_probe: u16,
}

impl Membership {
    /// Performs all work that is due. The node calls it about every 50 ms; probes and gossip rounds are delayed by up
    /// to the interval between calls.
    pub fn tick(&mut self, now: TimeUs) {
        self.account_for_elapsed_time(now);
        self.check_probes(now);
        self.expire_suspicions(now);
        self.check_zones(now);
        self.probe_ring(now);
        self.probe_across_zones(now);
        self.request_missing_ranges(now);
        self.gossip(now);
        self.sync_if_due(now);
        self.reconnect(now);
        self.remove_expired(now);
    }

    /// Refills the budget. After a pause of this node, discards pending probes and restarts timeouts, because the node
    /// could not receive the answers.
    fn account_for_elapsed_time(&mut self, now: TimeUs) {
        let Some(last_tick) = self.timers.last_tick.replace(now) else {
            self.start_timers(now);
            return;
        };
        self.budget.refill(now.us_since(last_tick));
        let gap_ms = now.ms_since(last_tick);
        if gap_ms >= PAUSE_THRESHOLD_MS {
            self.resume_after_pause(gap_ms, now);
        }
    }

    fn start_timers(&mut self, now: TimeUs) {
        self.timers.next_ring_probe_at = self.random_time_within(self.settings.probe_interval_ms, now);
        self.timers.next_cross_zone_probe_at = self.random_time_within(self.settings.probe_interval_ms, now);
        self.timers.next_sync_at = self.random_time_within(self.settings.sync_interval_ms, now);
        self.reset_zone_timeouts(now);
    }

    fn resume_after_pause(&mut self, gap_ms: u64, now: TimeUs) {
        self.probes.clear();
        self.timers.next_sync_at = now;
        self.reset_zone_timeouts(now);
        for vm in self.suspects.clone() {
            let Some(entry) = self.directory.get(vm).copied() else { continue };
            self.directory.put(MemberEntry { since: entry.since.plus_ms(gap_ms), ..entry });
        }
    }

    fn reset_zone_timeouts(&mut self, now: TimeUs) {
        for index in self.zones.indexes() {
            let zone = self.zones.get_mut(index);
            zone.last_seen_at = now;
            zone.heartbeat_raised_at = now;
        }
    }

    fn expire_suspicions(&mut self, now: TimeUs) {
        let timeout_ms = self.settings.suspicion_timeout_ms;
        for vm in self.suspects.clone() {
            let Some(entry) = self.directory.get(vm).copied() else { continue };
            if now.ms_since(entry.since) < timeout_ms || self.is_failure_detection_suspended(entry.zone) {
                continue;
            }
            if entry.own_suspicion {
                self.mark_dead(vm, now);
            } else {
                self.set_state(entry, MemberState::Dead, now);
            }
        }
    }

    fn check_zones(&mut self, now: TimeUs) {
        let heartbeat_interval_ms = self.settings.zone_beat_interval_ms;
        let own = self.zones.get_mut(ZoneTable::OWN_INDEX);
        if now.ms_since(own.heartbeat_raised_at) >= heartbeat_interval_ms {
            own.heartbeat = own.heartbeat.saturating_add(1);
            own.heartbeat_raised_at = now;
        }
        for index in self.zones.indexes() {
            self.check_zone(index, now);
        }
    }

    fn check_zone(&mut self, index: u16, now: TimeUs) {
        let zone = self.zones.get(index);
        let has_members = zone.ring.iter().any(|vm| *vm != self.own_vm);
        let is_unreachable = has_members && now.ms_since(zone.last_seen_at) >= self.settings.zone_timeout_ms;
        if is_unreachable == zone.unreachable_since.is_some() {
            return;
        }
        self.zones.get_mut(index).unreachable_since = is_unreachable.then_some(now);
        let members = self.zones.get(index).ring.clone();
        self.changed_members.extend(members.iter().copied());
        if is_unreachable && self.is_failure_detection_suspended(index) {
            let suspects: Vec<VmId> = members.into_iter().filter(|vm| self.suspects.contains(vm)).collect();
            suspects.into_iter().for_each(|vm| self.cancel_suspicion(vm, now));
        }
    }

    fn gossip(&mut self, now: TimeUs) {
        if now < self.timers.next_gossip_at || self.rumours.is_empty() {
            return;
        }
        self.timers.next_gossip_at = now.plus_ms(self.settings.gossip_interval_ms);
        for _ in 0..self.settings.gossip_fanout {
            let Some(peer) = self.random_peer_address() else { return };
            if self.rumours.is_empty() || !self.can_afford(BudgetShare::Rumours, 0) {
                return;
            }
            self.send(peer, MessageKind::Gossip, now);
        }
    }

    fn sync_if_due(&mut self, now: TimeUs) {
        if now >= self.timers.next_sync_at && !self.sync.is_initial_transfer_active() {
            self.timers.next_sync_at = self.exchange_digests(now);
        }
    }

    fn remove_expired(&mut self, now: TimeUs) {
        if now < self.timers.next_expiry_at {
            return;
        }
        self.timers.next_expiry_at = now.plus_ms(EXPIRY_INTERVAL_MS);
        self.seen_broadcasts.expire(now);
        self.remove_lost_zones(now);
        let retention_ms = self.settings.dead_retention_ms;
        for vm in self.dead.clone() {
            let is_expired = self.directory.get(vm).is_none_or(|entry| now.ms_since(entry.since) >= retention_ms);
            if is_expired {
                self.directory.remove(vm);
                self.dead.remove(&vm);
            }
        }
    }

    /// Removes the members of zones that have been unreachable for longer than dead members are retained. They are
    /// not marked as dead, because each would refute that after a long partition, and all rows would change.
    fn remove_lost_zones(&mut self, now: TimeUs) {
        let retention_ms = self.settings.dead_retention_ms;
        for index in self.zones.indexes() {
            let zone = self.zones.get(index);
            if zone.unreachable_since.is_some_and(|since| now.ms_since(since) >= retention_ms) {
                let members: Vec<VmId> = zone.ring.iter().copied().filter(|vm| *vm != self.own_vm).collect();
                members.into_iter().for_each(|vm| self.remove_member(vm, now));
            }
        }
    }

    fn random_time_within(&mut self, interval_ms: u64, now: TimeUs) -> TimeUs {
        now.plus_us(self.random.random_range(0..interval_ms.max(1) * 1_000))
    }
}
