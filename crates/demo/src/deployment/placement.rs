//! Placement of a deployment's targets in zones.

use fulmartrestle_core::AvailabilityZone;

use super::{Deployment, ServiceSpec};

/// Target to start, with its zone and service.
#[derive(Clone, Debug)]
pub(crate) struct Placement<'a> {
    /// Index of the target in the deployment.
    pub(crate) index: usize,
    /// Zone in which the target runs.
    pub(crate) zone: AvailabilityZone,
    /// Service that the target provides.
    pub(crate) service: &'a ServiceSpec,
}

impl Deployment {
    /// Returns all targets to start. The targets of a service are distributed over the zones round robin.
    pub(crate) fn placements(&self) -> Vec<Placement<'_>> {
        let zone = |replica: u32| self.zones[replica as usize % self.zones.len()].zone.clone();
        let replicas =
            self.services.iter().flat_map(|service| (0..service.target_count).map(move |replica| (service, replica)));
        let placement = |(index, (service, replica))| Placement { index, zone: zone(replica), service };
        replicas.enumerate().map(placement).collect()
    }
}
