//! Open-loop arrivals of requests.

use fulmartrestle_derive::local;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::LoadProfile;

const US_PER_MS: u64 = 1_000;
const US_PER_S: f64 = 1_000_000.0;

/// Arrival of a new request. Tenant, route and zone are indices into the deployment's tables.
#[local]
#[derive(Copy, Eq)]
pub struct Arrival {
    /// Time of the arrival, in microseconds since the start of the load.
    pub arrival_us: u64,
    /// Index of the tenant that sends the request.
    pub tenant: usize,
    /// Index of the requested route.
    pub route: usize,
    /// Index of the client's zone.
    pub zone: usize,
}

/// Draws all arrivals of a run and returns them in order of time. They do not depend on the fleet's responses.
pub fn draw_arrivals(profile: &LoadProfile<'_>, seed: u64) -> Vec<Arrival> {
    let tenants = 0..profile.deployment.tenants.len();
    let mut arrivals: Vec<_> = tenants.flat_map(|tenant| draw_tenant_arrivals(profile, tenant, seed)).collect();
    arrivals.sort_by_key(|arrival| (arrival.arrival_us, arrival.tenant));
    arrivals
}

/// Draws the arrivals of one tenant: one arrival in each interval in which the tenant sends one request on
/// average. Over a few milliseconds, the arrivals are as bursty as a Poisson process. Over a second they
/// vary less, so that goodput per second depends on the fleet rather than on the random draw.
fn draw_tenant_arrivals(profile: &LoadProfile<'_>, tenant: usize, seed: u64) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(tenant as u64);
    let mut arrivals = Vec::new();
    let mut expected = 0.0;
    let mut next: f64 = random.random();
    for tick in 0..profile.run_us / US_PER_MS {
        let tick_us = tick * US_PER_MS;
        expected += profile.tenant_rps(tenant, tick_us) * US_PER_MS as f64 / US_PER_S;
        while next < expected {
            let arrival_us = tick_us + random.random_range(0..US_PER_MS);
            let route = choose_weighted(&profile.route_weights(tick_us), &mut random);
            let zone = choose_weighted(&profile.zone_weights(tick_us), &mut random);
            arrivals.push(Arrival { arrival_us, tenant, route, zone });
            next = next.floor() + 1.0 + random.random::<f64>();
        }
    }
    arrivals
}

/// Draws an index with a probability proportional to its weight.
fn choose_weighted(weights: &[u32], random: &mut impl Rng) -> usize {
    let total: u32 = weights.iter().sum();
    let mut remaining = random.random_range(0..total.max(1));
    for (index, weight) in weights.iter().enumerate() {
        if remaining < *weight {
            return index;
        }
        remaining -= weight;
    }
    0
}
