//! How much each tenant sends, from where and on which routes, over the run.

use crate::deployment::Deployment;
use crate::phase::{Phase, Trigger};

/// The load as a function of time.
pub struct LoadProfile<'a> {
    /// Who sends what.
    pub deployment: &'a Deployment,
    /// What changes the load.
    pub phases: &'a [Phase],
    /// Length of the load, in microseconds.
    pub run_us: u64,
}

impl LoadProfile<'_> {
    /// Returns the requests per second that a tenant's clients begin with at this time.
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

    /// Returns the weights of the clients' zones at this time. When traffic has moved, the last zone has
    /// the clients that the first had before.
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
        let in_force = self.phases.iter().filter(move |phase| phase.is_active(now_us, self.run_us));
        in_force.map(|phase| phase.trigger)
    }
}
