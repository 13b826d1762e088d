//! Table in which a node records the outcomes of calls to all routes.

use std::collections::BTreeMap;

use fulmartrestle_core::{RouteId, VmId};

use crate::route_burn::RouteBurn;
use crate::{BurnSettings, BurnSummary, CallSample, Objective};

/// Outcomes of calls by route, in memory that is bounded by the settings.
#[derive(Clone, Debug)]
pub struct BurnTable {
    settings: BurnSettings,
    objectives: BTreeMap<RouteId, Objective>,
    routes: BTreeMap<RouteId, RouteBurn>,
    started_ms: u64,
    dropped_calls: u64,
}

impl BurnTable {
    /// Returns an empty table of a node that started at `wall_ms`, in milliseconds since the Unix epoch.
    pub fn new(settings: BurnSettings, wall_ms: u64) -> Self {
        Self { settings, objectives: BTreeMap::new(), routes: BTreeMap::new(), started_ms: wall_ms, dropped_calls: 0 }
    }

    /// Replaces the objectives. They apply to later calls; calls that were counted before are not reclassified.
    pub fn set_objectives(&mut self, objectives: impl IntoIterator<Item = Objective>) {
        self.objectives = objectives.into_iter().map(|objective| (objective.route.clone(), objective)).collect();
        let routes: Vec<RouteId> = self.routes.keys().cloned().collect();
        for route in routes {
            let objective = self.objective_for(&route);
            if let Some(route_burn) = self.routes.get_mut(&route) {
                route_burn.objective = objective;
            }
        }
    }

    /// Records a call that ended at `wall_ms`, in milliseconds since the Unix epoch. A call to a route beyond
    /// [`BurnSettings::max_routes`] is only counted as dropped.
    pub fn record(&mut self, sample: &CallSample, wall_ms: u64) {
        if let Some(route_burn) = self.routes.get_mut(&sample.route) {
            route_burn.record(sample.tenant.as_ref(), sample.outcome, wall_ms);
            return;
        }
        if self.routes.len() >= self.settings.max_routes {
            self.dropped_calls += 1;
            return;
        }
        let objective = self.objective_for(&sample.route);
        let mut route_burn = RouteBurn::new(objective, self.settings.tenants_per_route, wall_ms);
        route_burn.record(sample.tenant.as_ref(), sample.outcome, wall_ms);
        self.routes.insert(sample.route.clone(), route_burn);
    }

    /// Returns the summary of this node at `wall_ms`, in milliseconds since the Unix epoch.
    pub fn summary(&self, vm: VmId, wall_ms: u64) -> BurnSummary {
        BurnSummary {
            wall_ms,
            nodes: vec![vm],
            oldest_start_ms: self.started_ms,
            newest_start_ms: self.started_ms,
            dropped: self.dropped_calls,
            routes: self.routes.values().map(|route_burn| route_burn.summary(wall_ms)).collect(),
        }
    }

    /// Returns the heap memory in use, in bytes, without the objectives.
    pub fn heap_bytes(&self) -> usize {
        let route_bytes = |(route, route_burn): (&RouteId, &RouteBurn)| {
            size_of::<RouteId>() + size_of::<RouteBurn>() + route.as_str().len() * 2 + route_burn.heap_bytes()
        };
        self.routes.iter().map(route_bytes).sum()
    }

    /// Returns the objective of `route`, or the default objective if it has none.
    fn objective_for(&self, route: &RouteId) -> Objective {
        let default = || Objective {
            route: route.clone(),
            share: self.settings.default_share,
            within_ms: self.settings.default_within_ms,
        };
        self.objectives.get(route).cloned().unwrap_or_else(default)
    }
}
