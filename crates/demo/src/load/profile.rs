//! Load profile: rates of tenants and distribution over routes and zones during a run.

use crate::deployment::Deployment;
use crate::phase::{Phase, Trigger};

/// Load as a function of time.
pub struct LoadProfile<'a> {
    /// Deployment with its tenants, routes and zones.
    pub deployment: &'a Deployment,
    /// Phases of the scenario, some of which change the load.
    pub phases: &'a [Phase],
    /// Duration of the load in microseconds.
    pub run_us: u64,
}

impl LoadProfile<'_> {
    /// Returns the rate of a tenant's new requests at this time, in requests per second.
    pub fn tenant_rps(&self, tenant: usize, now_us: u64) -> f64 {
        let factor = |trigger| match trigger {
            Trigger::Surge { factor } => factor,
            Trigger::NoisyTenant { factor } if tenant == self.deployment.noisy_tenant => factor,
            _ => 1.0,
        };
        let factors = self.active_triggers(now_us).map(factor);
        self.deployment.tenants[tenant].usual_rps * factors.product::<f64>()
    }

    /// Returns the weights of the routes at this time.
    pub fn route_weights(&self, now_us: u64) -> Vec<u32> {
        let shifted = self.is_shifted(now_us);
        let routes = self.deployment.routes.iter();
        routes.map(|route| if shifted { route.shifted_weight } else { route.weight }).collect()
    }

    /// Returns the weights of the clients' zones at this time. After a peak shift, the last zone has the
    /// clients that the first zone had before.
    pub fn zone_weights(&self, now_us: u64) -> Vec<u32> {
        let mut weights: Vec<_> = self.deployment.zones.iter().map(|zone| zone.client_weight).collect();
        if self.is_shifted(now_us) {
            weights.rotate_left(1);
        }
        weights
    }

    fn is_shifted(&self, now_us: u64) -> bool {
        self.active_triggers(now_us).any(|trigger| trigger == Trigger::PeakShift)
    }

    fn active_triggers(&self, now_us: u64) -> impl Iterator<Item = Trigger> {
        let active = self.phases.iter().filter(move |phase| phase.is_active(now_us, self.run_us));
        active.map(|phase| phase.trigger)
    }
}
