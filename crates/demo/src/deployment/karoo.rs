//! Karoo Timebase: three zones, 14 targets, and a chain of four services for each certificate.

use fulmartrestle_core::Class;

use super::{Deployment, RouteSpec, ServiceSpec, ZoneSpec, build_tenants, parse_name};
use crate::DeploymentName;

/// Usual load of all tenants. The bottleneck is the archive with 24 slots of about 9 ms, near
/// 2600 requests per second.
const USUAL_RPS: f64 = 1_000.0;

/// Tenants with their shares of the usual load.
const TENANT_SHARES: [(&str, f64); 8] = [
    ("aloe", 0.28),
    ("baobab", 0.22),
    ("candelabra", 0.14),
    ("dassie", 0.10),
    ("eland", 0.09),
    ("fynbos", 0.07),
    ("gemsbok", 0.06),
    ("hoopoe", 0.04),
];

pub(super) fn deployment() -> Deployment {
    Deployment {
        name: DeploymentName::Karoo,
        zones: zones(),
        services: services(),
        routes: routes(),
        tenants: build_tenants(USUAL_RPS, &TENANT_SHARES),
        leaf_service: parse_name("archive"),
        noisy_tenant: 1,
        withdrawn_tenant: 4,
    }
}

fn zones() -> Vec<ZoneSpec> {
    let zone = |name, client_weight| ZoneSpec { zone: parse_name(name), client_weight };
    vec![zone("midrand", 40), zone("pretoria", 35), zone("sandton", 25)]
}

fn services() -> Vec<ServiceSpec> {
    vec![
        ServiceSpec::new("archive", 3, 8, 1_900, 6_000, &[]),
        ServiceSpec::new("lineage", 5, 6, 1_200, 4_000, &["archive"]),
        ServiceSpec::new("verifier", 3, 5, 300, 3_000, &["lineage"]),
        ServiceSpec::new("registrar", 3, 8, 1_900, 5_000, &["verifier"]),
    ]
}

fn routes() -> Vec<RouteSpec> {
    vec![
        RouteSpec::new("archive", Class::Browse, 50, 35),
        RouteSpec::new("lineage", Class::Lookup, 30, 30),
        RouteSpec::new("verifier", Class::Lookup, 10, 15),
        RouteSpec::new("registrar", Class::Protected, 10, 20),
    ]
}
