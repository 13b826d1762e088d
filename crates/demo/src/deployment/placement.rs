//! Where the targets of a deployment run.

use fulmartrestle_core::AvailabilityZone;

use super::{Deployment, ServiceSpec};

/// One target to start.
#[derive(Clone, Debug)]
pub(crate) struct Placement<'a> {
    /// The target's number in the deployment.
    pub(crate) index: usize,
    /// The zone that it runs in.
    pub(crate) zone: AvailabilityZone,
    /// The service that it offers.
    pub(crate) service: &'a ServiceSpec,
}

impl Deployment {
    /// Returns all targets to start; those of each service are spread over the zones in turn.
    pub(crate) fn placements(&self) -> Vec<Placement<'_>> {
        let zone = |replica: u32| self.zones[replica as usize % self.zones.len()].zone.clone();
        let target_count =
            self.services.iter().flat_map(|service| (0..service.target_count).map(move |replica| (service, replica)));
        let placement = |(index, (service, replica))| Placement { index, zone: zone(replica), service };
        target_count.enumerate().map(placement).collect()
    }
}
