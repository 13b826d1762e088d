//! Warnings that an operator should consider before confirming a plan.

use fulmartrestle_core::{AvailabilityZone, RatePerS, RouteId, Service, Tenant};
use fulmartrestle_derive::record;

/// A possibly unintended consequence of a plan.
#[record]
#[derive(Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Warning {
    /// The tenants' rates, distributed over routes like their current traffic, exceed the measured capacity of a
    /// service's targets.
    RatesOverCapacity {
        /// The service whose capacity is exceeded.
        service: Service,
        /// Sum of the tenants' rates for the service, in requests per second.
        promised_per_s: RatePerS,
        /// Capacity of the service's targets, in requests per second.
        capacity_per_s: RatePerS,
    },
    /// Calls of a route reach a service that has no target.
    RouteWithoutTarget {
        /// The route with the service.
        route: RouteId,
        /// The service without a target.
        service: Service,
    },
    /// Stopping or draining targets leaves a zone with less capacity than its current traffic needs.
    ZoneBelowNeed {
        /// The zone that lacks capacity.
        zone: AvailabilityZone,
        /// The service that the targets offer.
        service: Service,
        /// Traffic of the zone to the service, in requests per second.
        needed_per_s: RatePerS,
        /// Capacity of the remaining targets, in requests per second.
        capacity_per_s: RatePerS,
    },
    /// A tenant is left without a key.
    LastKeyOfTenant {
        /// The tenant without a valid key.
        tenant: Tenant,
    },
}

impl std::fmt::Display for Warning {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::RatesOverCapacity { service, promised_per_s, capacity_per_s } => write!(
                formatter,
                "tenants' rates allow {promised_per_s} requests/s to service {service}, \
                 but its targets have a capacity of {capacity_per_s}"
            ),
            Self::RouteWithoutTarget { route, service } => {
                write!(formatter, "route {route} reaches service {service}, which has no target")
            }
            Self::ZoneBelowNeed { zone, service, needed_per_s, capacity_per_s } => write!(
                formatter,
                "zone {zone} needs {needed_per_s} requests/s of service {service}, \
                 but its remaining targets have a capacity of {capacity_per_s}"
            ),
            Self::LastKeyOfTenant { tenant } => write!(formatter, "tenant {tenant} is left without a key"),
        }
    }
}
