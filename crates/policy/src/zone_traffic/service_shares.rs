//! Shares of the calls of one service that leave the own zone.

use fulmartrestle_core::{AvailabilityZone, TimeUs};

use super::plan::{MAX_RECEIVER_OCCUPANCY, plan_moves};
use super::zone_load::ZoneLoad;
use super::zone_share::{ZoneShare, ZoneTrafficReason};

/// Time constant with which shares follow the plan, in milliseconds. Reports are up to a second old, and a loop with a
/// delay of one second swings if it closes a gap in less than about three.
const DAMPING_MS: f64 = 3_000.0;

/// Time constant with which calls return from a zone that has become short itself, in milliseconds.
const SHORT_DAMPING_MS: f64 = 500.0;

/// Share of the slots in use from which a zone is short and gets no calls of other zones, so that two zones that are both
/// short do not send to each other.
const SHORT_OCCUPANCY: f64 = 0.95;

/// Time for which the own zone must be without usable targets before its calls return gradually, in milliseconds. A
/// single failed connection makes a target unusable for less.
const EMPTY_CONFIRMED_MS: u64 = 1_000;

/// Share below which calls are not worth the connections to the other zone.
const MIN_SHARE: f64 = 0.005;

/// Change of a share since it was last logged that is logged, and the shortest time between two log lines of a service, in
/// milliseconds.
const MIN_LOGGED_CHANGE: f64 = 0.05;
const MIN_LOG_INTERVAL_MS: u64 = 1_000;

const US_PER_MS: f64 = 1e3;

/// Shares of the calls of one service that are sent to each other zone.
#[derive(Debug, Default)]
pub struct ServiceShares {
    shares: Vec<ZoneShare>,
    /// Shares before the own zone became empty, and when it did.
    before_empty: Option<(Vec<ZoneShare>, TimeUs)>,
    updated_at: Option<TimeUs>,
    logged: Vec<ZoneShare>,
    logged_at: TimeUs,
}

impl ServiceShares {
    /// Recalculates the shares. `cost_us` is what it costs to send a call to another zone. Returns the shares if they should
    /// be logged.
    pub fn update(
        &mut self,
        own_zone: &AvailabilityZone,
        loads: &[ZoneLoad],
        cost_us: f64,
        max_share: f64,
        now: TimeUs,
    ) -> Option<Vec<ZoneShare>> {
        let elapsed_us = self.updated_at.map_or(0, |updated_at| now.us_since(updated_at));
        self.updated_at = Some(now);
        let own = loads.iter().position(|load| load.zone == *own_zone && load.slots > 0.0);
        self.shares = match own {
            Some(own) => {
                self.restore_after_empty(now);
                self.follow_plan(loads, own, cost_us, max_share, elapsed_us as f64 / US_PER_MS)
            }
            None => {
                self.before_empty.get_or_insert_with(|| (std::mem::take(&mut self.shares), now));
                empty_zone_shares(loads, own_zone, cost_us)
            }
        };
        self.shares_to_log(now)
    }

    /// Returns the zone that a call is sent to, or `None` for the own one. Without targets in the own zone, those of all
    /// others are compared with each other.
    pub fn choose_zone(&self, draw: f64) -> Option<&AvailabilityZone> {
        let mut left = draw;
        let chosen = self.shares.iter().find(|share| {
            left -= share.share;
            left < 0.0
        });
        chosen.filter(|share| share.reason != ZoneTrafficReason::Empty).map(|share| &share.zone)
    }

    /// Returns the shares.
    pub fn shares(&self) -> &[ZoneShare] {
        &self.shares
    }

    /// Restores the shares from before the own zone became empty, if it was empty only for a moment.
    fn restore_after_empty(&mut self, now: TimeUs) {
        let Some((shares, empty_since)) = self.before_empty.take() else { return };
        if now.ms_since(empty_since) < EMPTY_CONFIRMED_MS {
            self.shares = shares;
        }
    }

    fn follow_plan(
        &self,
        loads: &[ZoneLoad],
        own: usize,
        cost_us: f64,
        max_share: f64,
        elapsed_ms: f64,
    ) -> Vec<ZoneShare> {
        let own_load = &loads[own];
        let moved_calls = plan_moves(loads, own, cost_us);
        let sent_share: f64 = self.shares.iter().map(|share| share.share).sum();
        let offered_calls = (own_load.calls / (1.0 - sent_share).max(1.0 - max_share).max(0.1)).max(1.0);
        let own_occupancy = own_load.occupancy();
        let mut shares = Vec::new();
        for (load, moved_calls) in loads.iter().zip(moved_calls) {
            if load.zone == own_load.zone || load.slots <= 0.0 {
                continue;
            }
            let before = self.shares.iter().find(|share| share.zone == load.zone).map_or(0.0, |share| share.share);
            let is_dearer = own_load.marginal_us() < load.marginal_us() + cost_us;
            let (planned, reason) = if load.occupancy() >= SHORT_OCCUPANCY || (is_dearer && moved_calls == 0.0) {
                (0.0, ZoneTrafficReason::Home)
            } else if own_occupancy > MAX_RECEIVER_OCCUPANCY {
                (before + moved_calls / offered_calls, ZoneTrafficReason::Short)
            } else {
                (before + moved_calls / offered_calls, ZoneTrafficReason::Slow)
            };
            let damping_ms = if load.occupancy() >= SHORT_OCCUPANCY { SHORT_DAMPING_MS } else { DAMPING_MS };
            let share = before + (planned - before) * (1.0 - (-elapsed_ms / damping_ms).exp());
            let share = if planned == 0.0 && share < MIN_SHARE { 0.0 } else { share };
            let reason = if share > 0.0 { reason } else { ZoneTrafficReason::Home };
            let other_occupancy = load.occupancy();
            shares.push(ZoneShare { zone: load.zone.clone(), share, reason, own_occupancy, other_occupancy, cost_us });
        }
        let total: f64 = shares.iter().map(|share| share.share).sum();
        if total > max_share {
            shares.iter_mut().for_each(|share| share.share *= max_share / total);
        }
        shares
    }

    fn shares_to_log(&mut self, now: TimeUs) -> Option<Vec<ZoneShare>> {
        let has_changed = |share: &ZoneShare| match self.logged.iter().find(|logged| logged.zone == share.zone) {
            Some(logged) => (logged.share - share.share).abs() >= MIN_LOGGED_CHANGE || logged.reason != share.reason,
            None => share.share > 0.0,
        };
        let due = now.ms_since(self.logged_at) >= MIN_LOG_INTERVAL_MS || self.logged.is_empty();
        if !due || !self.shares.iter().any(has_changed) {
            return None;
        }
        let changed = self.shares.iter().filter(|share| has_changed(share)).cloned().collect();
        self.logged = self.shares.clone();
        self.logged_at = now;
        Some(changed)
    }
}

/// Returns the shares of a zone without usable targets, in proportion to the slots of the others.
fn empty_zone_shares(loads: &[ZoneLoad], own_zone: &AvailabilityZone, cost_us: f64) -> Vec<ZoneShare> {
    let slots: f64 = loads.iter().map(|load| load.slots).sum();
    let others = loads.iter().filter(|load| load.zone != *own_zone && load.slots > 0.0);
    let to_share = |load: &ZoneLoad| ZoneShare {
        zone: load.zone.clone(),
        share: load.slots / slots,
        reason: ZoneTrafficReason::Empty,
        own_occupancy: 0.0,
        other_occupancy: load.occupancy(),
        cost_us,
    };
    others.map(to_share).collect()
}
