//! Compagni di Strada: three zones, 13 targets, and a chain of four services for each pairing.

use fulmartrestle_core::Class;

use super::{Deployment, RouteSpec, ServiceSpec, ZoneSpec, build_tenants, parse_name};
use crate::DeploymentName;

/// Usual load of all tenants. The bottleneck is the departure search with 12 slots of about 11 ms, near
/// 1300 requests per second.
const USUAL_RPS: f64 = 600.0;

/// Tenants with their shares of the usual load.
const TENANT_SHARES: [(&str, f64); 8] = [
    ("alpi", 0.30),
    ("brenta", 0.20),
    ("cima", 0.15),
    ("dolomia", 0.10),
    ("edolo", 0.08),
    ("feltre", 0.07),
    ("garda", 0.06),
    ("iseo", 0.04),
];

pub(super) fn deployment() -> Deployment {
    Deployment {
        name: DeploymentName::Compagni,
        zones: zones(),
        services: services(),
        routes: routes(),
        tenants: build_tenants(USUAL_RPS, &TENANT_SHARES),
        leaf_service: parse_name("profiles"),
        noisy_tenant: 1,
        withdrawn_tenant: 4,
    }
}

fn zones() -> Vec<ZoneSpec> {
    let zone = |name, client_weight| ZoneSpec { zone: parse_name(name), client_weight };
    vec![zone("milano", 45), zone("verona", 35), zone("brescia", 20)]
}

fn services() -> Vec<ServiceSpec> {
    vec![
        ServiceSpec::new("profiles", 4, 4, 300, 4_000, &[]),
        ServiceSpec::new("departures", 3, 4, 150, 3_000, &["profiles"]),
        ServiceSpec::new("itinerary", 3, 5, 400, 4_000, &["departures"]),
        ServiceSpec::new("pairing", 3, 5, 400, 5_000, &["itinerary"]),
    ]
}

fn routes() -> Vec<RouteSpec> {
    vec![
        RouteSpec::new("departures", Class::Browse, 50, 35),
        RouteSpec::new("profiles", Class::Lookup, 20, 20),
        RouteSpec::new("itinerary", Class::Lookup, 20, 25),
        RouteSpec::new("pairing", Class::Protected, 10, 20),
    ]
}
