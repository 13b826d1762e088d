//! The targets of each service and the choice between them. See `docs/TARGET-CHOICE.md`.

mod health;
mod messages;
mod row;
mod service_targets;
mod settings;

use std::collections::HashMap;

use fulmartrestle_core::{Service, TimeUs, VmId};
use rand::{Rng, RngExt};

pub use messages::{CallResult, CompletedCall, TargetRequirements, TargetRow};
use row::Row;
use service_targets::ServiceTargets;
pub use settings::TargetSettings;

/// Random draws for one choice before all targets are walked. Two are needed to compare; the others
/// make up for targets that were excluded or are suspected.
const MAX_DRAWS: usize = 8;

/// The node's view of the targets, from announcements and from its own calls.
#[derive(Debug, Default)]
pub struct TargetTable {
    settings: TargetSettings,
    rows: HashMap<VmId, Row>,
    services: HashMap<Service, ServiceTargets>,
}

impl TargetTable {
    /// Returns an empty table.
    pub fn new(settings: TargetSettings) -> Self {
        Self { settings, rows: HashMap::new(), services: HashMap::new() }
    }

    /// Adds a target or takes a new announcement of a known one.
    pub fn upsert(&mut self, target: TargetRow, now: TimeUs) {
        let id = target.target;
        let moved = self.rows.get(&id).is_some_and(|row| !row.same_place(&target));
        if moved {
            self.remove(id);
        }
        if let Some(row) = self.rows.get_mut(&id) {
            row.update(target);
            return;
        }
        let service = self.services.entry(target.service.clone()).or_default();
        service.insert(id, &target.zone);
        let latency_us = service.mean_latency_us();
        self.rows.insert(id, Row::new(target, latency_us, now));
    }

    /// Forgets a target that is gone.
    pub fn remove(&mut self, target: VmId) {
        let Some(row) = self.rows.remove(&target) else { return };
        if let Some(service) = self.services.get_mut(row.service()) {
            service.remove(target, row.zone());
        }
    }

    /// Chooses a target for a call, or `None` when none is available. The cost doesn't depend on the
    /// number of targets while at least a good part of them is available.
    pub fn choose_target(&mut self, request: &TargetRequirements<'_>, rng: &mut impl Rng, now: TimeUs) -> Option<VmId> {
        let service = self.services.get(request.service)?;
        let near = service.in_zone(request.own_zone);
        let best_near = self.better_of_two(near, request.exclude, rng, now);
        let wants_spill = best_near.is_none_or(|id| self.is_busy(id, now));
        if !wants_spill {
            return self.picked(best_near, now);
        }
        let best_far = self.better_of_two(service.all(), request.exclude, rng, now);
        let best = match (best_near, best_far) {
            (Some(near), Some(far)) => Some(self.spill_choice(near, far, now)),
            (near, far) => near.or(far),
        };
        self.picked(best, now)
    }

    /// Notes that a call was handed to a target.
    pub fn record_call_start(&mut self, target: VmId, _now: TimeUs) {
        if let Some(row) = self.rows.get_mut(&target) {
            row.in_flight += 1;
        }
    }

    /// Notes how a call ended.
    pub fn record_call_end(&mut self, target: VmId, end: CompletedCall, now: TimeUs) {
        let Some(row) = self.rows.get_mut(&target) else { return };
        let Some(service) = self.services.get_mut(row.service()) else { return };
        row.ended(end, service.answers(), &self.settings, now);
        if end.result == CallResult::Answered {
            service.answered(end.latency_us);
        }
    }

    /// Notes that a connection went silent and is being replaced. The target itself is not
    /// suspected: something between the two ends may have lost track of the connection.
    pub fn record_silent_connection(&mut self, target: VmId, _now: TimeUs) {
        if let Some(row) = self.rows.get_mut(&target) {
            row.health.connection_silent();
        }
    }

    /// Notes that a new connection could not be opened.
    pub fn record_connection_failure(&mut self, target: VmId, now: TimeUs) {
        if let Some(row) = self.rows.get_mut(&target) {
            row.health.connection_failed(&self.settings, now);
        }
    }

    /// Notes that a new connection was opened or a connection answered a ping.
    pub fn record_working_connection(&mut self, target: VmId, now: TimeUs) {
        if let Some(row) = self.rows.get_mut(&target) {
            row.health.connection_ok(now);
        }
    }

    /// Returns whether new calls avoid the target at present.
    pub fn is_suspected(&self, target: VmId, now: TimeUs) -> bool {
        self.rows.get(&target).is_some_and(|row| row.health.is_suspected(now))
    }

    /// Returns the calls of this node that run at the target.
    pub fn in_flight(&self, target: VmId) -> u32 {
        self.rows.get(&target).map_or(0, |row| row.in_flight)
    }

    /// Returns the number of targets in the table.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn picked(&mut self, target: Option<VmId>, now: TimeUs) -> Option<VmId> {
        let row = self.rows.get_mut(&target?)?;
        row.health.chosen(&self.settings, now);
        target
    }

    fn is_busy(&self, target: VmId, now: TimeUs) -> bool {
        self.rows.get(&target).is_none_or(|row| row.is_busy(&self.settings, now))
    }

    /// Leaves the zone only for a target that is clearly less loaded.
    fn spill_choice(&self, near: VmId, far: VmId, now: TimeUs) -> VmId {
        let near_score = self.score(near, far, now);
        let far_score = self.score(far, near, now) * self.settings.spill_factor;
        if far_score < near_score { far } else { near }
    }

    fn better_of_two(&self, targets: &[VmId], exclude: &[VmId], rng: &mut impl Rng, now: TimeUs) -> Option<VmId> {
        let mut first = None;
        for _ in 0..MAX_DRAWS.min(targets.len() * 4) {
            let drawn = targets[rng.random_range(0..targets.len())];
            if Some(drawn) == first || !self.is_available(drawn, exclude, now) {
                continue;
            }
            match first {
                None => first = Some(drawn),
                Some(other) => return Some(self.better(other, drawn, now)),
            }
        }
        first.or_else(|| self.first_available(targets, exclude, rng, now))
    }

    fn first_available(&self, targets: &[VmId], exclude: &[VmId], rng: &mut impl Rng, now: TimeUs) -> Option<VmId> {
        if targets.is_empty() {
            return None;
        }
        let start = rng.random_range(0..targets.len());
        let mut from_start = targets[start..].iter().chain(&targets[..start]);
        from_start.find(|target| self.is_available(**target, exclude, now)).copied()
    }

    fn is_available(&self, target: VmId, exclude: &[VmId], now: TimeUs) -> bool {
        !exclude.contains(&target) && self.rows.get(&target).is_some_and(|row| row.is_available(now))
    }

    fn better(&self, left: VmId, right: VmId, now: TimeUs) -> VmId {
        if self.score(left, right, now) <= self.score(right, left, now) { left } else { right }
    }

    fn score(&self, target: VmId, other: VmId, now: TimeUs) -> f64 {
        match (self.rows.get(&target), self.rows.get(&other)) {
            (Some(row), Some(other)) => row.score(other, now),
            _ => f64::INFINITY,
        }
    }
}
