//! Control of the admission level: how much of the traffic the doors upstream should let through.

use std::collections::BTreeMap;

use fulmartrestle_core::{Class, TimeUs};

use super::OfferedCall;
use super::tenant_demand::TenantDemand;
use crate::{AdmissionLevel, BasisPoints, MAX_TENANT_SHARES, SheddableShares, TenantHash, TenantShares};

/// How often shares are adapted. It must be longer than the way of a level to the doors and back, or
/// one overload is answered twice.
const WINDOW_US: u64 = 100_000;
/// Time constant of the smoothed rate of served calls, in microseconds.
const SMOOTHING_US: f64 = 400_000.0;
/// Rate let through as a multiple of the served rate, for an empty and for a full queue. A little
/// more than is served keeps the queue in use; a full queue has to shrink.
const EMPTY_QUEUE_FACTOR: f64 = 1.08;
const FULL_QUEUE_FACTOR: f64 = 0.92;
/// Growth of the rate let through in the first window without any queueing; it doubles with each
/// further one.
const IDLE_GROWTH: f64 = 0.1;
/// Most doublings of the growth.
const MAX_DOUBLINGS: u32 = 4;
/// Queue in use on average below which a window counts as one without queueing.
const IDLE_QUEUE_FILL: f64 = 0.05;
/// Lowest rate let through as a part of the served rate. The doors follow the mean of a service's
/// targets, so that one target alone can't lower its own traffic much.
const LEAST_SERVED_PART: f64 = 0.8;
/// Lowest rate let through, in calls per second, from which it can grow again soon.
const LEAST_RATE_PER_S: f64 = 5.0;
/// How long no call of a lower class may have been offered before protected calls are cut.
const QUIET_BEFORE_PROTECTED_US: u64 = 500_000;
/// Growth of the share of protected calls in one window.
const PROTECTED_GROWTH: f64 = 1.2;
/// A share of protected calls starts again with this.
const LEAST_PROTECTED_SHARE: f64 = 0.01;
/// Bounds of the advice when to come back, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 200.0;
const MAX_RETRY_AFTER_MS: f64 = 5_000.0;

/// Finds the rate of calls that the doors should let through, and divides it between the tenants.
///
/// While calls are shed, the rate follows what the target serves; otherwise it grows. It is divided
/// by weighted max-min fairness: a tenant that asks for less than its fair share is let through
/// whole, and the others share what is left by their weights.
#[derive(Debug)]
pub(super) struct LevelControl {
    tenants: BTreeMap<TenantHash, TenantDemand>,
    /// Calls per second that may come through; `None` while nothing needs to be cut.
    rate_per_s: Option<f64>,
    served_per_s: f64,
    protected_share: f64,
    window: Window,
    last_sheddable: TimeUs,
    idle_windows: u32,
    level: AdmissionLevel,
}

#[derive(Debug, Default)]
struct Window {
    start: TimeUs,
    offered: u32,
    offered_protected: u32,
    served: u32,
    shed: u32,
    shed_protected: u32,
    queue_fill_sum: f64,
}

impl LevelControl {
    pub fn new() -> Self {
        Self {
            tenants: BTreeMap::new(),
            rate_per_s: None,
            served_per_s: 0.0,
            protected_share: 1.0,
            window: Window::default(),
            last_sheddable: TimeUs::default(),
            idle_windows: 0,
            level: AdmissionLevel::default(),
        }
    }

    /// Counts an offered call; `queue_fill` is the part of the queue that is in use.
    pub fn offered(&mut self, offer: &OfferedCall, tenant: TenantHash, queue_fill: f64, now: TimeUs) {
        self.adapt(now);
        self.window.offered += 1;
        self.window.queue_fill_sum += queue_fill;
        if offer.class == Class::Protected {
            self.window.offered_protected += 1;
            return;
        }
        self.last_sheddable = now;
        let demand = self.tenants.entry(tenant).or_default();
        demand.offered(offer.class, offer.weight, offer.ingress_share);
    }

    /// Counts a call that was handed to the target.
    pub fn served(&mut self, class: Class, now: TimeUs) {
        self.adapt(now);
        if class != Class::Protected {
            self.window.served += 1;
        }
    }

    /// Counts a call that was shed.
    pub fn shed(&mut self, class: Class, now: TimeUs) {
        self.adapt(now);
        self.window.shed += 1;
        if class == Class::Protected {
            self.window.shed_protected += 1;
        }
    }

    pub fn level(&mut self, now: TimeUs) -> AdmissionLevel {
        self.adapt(now);
        self.level
    }

