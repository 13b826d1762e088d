//! What an operator should think about before confirming a plan.

use fulmartrestle_core::{AvailabilityZone, RatePerS, RouteId, Service, Tenant};
use fulmartrestle_derive::record;

/// A consequence of a plan that may be unwanted.
#[record]
#[derive(Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Warning {
    /// Tenants' rates, spread over routes as their traffic is now, promise more than the service's
    /// targets were measured to answer.
    RatesOverCapacity {
        /// The service.
        service: Service,
        /// Requests per second that the rates promise.
        promised_per_s: RatePerS,
        /// Requests per second that the targets answer.
        capacity_per_s: RatePerS,
    },
    /// A route's calls reach a service without a target.
    RouteWithoutTarget {
        /// The route.
        route: RouteId,
        /// The service.
        service: Service,
    },
    /// Targets that stop or drain leave a zone with less than its present traffic needs.
    ZoneBelowNeed {
        /// The zone.
        zone: AvailabilityZone,
        /// The service.
        service: Service,
        /// Requests per second that the zone's traffic needs.
        needed_per_s: RatePerS,
        /// Requests per second that the remaining targets answer.
        capacity_per_s: RatePerS,
    },
    /// A tenant is left without a key.
    LastKeyOfTenant {
        /// The tenant.
        tenant: Tenant,
    },
}

impl std::fmt::Display for Warning {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::RatesOverCapacity { service, promised_per_s, capacity_per_s } => write!(
                formatter,
                "rates promise {promised_per_s} requests/s to service {service}, its targets answer {capacity_per_s}"
            ),
            Self::RouteWithoutTarget { route, service } => {
                write!(formatter, "route {route} reaches service {service}, which has no target")
            }
            Self::ZoneBelowNeed { zone, service, needed_per_s, capacity_per_s } => write!(
                formatter,
                "zone {zone} needs {needed_per_s} requests/s of service {service} and keeps {capacity_per_s}"
            ),
            Self::LastKeyOfTenant { tenant } => write!(formatter, "tenant {tenant} is left without a key"),
        }
    }
}
