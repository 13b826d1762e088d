//! Service of a deployment.

use fulmartrestle_core::Service;
use fulmartrestle_derive::local;
use fulmartrestle_standin::{ChildCall, ServiceTime, StandinSettings};

use super::KEY_MARKER;

/// A service and its targets, which are distributed over the zones round robin.
#[local]
pub struct ServiceSpec {
    /// Name of the service.
    pub service: Service,
    /// Number of targets.
    pub target_count: u32,
    /// Slots of each target, which is the number of requests that it runs at once.
    pub slots: u32,
    /// Number of connections that each target accepts.
    pub connections: u32,
    /// Service time without the time of child calls.
    pub service_time: ServiceTime,
    /// Services that each request calls, once each.
    pub child_services: Vec<Service>,
}

impl ServiceSpec {
    /// Returns a service whose service time is at least `min_us`, with a mean extra time of a quarter of
    /// that.
    pub(super) fn new(
        name: &str,
        target_count: u32,
        slots: u32,
        connections: u32,
        min_us: u64,
        child_services: &[&str],
    ) -> Self {
        let service_time = ServiceTime { min_us, mean_extra_us: min_us / 4 };
        let child_services = child_services.iter().map(|name| super::parse_name(name)).collect();
        Self { service: super::parse_name(name), target_count, slots, connections, service_time, child_services }
    }

    /// Returns the settings of one of the service's targets.
    pub fn settings(&self, seed: u64) -> StandinSettings {
        let child = |service: &Service| ChildCall { path: format!("/{service}"), count: 1 };
        StandinSettings {
            slots: self.slots,
            connections: self.connections,
            service_time: self.service_time,
            children: self.child_services.iter().map(child).collect(),
            key_markers: vec![KEY_MARKER.to_owned()],
            seed,
            ..StandinSettings::new(self.service.clone())
        }
    }
}
