//! The deployments, in a small form that fits one process.
//!
//! Counts of workers, zones, tenants and the shape of the call chains are those of the first users;
//! slots, rates and service times are scaled down, see `docs/DEMO.md`.

mod compagni;
mod karoo;
mod placement;
mod route_spec;
mod service_spec;
mod tenant_spec;
mod zone_spec;

pub(crate) use placement::Placement;
pub use route_spec::RouteSpec;
pub use service_spec::ServiceSpec;
pub use tenant_spec::TenantSpec;
pub use zone_spec::ZoneSpec;

use fulmartrestle_core::Service;
use fulmartrestle_derive::local;

use crate::DeploymentName;

/// Tenants may send this many times their usual load, so that their rates together exceed the fleet's
/// capacity, as contracts do.
const RATE_TO_USUAL_LOAD: f64 = 3.0;

/// Bursts last this long at a tenant's rate, in seconds.
const BURST_DURATION_S: f64 = 0.5;

/// Keys begin with this, also those that nodes grant; no target may see one.
pub(crate) const KEY_MARKER: &str = "fk_";

/// Services, routes, zones and tenants of one deployment.
#[local]
pub struct Deployment {
    /// Its name.
    pub name: DeploymentName,
    /// The zones.
    pub zones: Vec<ZoneSpec>,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// The routes that callers use. Each service has one, whose path is the service's name.
    pub routes: Vec<RouteSpec>,
    /// The tenants, largest first.
    pub tenants: Vec<TenantSpec>,
    /// The service at the bottom of the chains.
    pub leaf_service: Service,
    /// Place of the tenant that sends too much in scenarios with a noisy tenant.
    pub noisy_tenant: usize,
    /// Place of the tenant whose key is withdrawn.
    pub withdrawn_tenant: usize,
}

impl Deployment {
    /// Returns the deployment with this name.
    pub fn named(name: DeploymentName) -> Self {
        match name {
            DeploymentName::Compagni => compagni::deployment(),
            DeploymentName::Karoo => karoo::deployment(),
        }
    }
}

/// Parses a name that this module spells out.
///
/// # Panics
///
/// Panics on a name that is not valid, which the tests of this crate would show.
fn id<T: std::str::FromStr<Err = fulmartrestle_core::ParseError>>(text: &str) -> T {
    text.parse().unwrap_or_else(|error| panic!("{error}"))
}

/// Builds the tenants from their names and shares of the usual load.
fn tenants(usual_rps: f64, shares: &[(&str, f64)]) -> Vec<TenantSpec> {
    let spec = |(name, share): &(&str, f64)| {
        let usual_rps = usual_rps * share;
        let rate_per_s = usual_rps * RATE_TO_USUAL_LOAD;
        TenantSpec {
            tenant: id(name),
            usual_rps,
            rate_per_s: rate_per_s as u64,
            burst: (rate_per_s * BURST_DURATION_S) as u64,
        }
    };
    shares.iter().map(spec).collect()
}
