//! How many requests each tenant sends on each route, for the expected share of traffic in plans.

use std::collections::HashMap;

use fulmartrestle_config::plan::ObservedTraffic;
use fulmartrestle_core::{AvailabilityZone, RatePerS, RouteId, Tenant, TimeUs};

/// Pairs of route and tenant that are counted; a bound on memory, whatever callers send.
const MAX_ROWS: usize = 2_048;

/// Time after which a request counts for a third, in seconds. Plans should see a minute or two.
const DECAY_TIME_CONSTANT_S: f64 = 60.0;

const US_PER_S: f64 = 1_000_000.0;

/// What a row counts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct TrafficKey {
    route: RouteId,
    tenant: Option<Tenant>,
}

/// A count that fades with time.
#[derive(Clone, Copy, Debug)]
struct DecayingCount {
    count: f64,
    at: TimeUs,
}

/// Requests by route and tenant, as far as this node took them in.
#[derive(Debug, Default)]
pub struct TrafficTable {
    rows: HashMap<TrafficKey, DecayingCount>,
}

impl TrafficTable {
    /// Counts one request. Beyond the bound new pairs are not counted.
    pub fn count(&mut self, route: &RouteId, tenant: Option<&Tenant>, now: TimeUs) {
        let key = TrafficKey { route: route.clone(), tenant: tenant.cloned() };
        let is_full = self.rows.len() >= MAX_ROWS;
        match self.rows.get_mut(&key) {
            Some(row) => *row = DecayingCount { count: row.decayed_to(now) + 1.0, at: now },
            None if is_full => {}
            None => drop(self.rows.insert(key, DecayingCount { count: 1.0, at: now })),
        }
    }

    /// Returns the rates of requests that enter in `zone`.
    pub fn facts(&self, zone: &AvailabilityZone, now: TimeUs) -> Vec<ObservedTraffic> {
        let facts = self.rows.iter().map(|(key, row)| ObservedTraffic {
            route: key.route.clone(),
            tenant: key.tenant.clone(),
            zone: zone.clone(),
            rate_per_s: RatePerS((row.decayed_to(now) / DECAY_TIME_CONSTANT_S).round() as u64),
        });
        facts.filter(|facts| facts.rate_per_s.0 > 0).collect()
    }
}

impl DecayingCount {
    fn decayed_to(&self, now: TimeUs) -> f64 {
        let elapsed_s = now.us_since(self.at) as f64 / US_PER_S;
        self.count * (-elapsed_s / DECAY_TIME_CONSTANT_S).exp()
    }
}
