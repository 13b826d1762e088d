//! Where the targets of a deployment run.

use fulmartrestle_core::AvailabilityZone;

use super::{Deployment, ServiceSpec};

/// One target to start.
#[derive(Clone, Debug)]
pub(crate) struct Placement<'a> {
    /// The target's number in the deployment.
    pub(crate) place: usize,
    /// The zone that it runs in.
    pub(crate) zone: AvailabilityZone,
    /// The service that it offers.
    pub(crate) service: &'a ServiceSpec,
}

impl Deployment {
    /// Returns all targets to start; those of each service are spread over the zones in turn.
    pub(crate) fn placements(&self) -> Vec<Placement<'_>> {
        let zone = |worker: u32| self.zones[worker as usize % self.zones.len()].zone.clone();
        let workers =
            self.services.iter().flat_map(|service| (0..service.workers).map(move |worker| (service, worker)));
        let placement = |(place, (service, worker))| Placement { place, zone: zone(worker), service };
        workers.enumerate().map(placement).collect()
    }
}
