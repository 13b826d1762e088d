//! What a node has measured about the fleet, as far as plans need it.

use std::net::SocketAddr;

use fulmartrestle_core::{AvailabilityZone, RatePerS, RouteId, Service, Tenant, VmId};
use fulmartrestle_derive::record;

use crate::fleet::{DrainSelector, RouteRow, SharePerMillion, StopScope};

/// One target that is in use.
#[record]
pub struct ObservedTarget {
    /// The run of the node in front of the target.
    pub vm: VmId,
    /// The address the target announced.
    pub address: SocketAddr,
    /// The service it offers.
    pub service: Service,
    /// The zone it is in.
    pub zone: AvailabilityZone,
    /// Requests per second that it was measured to answer; absent when it was never busy enough.
    pub capacity_per_s: Option<RatePerS>,
}

impl ObservedTarget {
    /// Returns whether `selector` means this target.
    pub fn is_drained_by(&self, selector: &DrainSelector) -> bool {
        match selector {
            DrainSelector::Vm(vm) => self.vm == *vm,
            DrainSelector::Address(address) => self.address == *address,
            DrainSelector::Zone(zone) => self.zone == *zone,
            DrainSelector::ServiceInZone { service, zone } => self.service == *service && self.zone == *zone,
        }
    }

    /// Returns whether a stop of `scope` stops this target.
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
    /// The route.
    pub route: RouteId,
    /// The tenant; absent for callers without a key.
    pub tenant: Option<Tenant>,
    /// The zone in which the calls enter.
    pub zone: AvailabilityZone,
    /// Calls per second.
    pub rate_per_s: RatePerS,
}

/// What is known of targets and traffic. Facts may be old or lack parts; they shape only what a
/// plan shows and its warnings, never what it changes.
#[record]
#[derive(Default)]
pub struct ObservedFleet {
    /// The targets in use.
    pub targets: Vec<ObservedTarget>,
    /// The traffic.
    pub traffic: Vec<ObservedTraffic>,
}

impl ObservedFleet {
    /// Returns the share of all traffic that `matches`.
    pub fn traffic_share(&self, matches: impl Fn(&ObservedTraffic) -> bool) -> SharePerMillion {
        let rate = |facts: &&ObservedTraffic| facts.rate_per_s.0;
        let whole = self.traffic.iter().map(|facts| rate(&facts)).sum();
        let part = self.traffic.iter().filter(|facts| matches(facts)).map(|facts| rate(&facts)).sum();
        SharePerMillion::from_ratio(part, whole)
    }

    /// Returns the services that calls of `route` reach, the first one first.
    pub(super) fn services_of(route: &RouteRow) -> impl Iterator<Item = &Service> {
        std::iter::once(&route.service).chain(&route.chain)
    }
}