    /// Advises a refused caller when to come back: the lower its share, the later.
    pub fn retry_after_ms(&self, class: Class, tenant: TenantHash) -> u64 {
        let share = self.level.admitted_share(class, tenant).fraction();
        (MIN_RETRY_AFTER_MS / share.max(f64::EPSILON)).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) as u64
    }

    fn adapt(&mut self, now: TimeUs) {
        let age_us = now.us_since(self.window.start);
        if age_us < WINDOW_US {
            return;
        }
        let window = std::mem::take(&mut self.window);
        self.window.start = now;
        self.learn_rates(&window, age_us);
        self.adapt_rate(&window, age_us);
        self.adapt_protected(&window, now);
        self.divide();
        self.publish(&window, age_us);
        self.tenants.retain(|_, tenant| !tenant.is_idle());
    }

    fn learn_rates(&mut self, window: &Window, age_us: u64) {
        let weight = 1.0 - (-(age_us as f64) / SMOOTHING_US).exp();
        let served_per_s = f64::from(window.served) * 1e6 / age_us as f64;
        self.served_per_s += (served_per_s - self.served_per_s) * weight;
        for tenant in self.tenants.values_mut() {
            tenant.close_window(age_us);
        }
    }

    fn adapt_rate(&mut self, window: &Window, age_us: u64) {
        let queue_fill = window.queue_fill_sum / f64::from(window.offered.max(1));
        let factor = EMPTY_QUEUE_FACTOR - (EMPTY_QUEUE_FACTOR - FULL_QUEUE_FACTOR) * queue_fill.min(1.0);
        if window.shed > 0 {
            self.idle_windows = 0;
            let followed = self.served_per_s * factor;
            self.rate_per_s = Some(self.rate_per_s.map_or(followed, |rate_per_s| rate_per_s.min(followed)));
        } else if queue_fill > IDLE_QUEUE_FILL {
            self.idle_windows = 0;
            self.rate_per_s = self.rate_per_s.map(|rate_per_s| rate_per_s * factor);
        } else {
            let windows = (age_us / WINDOW_US).min(u64::from(MAX_DOUBLINGS)) as u32;
            let growth = IDLE_GROWTH * f64::from(1 << self.idle_windows.min(MAX_DOUBLINGS));
            self.idle_windows += windows;
            self.rate_per_s = self.rate_per_s.map(|rate_per_s| rate_per_s * (1.0 + growth).powi(windows as i32));
        }
        let lowest = LEAST_RATE_PER_S.max(self.served_per_s * LEAST_SERVED_PART);
        self.rate_per_s = self.rate_per_s.map(|rate_per_s| rate_per_s.max(lowest));
    }

    fn adapt_protected(&mut self, window: &Window, now: TimeUs) {
        let only_protected = now.us_since(self.last_sheddable) >= QUIET_BEFORE_PROTECTED_US;
        if window.shed_protected == 0 {
            self.protected_share = (self.protected_share * PROTECTED_GROWTH).clamp(LEAST_PROTECTED_SHARE, 1.0);
        } else if only_protected {
            self.protected_share *= 1.0 - f64::from(window.shed_protected) / f64::from(window.offered_protected.max(1));
            self.protected_share = self.protected_share.max(LEAST_PROTECTED_SHARE);
        }
    }

    /// Divides the rate between the tenants, the least demand for its weight first.
    fn divide(&mut self) {
        let demand_per_s: f64 = self.tenants.values().map(TenantDemand::per_s).sum();
        if self.rate_per_s.is_some_and(|rate_per_s| rate_per_s >= demand_per_s) {
            self.rate_per_s = None;
        }
        let fair_per_s = self.rate_per_s.map_or(f64::INFINITY, |rate_per_s| self.fair_per_weight(rate_per_s));
        for tenant in self.tenants.values_mut() {
            tenant.allow(fair_per_s * tenant.weight());
        }
    }

    /// Returns the calls per second for each unit of weight, so that the sum over all tenants is
    /// `rate_per_s`.
    fn fair_per_weight(&self, rate_per_s: f64) -> f64 {
        let mut rows: Vec<(f64, f64)> =
            self.tenants.values().map(|tenant| (tenant.per_s() / tenant.weight(), tenant.weight())).collect();
        rows.sort_unstable_by(|left, right| left.0.total_cmp(&right.0));
        let mut left_per_s = rate_per_s;
        let mut left_weight: f64 = rows.iter().map(|(_, weight)| weight).sum();
        for (per_weight, weight) in rows {
            let fair_per_s = left_per_s / left_weight;
            if per_weight > fair_per_s {
                return fair_per_s;
            }
            left_per_s -= per_weight * weight;
            left_weight -= weight;
        }
        f64::INFINITY
    }

    /// Writes the level. Tenants that aren't listed share the mean of their shares.
    fn publish(&mut self, window: &Window, age_us: u64) {
        let mut rows: Vec<_> = self.tenants.iter().map(|(tenant, row)| (row.shares(), *tenant, row.per_s())).collect();
        rows.retain(|(shares, ..)| *shares != SheddableShares::default());
        rows.sort_unstable_by_key(|(shares, tenant, _)| (shares.lookup, shares.browse, *tenant));
        let mut level =
            AdmissionLevel { protected: BasisPoints::from_fraction(self.protected_share), ..AdmissionLevel::default() };
        for (entry, (shares, tenant, _)) in level.tenants.iter_mut().zip(&rows) {
            *entry = TenantShares { tenant: *tenant, shares: *shares };
        }
        if rows.len() > MAX_TENANT_SHARES {
            level.common = mean_shares(rows[MAX_TENANT_SHARES..].iter().map(|(shares, _, per_s)| (*shares, *per_s)));
        }
        level.offered_per_s = (u64::from(window.offered) * 1_000_000 / age_us.max(1)) as u32;
        self.level = level;
    }
}

fn mean_shares(shares: impl Iterator<Item = (SheddableShares, f64)>) -> SheddableShares {
    let (weight, browse, lookup) = shares.fold((0.0, 0.0, 0.0), |(weight, browse, lookup), (shares, part)| {
        (weight + part, browse + part * shares.browse.fraction(), lookup + part * shares.lookup.fraction())
    });
    SheddableShares {
        browse: BasisPoints::from_fraction(browse / weight),
        lookup: BasisPoints::from_fraction(lookup / weight),
    }
}
