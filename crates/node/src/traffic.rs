//! Request rates per route and tenant, from which plans compute the expected share of traffic.

use std::collections::HashMap;

use fulmartrestle_config::plan::ObservedTraffic;
use fulmartrestle_core::{AvailabilityZone, RatePerS, RouteId, Tenant, TimeUs};

/// Maximum number of counted pairs of route and tenant. It bounds the memory, whatever callers send.
const MAX_ROUTE_TENANT_PAIRS: usize = 2_048;

/// Time constant of the exponential decay, in seconds: after it a request counts for about a third. Plans are based on
/// the traffic of the last minute or two.
const DECAY_TIME_CONSTANT_S: f64 = 60.0;

const US_PER_S: f64 = 1_000_000.0;

/// The route and tenant that a row counts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct TrafficKey {
    route: RouteId,
    tenant: Option<Tenant>,
}

/// A count with exponential decay.
#[derive(Clone, Copy, Debug)]
struct DecayingCount {
    count: f64,
    updated_at: TimeUs,
}

/// Decaying counts of the requests that entered at this node, by route and tenant.
#[derive(Debug, Default)]
pub struct TrafficTable {
    rows: HashMap<TrafficKey, DecayingCount>,
}

impl TrafficTable {
    /// Counts one request. When the table is full, new pairs are not counted.
    pub fn count(&mut self, route: &RouteId, tenant: Option<&Tenant>, now: TimeUs) {
        let key = TrafficKey { route: route.clone(), tenant: tenant.cloned() };
        let is_full = self.rows.len() >= MAX_ROUTE_TENANT_PAIRS;
        match self.rows.get_mut(&key) {
            Some(row) => *row = DecayingCount { count: row.decayed_to(now) + 1.0, updated_at: now },
            None if is_full => {}
            None => drop(self.rows.insert(key, DecayingCount { count: 1.0, updated_at: now })),
        }
    }

    /// Returns the request rates, labelled with `zone`. Rates that round to zero are left out.
    pub fn observed_rates(&self, zone: &AvailabilityZone, now: TimeUs) -> Vec<ObservedTraffic> {
        let rates = self.rows.iter().map(|(key, row)| ObservedTraffic {
            route: key.route.clone(),
            tenant: key.tenant.clone(),
            zone: zone.clone(),
            rate_per_s: RatePerS((row.decayed_to(now) / DECAY_TIME_CONSTANT_S).round() as u64),
        });
        rates.filter(|row| row.rate_per_s.0 > 0).collect()
    }
}

impl DecayingCount {
    fn decayed_to(&self, now: TimeUs) -> f64 {
        let elapsed_s = now.us_since(self.updated_at) as f64 / US_PER_S;
        self.count * (-elapsed_s / DECAY_TIME_CONSTANT_S).exp()
    }
}
