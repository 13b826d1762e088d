//! What one node knows of all routes.

use std::collections::BTreeMap;

use fulmartrestle_core::{RouteId, VmId};

use crate::route_burn::RouteBurn;
use crate::{BurnSettings, BurnSummary, CallSample, Objective};

/// Records how calls ended, in memory that is bounded by the settings.
#[derive(Clone, Debug)]
pub struct BurnTable {
    settings: BurnSettings,
    objectives: BTreeMap<RouteId, Objective>,
    routes: BTreeMap<RouteId, RouteBurn>,
    started_ms: u64,
    dropped: u64,
}

impl BurnTable {
    /// Returns an empty table of a node that started at `wall_ms`, in milliseconds of Unix time.
    pub fn new(settings: BurnSettings, wall_ms: u64) -> Self {
        Self { settings, objectives: BTreeMap::new(), routes: BTreeMap::new(), started_ms: wall_ms, dropped: 0 }
    }

    /// Takes over the objectives of a configuration. Calls that were counted stay counted as they were.
    pub fn set_objectives(&mut self, objectives: impl IntoIterator<Item = Objective>) {
        self.objectives = objectives.into_iter().map(|objective| (objective.route.clone(), objective)).collect();
        let routes: Vec<RouteId> = self.routes.keys().cloned().collect();
        for route in routes {
            let objective = self.objective_of(&route);
            if let Some(entry) = self.routes.get_mut(&route) {
                entry.objective = objective;
            }
        }
    }

    /// Records one call that ended at `wall_ms`, in milliseconds of Unix time.
    pub fn record(&mut self, sample: &CallSample, wall_ms: u64) {
        if let Some(entry) = self.routes.get_mut(&sample.route) {
            entry.record(sample.tenant.as_ref(), sample.outcome, wall_ms);
            return;
        }
        if self.routes.len() >= self.settings.max_routes {
            self.dropped += 1;
            return;
        }
        let objective = self.objective_of(&sample.route);
        let mut entry = RouteBurn::new(objective, self.settings.tenants_per_route, wall_ms);
        entry.record(sample.tenant.as_ref(), sample.outcome, wall_ms);
        self.routes.insert(sample.route.clone(), entry);
    }

    /// Returns the summary of this node as of `wall_ms`.
    pub fn summary(&self, vm: VmId, wall_ms: u64) -> BurnSummary {
        BurnSummary {
            wall_ms,
            nodes: vec![vm],
            oldest_start_ms: self.started_ms,
            newest_start_ms: self.started_ms,
            dropped: self.dropped,
            routes: self.routes.values().map(|entry| entry.summary(wall_ms)).collect(),
        }
    }

    /// Returns the bytes held on the heap, without the objectives.
    pub fn size_bytes(&self) -> usize {
        let entry = |(route, entry): (&RouteId, &RouteBurn)| {
            size_of::<RouteId>() + size_of::<RouteBurn>() + route.as_str().len() * 2 + entry.size_bytes()
        };
        self.routes.iter().map(entry).sum()
    }

    fn objective_of(&self, route: &RouteId) -> Objective {
        let default = || Objective {
            route: route.clone(),
            share: self.settings.default_share,
            within_ms: self.settings.default_within_ms,
        };
        self.objectives.get(route).cloned().unwrap_or_else(default)
    }
}
