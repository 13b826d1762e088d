//! Demand of one tenant on a target.

use fulmartrestle_core::Class;

use crate::{BasisPoints, SheddableShares};

/// Time constant of the smoothed rates, in microseconds. With a shorter one, random arrivals of a small
/// tenant look like changes of its demand.
const SMOOTHING_US: f64 = 400_000.0;
/// Lowest share that is published. Some calls must arrive for the demand to be measured.
const MIN_SHARE: f64 = 0.000_5;
/// Rate in calls per second below which a tenant counts as idle.
const MIN_RATE_PER_S: f64 = 0.01;

/// Demand of one tenant by class, extrapolated from the calls that ingress admission admitted.
#[derive(Debug, Default)]
pub(super) struct TenantDemand {
    weight: u32,
    lookup: ClassDemand,
    browse: ClassDemand,
}

/// Demand and admitted share of one class. The demand includes the calls that were refused at ingress.
#[derive(Debug)]
struct ClassDemand {
    offered: f64,
    offered_per_s: f64,
    admitted_share: f64,
}

impl Default for ClassDemand {
    fn default() -> Self {
        Self { offered: 0.0, offered_per_s: 0.0, admitted_share: 1.0 }
    }
}

impl TenantDemand {
    /// Counts a call of which ingress admitted the given share. It is extrapolated to the calls that were
    /// refused at ingress meanwhile.
    pub fn record_offered(&mut self, class: Class, weight: u32, ingress_share: BasisPoints) {
        self.weight = weight.max(1);
        let calls_per_admitted = ingress_share.fraction().max(MIN_SHARE).recip();
        match class {
            Class::Browse => self.browse.offered += calls_per_admitted,
            Class::Lookup | Class::Protected => self.lookup.offered += calls_per_admitted,
        }
    }

    pub fn close_window(&mut self, window_us: u64) {
        self.lookup.close_window(window_us);
        self.browse.close_window(window_us);
    }

    pub fn weight(&self) -> f64 {
        f64::from(self.weight.max(1))
    }

    /// Returns the calls per second that the tenant would send if none were refused at ingress.
    pub fn offered_per_s(&self) -> f64 {
        self.lookup.offered_per_s + self.browse.offered_per_s
    }

    pub fn is_idle(&self) -> bool {
        self.offered_per_s() < MIN_RATE_PER_S
    }

    /// Sets the shares so that `admitted_per_s` calls are admitted: lookups first, then browsing.
    pub fn set_admitted_rate(&mut self, admitted_per_s: f64) {
        let lookups_per_s = self.lookup.offered_per_s;
        self.lookup.set_admitted_rate(admitted_per_s);
        self.browse.set_admitted_rate(admitted_per_s - lookups_per_s);
    }

    pub fn shares(&self) -> SheddableShares {
        SheddableShares {
            browse: BasisPoints::from_fraction(self.browse.admitted_share),
            lookup: BasisPoints::from_fraction(self.lookup.admitted_share),
        }
    }
}

impl ClassDemand {
    fn close_window(&mut self, window_us: u64) {
        let window_us = window_us.max(1) as f64;
        let weight = 1.0 - (-window_us / SMOOTHING_US).exp();
        let window_per_s = self.offered * 1e6 / window_us;
        self.offered_per_s += (window_per_s - self.offered_per_s) * weight;
        self.offered = 0.0;
    }

    fn set_admitted_rate(&mut self, admitted_per_s: f64) {
        let share = if self.offered_per_s > 0.0 { admitted_per_s / self.offered_per_s } else { 1.0 };
        self.admitted_share = share.clamp(MIN_SHARE, 1.0);
    }
}
