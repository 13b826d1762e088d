//! Deployments that the model runs; the two large ones have the sizes that their operators describe.

use fulmartrestle_core::Class;

/// A service whose targets are all equal.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: &'static str,
    /// Number of targets.
    pub targets: usize,
    /// Calls that each target processes concurrently.
    pub slots: usize,
    /// Connections that each target accepts.
    pub connections: usize,
    /// Mean service time without child calls, in microseconds.
    pub work_us: u64,
}

/// A route with the chain of services that each of its calls passes.
#[derive(Clone, Debug)]
pub struct RouteSpec {
    /// Indexes of the services, first the one that ingress nodes call.
    pub chain: Vec<usize>,
    /// Importance of the route.
    pub class: Class,
    /// Share of the demand.
    pub share: f64,
}

/// A fleet with its routes and tenants.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// Network latency between two VMs, in microseconds.
    pub network_us: u64,
    /// Time that a client waits for one try, in microseconds.
    pub client_timeout_us: u64,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// Weights of the tenants, which are also their shares of the demand.
    pub tenant_weights: Vec<u32>,
    /// Index of the deepest service, the last one of all routes.
    pub deepest: usize,
}

/// Number of availability zones of every deployment.
pub const ZONES: usize = 3;

const TENANT_WEIGHTS: [u32; 8] = [4, 3, 2, 1, 1, 1, 1, 1];

impl Deployment {
    /// Three travel agencies in Lombardy and Veneto: departure search is the deepest service.
    pub fn compagni() -> Self {
        let service =
            |name, targets, slots, connections, work_us| ServiceSpec { name, targets, slots, connections, work_us };
        Self {
            name: "compagni",
            network_us: 500,
            client_timeout_us: 1_000_000,
            services: vec![
                service("profile", 4, 35, 300, 10_000),
                service("pairing", 3, 45, 400, 20_000),
                service("itinerary", 3, 45, 400, 20_000),
                service("search", 3, 10, 150, 20_000),
            ],
            routes: vec![
                RouteSpec { chain: vec![2, 3], class: Class::Browse, share: 0.5 },
                RouteSpec { chain: vec![0, 3], class: Class::Lookup, share: 0.4 },
                RouteSpec { chain: vec![1, 2, 0, 3], class: Class::Protected, share: 0.1 },
            ],
            tenant_weights: TENANT_WEIGHTS.to_vec(),
            deepest: 3,
        }
    }

    /// Calibration franchisees in Gauteng: the archive is the deepest service.
    pub fn karoo() -> Self {
        let service =
            |name, targets, slots, connections, work_us| ServiceSpec { name, targets, slots, connections, work_us };
        Self {
            name: "karoo",
            network_us: 1_000,
            client_timeout_us: 6_000_000,
            services: vec![
                service("archive", 3, 300, 1_900, 300_000),
                service("registrar", 3, 300, 1_900, 10_000),
                service("lineage", 5, 180, 1_200, 50_000),
                service("verifier", 3, 35, 300, 10_000),
            ],
            routes: vec![
                RouteSpec { chain: vec![1, 0], class: Class::Browse, share: 0.4 },
                RouteSpec { chain: vec![2, 0], class: Class::Lookup, share: 0.585 },
                RouteSpec { chain: vec![3, 1, 2, 0], class: Class::Protected, share: 0.015 },
            ],
            tenant_weights: TENANT_WEIGHTS.to_vec(),
            deepest: 0,
        }
    }

    /// A small fleet for randomised runs with faults.
    pub fn small() -> Self {
        let service = |name, slots, work_us| ServiceSpec { name, targets: 3, slots, connections: 60, work_us };
        Self {
            name: "small",
            network_us: 500,
            client_timeout_us: 500_000,
            services: vec![service("front", 8, 5_000), service("middle", 8, 5_000), service("deep", 4, 20_000)],
            routes: vec![
                RouteSpec { chain: vec![0, 2], class: Class::Browse, share: 0.4 },
                RouteSpec { chain: vec![1, 2], class: Class::Lookup, share: 0.4 },
                RouteSpec { chain: vec![0, 1, 2], class: Class::Protected, share: 0.2 },
            ],
            tenant_weights: vec![3, 2, 1],
            deepest: 2,
        }
    }

    /// Returns the number of targets of all services.
    pub fn targets(&self) -> usize {
        self.services.iter().map(|service| service.targets).sum()
    }

    /// Returns the calls per second that the deepest service can process.
    pub fn capacity_per_s(&self) -> f64 {
        let service = &self.services[self.deepest];
        (service.targets * service.slots) as f64 * 1e6 / service.work_us as f64
    }
}
