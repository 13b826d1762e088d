//! Division of one route's admissions among its tenants. See `docs/design/tenant-division.md`.
//!
//! Load pattern: one tenant sends many times what the others send, and the route is admitted only in part. With one
//! share for all, most requests of the others are refused for its sake.

use fulmartrestle_core::{Tenant, TimeUs};
use rustc_hash::FxHashMap;

/// Length of the windows in which requests are counted, in microseconds. The division is calculated at their ends.
const WINDOW_US: u64 = 100_000;

/// Time constant of the smoothed rates, in microseconds. A tenant's requests come in bursts.
const SMOOTHING_US: f64 = 1_000_000.0;

/// Rate in requests per second below which a tenant is forgotten.
const MIN_RATE_PER_S: f64 = 0.01;

/// Maximum number of tenants whose rates are measured. Others get the share of the route.
const MAX_TENANTS: usize = 1_024;

/// Bounds of the correction of the admitted share. Smoothed rates vary at random, and a tenant is admitted too much while
/// its rate seems low by more than it is admitted too little while it seems high: by 6 % at 10 requests a second.
const MIN_CORRECTION: f64 = 0.5;
const MAX_CORRECTION: f64 = 1.5;

const US_PER_S: f64 = 1e6;

#[derive(Debug, Default)]
struct TenantRate {
    requests: f64,
    per_s: f64,
}

/// Request rates of the tenants of one route and rank, and the rate up to which each is admitted.
#[derive(Debug, Default)]
pub struct TenantDemand {
    rates: FxHashMap<Option<Tenant>, TenantRate>,
    window_started: TimeUs,
    /// Rate in requests per second up to which a tenant should be admitted as a whole by the smoothed rates.
    nominal_level_per_s: f64,
    /// The same, corrected so that the share of all requests is met.
    level_per_s: f64,
    /// Smoothed sums of the shares of the route and of the nominal shares over the requests of a window.
    asked: f64,
    nominal: f64,
    window_asked: f64,
    window_nominal: f64,
}

impl TenantDemand {
    /// Counts a request, and returns the share of its tenant's requests that is admitted while `share` of all is.
    pub fn record_request(&mut self, tenant: Option<&Tenant>, share: f64, now: TimeUs) -> f64 {
        let elapsed_us = now.us_since(self.window_started);
        if elapsed_us >= WINDOW_US {
            self.close_window(elapsed_us as f64, share);
            self.window_started = now;
        }
        let tenant = tenant.cloned();
        if self.rates.len() >= MAX_TENANTS && !self.rates.contains_key(&tenant) {
            return share;
        }
        let rate = self.rates.entry(tenant).or_default();
        rate.requests += 1.0;
        // A tenant that was not there when the level was calculated has no part in it yet.
        if share >= 1.0 || rate.per_s == 0.0 {
            return share;
        }
        self.window_asked += share;
        self.window_nominal += (self.nominal_level_per_s / rate.per_s).min(1.0);
        (self.level_per_s / rate.per_s).min(1.0)
    }

    fn close_window(&mut self, elapsed_us: f64, share: f64) {
        let weight = 1.0 - (-elapsed_us / SMOOTHING_US).exp();
        self.rates.retain(|_, rate| {
            rate.per_s += (rate.requests * US_PER_S / elapsed_us - rate.per_s) * weight;
            rate.requests = 0.0;
            rate.per_s >= MIN_RATE_PER_S
        });
        self.asked += (self.window_asked - self.asked) * weight;
        self.nominal += (self.window_nominal - self.nominal) * weight;
        (self.window_asked, self.window_nominal) = (0.0, 0.0);
        let correction = if self.nominal > 0.0 { self.asked / self.nominal } else { 1.0 };
        self.nominal_level_per_s = self.max_min_level(share);
        self.level_per_s = self.max_min_level(share * correction.clamp(MIN_CORRECTION, MAX_CORRECTION));
    }

    /// Returns the rate that limits the largest tenants so that `share` of all requests is admitted.
    fn max_min_level(&self, share: f64) -> f64 {
        let mut rates_per_s: Vec<f64> = self.rates.values().map(|rate| rate.per_s).collect();
        rates_per_s.sort_unstable_by(f64::total_cmp);
        let mut remaining = rates_per_s.iter().sum::<f64>() * share;
        for (index, per_s) in rates_per_s.iter().enumerate() {
            let level = remaining / (rates_per_s.len() - index) as f64;
            if *per_s >= level {
                return level;
            }
            remaining -= per_s;
        }
        f64::INFINITY
    }

    /// Returns the number of tenants whose rates are measured.
    pub fn measured_tenants(&self) -> usize {
        self.rates.len()
    }
}
