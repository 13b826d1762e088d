//! Sample deployments, scaled down to fit one process.
//!
//! The numbers of targets, zones and tenants and the shape of the call chains are those of the project's
//! first users. Slots, rates and service times are scaled down, see `docs/DEMO.md`.

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

/// Ratio of a tenant's rate limit to its usual load. The rate limits add up to more than the fleet's
/// capacity, as they do in real contracts.
const RATE_TO_USUAL_LOAD: f64 = 3.0;

/// Burst of a tenant in seconds of its rate limit.
const BURST_DURATION_S: f64 = 0.5;

/// Prefix of all keys, including those that nodes grant. Targets use it to detect callers' keys, which
/// must not reach them.
pub(crate) const KEY_MARKER: &str = "fk_";

/// Services, routes, zones and tenants of one deployment.
#[local]
pub struct Deployment {
    /// Name of the deployment.
    pub name: DeploymentName,
    /// Availability zones.
    pub zones: Vec<ZoneSpec>,
    /// Services with their targets.
    pub services: Vec<ServiceSpec>,
    /// Routes that callers use. Each service has one route, whose path is the service's name.
    pub routes: Vec<RouteSpec>,
    /// Tenants, largest usual load first.
    pub tenants: Vec<TenantSpec>,
    /// Service at the end of the call chains, which calls no other service.
    pub leaf_service: Service,
    /// Index of the tenant that exceeds its rate limit in scenarios with a noisy tenant.
    pub noisy_tenant: usize,
    /// Index of the tenant whose key is withdrawn.
    pub withdrawn_tenant: usize,
}

impl Deployment {
    /// Returns the sample deployment with this name.
    pub fn named(name: DeploymentName) -> Self {
        match name {
            DeploymentName::Compagni => compagni::deployment(),
            DeploymentName::Karoo => karoo::deployment(),
        }
    }
}

/// Parses a name that is a constant of this module.
///
/// # Panics
///
/// Panics if the name is not valid. The tests of this crate build all deployments and would fail.
fn parse_name<T: std::str::FromStr<Err = fulmartrestle_core::ParseError>>(text: &str) -> T {
    text.parse().unwrap_or_else(|error| panic!("{error}"))
}

/// Builds tenants from their names and their shares of the usual load.
fn build_tenants(usual_rps: f64, shares: &[(&str, f64)]) -> Vec<TenantSpec> {
    let spec = |(name, share): &(&str, f64)| {
        let usual_rps = usual_rps * share;
        let rate_per_s = usual_rps * RATE_TO_USUAL_LOAD;
        TenantSpec {
            tenant: parse_name(name),
            usual_rps,
            rate_per_s: rate_per_s as u64,
            burst: (rate_per_s * BURST_DURATION_S) as u64,
        }
    };
    shares.iter().map(spec).collect()
}
