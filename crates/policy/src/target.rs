//! Targets of each service and the choice among them. See `docs/TARGET-CHOICE.md`.

mod health;
mod messages;
mod service_targets;
mod settings;
mod target_state;

use fulmartrestle_core::{Service, TimeUs, VmId};
use rand::{Rng, RngExt};
use rustc_hash::FxHashMap;

pub use messages::{AnnouncedTarget, CallResult, CompletedCall, TargetRequirements};
use service_targets::ServiceTargets;
pub use settings::TargetSettings;
use target_state::TargetState;

/// Maximum number of random draws for one choice before all targets are scanned. Two are needed to compare;
/// the others compensate for targets that are excluded or suspected.
const MAX_DRAWS: usize = 8;

/// Local view of the targets of a node, from announcements and from its own calls.
#[derive(Debug, Default)]
pub struct TargetTable {
    settings: TargetSettings,
    targets: FxHashMap<VmId, TargetState>,
    services: FxHashMap<Service, ServiceTargets>,
}

impl TargetTable {
    /// Returns an empty table.
    pub fn new(settings: TargetSettings) -> Self {
        Self { settings, targets: FxHashMap::default(), services: FxHashMap::default() }
    }

    /// Adds a target or updates it with a new announcement.
    pub fn upsert(&mut self, target: AnnouncedTarget, now: TimeUs) {
        let id = target.target;
        let has_moved = self.targets.get(&id).is_some_and(|state| !state.has_same_location(&target));
        if has_moved {
            self.remove(id);
        }
        if let Some(state) = self.targets.get_mut(&id) {
            state.update(target);
            return;
        }
        let service = self.services.entry(target.service.clone()).or_default();
        service.insert(id, &target.zone);
        let latency_us = service.mean_latency_us();
        self.targets.insert(id, TargetState::new(target, latency_us, now));
    }

    /// Removes a target that no longer exists.
    pub fn remove(&mut self, target: VmId) {
        let Some(state) = self.targets.remove(&target) else { return };
        if let Some(service) = self.services.get_mut(state.service()) {
            service.remove(target, state.zone());
        }
    }

    /// Chooses a target for a call, or returns `None` if none is available. The cost doesn't depend on the
    /// number of targets while a large part of them is available.
    pub fn choose_target(
        &mut self,
        requirements: &TargetRequirements<'_>,
        rng: &mut impl Rng,
        now: TimeUs,
    ) -> Option<VmId> {
        let service = self.services.get(requirements.service)?;
        let local = service.in_zone(requirements.own_zone);
        let best_local = self.better_of_two(local, requirements.exclude, rng, now);
        let considers_other_zones = best_local.is_none_or(|id| self.is_busy(id, now));
        if !considers_other_zones {
            return self.record_choice(best_local, now);
        }
        let best_remote = self.better_of_two(service.all(), requirements.exclude, rng, now);
        let best = match (best_local, best_remote) {
            (Some(local), Some(remote)) => Some(self.choose_across_zones(local, remote, now)),
            (local, remote) => local.or(remote),
        };
        self.record_choice(best, now)
    }

    /// Records that a call was sent to a target.
    pub fn record_call_start(&mut self, target: VmId, _now: TimeUs) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.in_flight += 1;
        }
    }

    /// Records the result of a call.
    pub fn record_call_end(&mut self, target: VmId, end: CompletedCall, now: TimeUs) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        let Some(service) = self.services.get_mut(state.service()) else { return };
        state.record_call_end(end, service.response_count(), &self.settings, now);
        if end.result == CallResult::Answered {
            service.record_response(end.latency_us);
        }
    }

    /// Records that a connection stopped responding and is being replaced. The target itself is not
    /// suspected: a middlebox may have lost the state of the connection.
    pub fn record_silent_connection(&mut self, target: VmId, _now: TimeUs) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.health.record_silent_connection();
        }
    }

    /// Records that a new connection could not be opened.
    pub fn record_connection_failure(&mut self, target: VmId, now: TimeUs) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.health.record_connection_failure(&self.settings, now);
        }
    }

    /// Records that a new connection was opened or that a connection answered a ping.
    pub fn record_working_connection(&mut self, target: VmId, now: TimeUs) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.health.record_working_connection(now);
        }
    }

    /// Returns whether new calls avoid the target at present.
    pub fn is_suspected(&self, target: VmId, now: TimeUs) -> bool {
        self.targets.get(&target).is_some_and(|state| state.health.is_suspected(now))
    }

    /// Returns the number of calls of this node that run at the target.
    pub fn in_flight(&self, target: VmId) -> u32 {
        self.targets.get(&target).map_or(0, |state| state.in_flight)
    }

    /// Returns the number of targets in the table.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    fn record_choice(&mut self, target: Option<VmId>, now: TimeUs) -> Option<VmId> {
        let state = self.targets.get_mut(&target?)?;
        state.health.start_probe_if_suspected(&self.settings, now);
        target
    }

    fn is_busy(&self, target: VmId, now: TimeUs) -> bool {
        self.targets.get(&target).is_none_or(|state| state.is_busy(&self.settings, now))
    }

    /// Chooses between a target in the own zone and another one, which must be clearly less loaded.
    fn choose_across_zones(&self, local: VmId, remote: VmId, now: TimeUs) -> VmId {
        let local_score = self.load_score(local, remote, now);
        let remote_score = self.load_score(remote, local, now) * self.settings.spill_factor;
        if remote_score < local_score { remote } else { local }
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
                Some(other) => return Some(self.less_loaded(other, drawn, now)),
            }
        }
        first.or_else(|| self.first_available(targets, exclude, rng, now))
    }

    fn first_available(&self, targets: &[VmId], exclude: &[VmId], rng: &mut impl Rng, now: TimeUs) -> Option<VmId> {
        if targets.is_empty() {
            return None;
        }
        let start = rng.random_range(0..targets.len());
        let mut rotated = targets[start..].iter().chain(&targets[..start]);
        rotated.find(|target| self.is_available(**target, exclude, now)).copied()
    }

    fn is_available(&self, target: VmId, exclude: &[VmId], now: TimeUs) -> bool {
        !exclude.contains(&target) && self.targets.get(&target).is_some_and(|state| state.is_available(now))
    }

    fn less_loaded(&self, left: VmId, right: VmId, now: TimeUs) -> VmId {
        if self.load_score(left, right, now) <= self.load_score(right, left, now) { left } else { right }
    }

    fn load_score(&self, target: VmId, other: VmId, now: TimeUs) -> f64 {
        match (self.targets.get(&target), self.targets.get(&other)) {
            (Some(state), Some(other)) => state.load_score(other, now),
            _ => f64::INFINITY,
        }
    }
}
