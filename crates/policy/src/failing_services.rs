//! Routes whose requests mostly fail because targets refuse their calls. See
//! `docs/design/failing-service-admission.md`.
//!
//! Load pattern: the targets of a deep service refuse half of their calls. A request that makes eight calls there hardly
//! ever succeeds, one that makes a single call mostly does; both waste the work done upstream when they fail.

use std::collections::HashMap;

use fulmartrestle_core::{RouteId, Service};

use crate::TargetAttempts;
use crate::route_costs::RouteCosts;
use crate::service_refusals::ServiceRefusals;
use crate::success_level::SuccessLevel;

/// Reported calls of one service.
#[derive(Debug, Default)]
pub struct ServiceCalls {
    /// Attempts at each target.
    pub targets: Vec<TargetAttempts>,
    /// First attempts by route of the external request, per second.
    pub calls_per_s: HashMap<RouteId, f64>,
}

/// Limits the routes whose requests would mostly fail. A route without an entry is not limited.
#[derive(Debug, Default)]
pub struct FailingServices {
    refusals: HashMap<Service, ServiceRefusals>,
    calls: RouteCosts,
    levels: HashMap<RouteId, SuccessLevel>,
}

impl FailingServices {
    /// Updates the estimates with `elapsed_ms` milliseconds in which the targets reported `services`.
    /// `admitted_per_s` are the admitted requests of the routes whose calls can be measured.
    pub fn update(
        &mut self,
        services: &HashMap<Service, ServiceCalls>,
        admitted_per_s: &[(&RouteId, f64)],
        elapsed_ms: u64,
    ) {
        let elapsed_s = elapsed_ms as f64 / 1e3;
        self.refusals.retain(|service, _| services.contains_key(service));
        for (service, reported) in services {
            let refusals = self.refusals.entry(service.clone()).or_default();
            refusals.record_attempts(&reported.targets, elapsed_s);
            if !refusals.allows_measuring_calls() {
                continue;
            }
            for (route, per_s) in admitted_per_s {
                let calls_per_s = reported.calls_per_s.get(*route).copied().unwrap_or_default();
                self.calls.record_demand(service, route, calls_per_s, *per_s, elapsed_s);
            }
        }
        self.update_levels(admitted_per_s.iter().map(|(route, _)| *route), elapsed_ms);
    }

    fn update_levels<'r>(&mut self, measured: impl Iterator<Item = &'r RouteId>, elapsed_ms: u64) {
        for route in measured {
            if !self.levels.contains_key(route) && self.success_share(route) < 1.0 {
                self.levels.insert(route.clone(), SuccessLevel::default());
            }
        }
        let mut levels = std::mem::take(&mut self.levels);
        levels.retain(|route, level| {
            level.update(self.success_share(route), elapsed_ms);
            level.level() < 1.0
        });
        self.levels = levels;
    }

    /// Returns the expected share of a route's requests that succeed, at the service where the fewest do.
    fn success_share(&self, route: &RouteId) -> f64 {
        let at_service =
            |(service, refusals): (&Service, &ServiceRefusals)| refusals.success_share(self.calls.cost(service, route));
        self.refusals.iter().map(at_service).fold(1.0, f64::min)
    }

    /// Returns the share of a route's requests that may be admitted.
    pub fn level(&self, route: &RouteId) -> f64 {
        self.levels.get(route).map_or(1.0, SuccessLevel::level)
    }
}
