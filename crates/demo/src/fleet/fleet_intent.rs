//! Builds the intent that configures a deployment.

use fulmartrestle_core::Service;
use serde_json::{Value, json};

use crate::deployment::{Deployment, RouteSpec, TenantSpec, ZoneSpec};

/// Timeout of calls for which the caller sends none.
const ROUTE_TIMEOUT_MS: u64 = 5_000;

/// Returns an intent that sets zones, tenants with one key each, and routes.
pub(super) fn fleet_intent(deployment: &Deployment) -> Value {
    let zones = deployment.zones.iter().map(|zone| set_zone(deployment, zone));
    let tenants = deployment.tenants.iter().map(set_tenant);
    let keys = deployment.tenants.iter().map(|tenant| json!({"grant_key": tenant.tenant}));
    let routes = deployment.routes.iter().map(|route| set_route(deployment, route));
    let changes: Vec<_> = zones.chain(tenants).chain(keys).chain(routes).collect();
    json!({"why": "first configuration", "changes": changes})
}

fn set_zone(deployment: &Deployment, zone: &ZoneSpec) -> Value {
    json!({"set_zone": {"zone": zone.zone, "region": deployment.name.as_str()}})
}

fn set_tenant(spec: &TenantSpec) -> Value {
    json!({"set_tenant": {
        "tenant": spec.tenant, "rate_per_s": spec.rate_per_s, "burst": spec.burst, "weight": spec.rate_per_s,
    }})
}

fn set_route(deployment: &Deployment, spec: &RouteSpec) -> Value {
    json!({"set_route": {
        "route": spec.route, "path_prefix": spec.path, "service": spec.service, "class": spec.class,
        "at_most_once": spec.at_most_once, "retryable": !spec.at_most_once,
        "chain": downstream_services(deployment, &spec.service), "timeout_ms": ROUTE_TIMEOUT_MS,
    }})
}

/// Returns the services that a call of `service` reaches, closest first.
fn downstream_services(deployment: &Deployment, service: &Service) -> Vec<Service> {
    let mut chain: Vec<Service> = Vec::new();
    let mut pending = vec![service.clone()];
    while let Some(caller) = pending.pop() {
        let specs = deployment.services.iter().filter(|spec| spec.service == caller);
        for callee in specs.flat_map(|spec| &spec.child_services) {
            if !chain.contains(callee) {
                chain.push(callee.clone());
                pending.push(callee.clone());
            }
        }
    }
    chain
}
