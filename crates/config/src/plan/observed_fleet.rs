//! The state of the fleet as observed by the nodes, as far as plans need it.

use std::net::SocketAddr;

use fulmartrestle_core::{AvailabilityZone, RatePerS, RouteId, Service, Tenant, VmId};
use fulmartrestle_derive::record;

use crate::fleet::{DrainSelector, RouteRow, SharePerMillion, StopScope};

/// A target that is in use.
#[record]
pub struct ObservedTarget {
    /// The node in front of the target.
    pub vm: VmId,
    /// The address that the target announced.
    pub address: SocketAddr,
    /// The service that the target offers.
    pub service: Service,
    /// The zone that the target is in.
    pub zone: AvailabilityZone,
    /// Measured capacity in requests per second; absent if the target was never busy enough to measure it.
    pub capacity_per_s: Option<RatePerS>,
}

impl ObservedTarget {
    /// Returns whether a drain of `selector` includes this target.
    pub fn is_drained_by(&self, selector: &DrainSelector) -> bool {
        match selector {
            DrainSelector::Vm(vm) => self.vm == *vm,
            DrainSelector::Address(address) => self.address == *address,
            DrainSelector::Zone(zone) => self.zone == *zone,
            DrainSelector::ServiceInZone { service, zone } => self.service == *service && self.zone == *zone,
        }
    }

    /// Returns whether a stop of `scope` includes this target.
    pub fn is_stopped_by(&self, scope: &StopScope) -> bool {
        match scope {
            StopScope::Service(service) => self.service == *service,
            StopScope::Zone(zone) => self.zone == *zone,
            StopScope::Target(address) => self.address == *address,
        }
    }
}

/// The traffic of one tenant on one route in one zone.
#[record]
pub struct ObservedTraffic {
    /// The route that the calls use.
    pub route: RouteId,
    /// The tenant of the calls; absent for callers without a key.
    pub tenant: Option<Tenant>,
    /// The zone in which the calls enter the fleet.
    pub zone: AvailabilityZone,
    /// Calls per second.
    pub rate_per_s: RatePerS,
}

/// Observed targets and traffic. The data may be outdated or incomplete. It only affects what a plan shows and warns
/// about, never what the plan changes.
#[record]
#[derive(Default)]
pub struct ObservedFleet {
    /// All targets in use.
    pub targets: Vec<ObservedTarget>,
    /// The traffic by route, tenant and zone.
    pub traffic: Vec<ObservedTraffic>,
}

impl ObservedFleet {
    /// Returns the share of all traffic for which `matches` returns true.
    pub fn traffic_share(&self, matches: impl Fn(&ObservedTraffic) -> bool) -> SharePerMillion {
        let rate = |traffic: &&ObservedTraffic| traffic.rate_per_s.0;
        let total = self.traffic.iter().map(|traffic| rate(&traffic)).sum();
        let part = self.traffic.iter().filter(|traffic| matches(traffic)).map(|traffic| rate(&traffic)).sum();
        SharePerMillion::from_ratio(part, total)
    }

    /// Returns the services that calls of `route` reach, starting with the service that the route names.
    pub(super) fn services_reached_by(route: &RouteRow) -> impl Iterator<Item = &Service> {
        std::iter::once(&route.service).chain(&route.chain)
    }
}
