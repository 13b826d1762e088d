//! Control of the admission level: the share of the traffic that ingress nodes should admit.

use std::collections::BTreeMap;

use fulmartrestle_core::{Class, TimeUs};

use super::OfferedCall;
use super::tenant_demand::TenantDemand;
use crate::{AdmissionLevel, BasisPoints, MAX_TENANT_SHARES, SheddableShares, TenantHash, TenantShares};

/// Interval between updates of the shares. It must be longer than the round trip of a level to the ingress
/// nodes and back, or one overload is countered twice.
const UPDATE_INTERVAL_US: u64 = 100_000;
/// Time constant of the smoothed rate of served calls, in microseconds.
const SMOOTHING_US: f64 = 400_000.0;
/// Admitted rate as a multiple of the served rate, for an empty and for a full queue. Slightly more than
/// the served rate keeps the queue in use; a full queue has to shrink.
const EMPTY_QUEUE_FACTOR: f64 = 1.08;
const FULL_QUEUE_FACTOR: f64 = 0.92;
/// Relative growth of the admitted rate in the first window without queueing; it doubles with each further
/// one.
const UNQUEUED_GROWTH: f64 = 0.1;
/// Maximum number of doublings of the growth.
const MAX_GROWTH_DOUBLINGS: u32 = 4;
/// Mean queue fill below which a window counts as one without queueing.
const MAX_UNQUEUED_FILL: f64 = 0.05;
/// Lower bound of the admitted rate as a share of the served rate. Ingress nodes apply the mean over a
/// service's targets, so that one target alone can hardly lower its own traffic.
const MIN_ADMITTED_TO_SERVED_RATIO: f64 = 0.8;
/// Lower bound of the admitted rate, in calls per second, from which it can grow again soon.
const MIN_RATE_PER_S: f64 = 5.0;
/// Time without an offered call of a lower class after which protected calls are shed at ingress.
const PROTECTED_ONLY_AFTER_US: u64 = 500_000;
/// Factor by which the share of protected calls grows in one window.
const PROTECTED_GROWTH_FACTOR: f64 = 1.2;
/// Lowest share of protected calls, from which it grows again.
const MIN_PROTECTED_SHARE: f64 = 0.01;
/// Bounds of Retry-After, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 200.0;
const MAX_RETRY_AFTER_MS: f64 = 5_000.0;

/// Determines the rate of calls that ingress nodes should admit, and allocates it to the tenants.
///
/// While calls are shed, the rate follows the rate that the target serves; otherwise it grows. It is
/// allocated by weighted max-min fairness: the calls of a tenant whose demand is below its fair share are
/// all admitted, and the other tenants divide the rest by their weights.
#[derive(Debug)]
pub(super) struct RateController {
    tenants: BTreeMap<TenantHash, TenantDemand>,
    /// Calls per second to admit; `None` while no limit is needed.
    admitted_per_s: Option<f64>,
    served_per_s: f64,
    protected_share: f64,
    window: Window,
    last_sheddable_offer: TimeUs,
    unqueued_window_count: u32,
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

impl RateController {
    pub fn new() -> Self {
        Self {
            tenants: BTreeMap::new(),
            admitted_per_s: None,
            served_per_s: 0.0,
            protected_share: 1.0,
            window: Window::default(),
            last_sheddable_offer: TimeUs::default(),
            unqueued_window_count: 0,
            level: AdmissionLevel::default(),
        }
    }

    /// Counts an offered call; `queue_fill` is the share of the queue that is in use.
    pub fn record_offered(&mut self, offer: &OfferedCall, tenant: TenantHash, queue_fill: f64, now: TimeUs) {
        self.update_if_due(now);
        self.window.offered += 1;
        self.window.queue_fill_sum += queue_fill;
        if offer.class == Class::Protected {
            self.window.offered_protected += 1;
            return;
        }
        self.last_sheddable_offer = now;
        let demand = self.tenants.entry(tenant).or_default();
        demand.record_offered(offer.class, offer.weight, offer.ingress_share);
    }

    /// Counts a call that was sent to the target.
    pub fn record_served(&mut self, class: Class, now: TimeUs) {
        self.update_if_due(now);
        if class != Class::Protected {
            self.window.served += 1;
        }
    }

    /// Counts a call that was shed.
    pub fn record_shed(&mut self, class: Class, now: TimeUs) {
        self.update_if_due(now);
        self.window.shed += 1;
        if class == Class::Protected {
            self.window.shed_protected += 1;
        }
    }

    pub fn admission_level(&mut self, now: TimeUs) -> AdmissionLevel {
        self.update_if_due(now);
        self.level
    }

    /// Returns Retry-After for a refused call in milliseconds: the lower its admitted share, the longer.
    pub fn retry_after_ms(&self, class: Class, tenant: TenantHash) -> u64 {
        let share = self.level.admitted_share(class, tenant).fraction();
        (MIN_RETRY_AFTER_MS / share.max(f64::EPSILON)).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) as u64
    }

    fn update_if_due(&mut self, now: TimeUs) {
        let age_us = now.us_since(self.window.start);
        if age_us < UPDATE_INTERVAL_US {
            return;
        }
        let window = std::mem::take(&mut self.window);
        self.window.start = now;
        self.update_measured_rates(&window, age_us);
        self.update_admitted_rate(&window, age_us);
        self.update_protected_share(&window, now);
        self.allocate_to_tenants();
        self.update_level(&window, age_us);
        self.tenants.retain(|_, tenant| !tenant.is_idle());
    }

    fn update_measured_rates(&mut self, window: &Window, age_us: u64) {
        let weight = 1.0 - (-(age_us as f64) / SMOOTHING_US).exp();
        let served_per_s = f64::from(window.served) * 1e6 / age_us as f64;
        self.served_per_s += (served_per_s - self.served_per_s) * weight;
        for tenant in self.tenants.values_mut() {
            tenant.close_window(age_us);
        }
    }

    fn update_admitted_rate(&mut self, window: &Window, age_us: u64) {
        let queue_fill = window.queue_fill_sum / f64::from(window.offered.max(1));
        let factor = EMPTY_QUEUE_FACTOR - (EMPTY_QUEUE_FACTOR - FULL_QUEUE_FACTOR) * queue_fill.min(1.0);
        if window.shed > 0 {
            self.unqueued_window_count = 0;
            let sustainable_per_s = self.served_per_s * factor;
            self.admitted_per_s = Some(
                self.admitted_per_s.map_or(sustainable_per_s, |admitted_per_s| admitted_per_s.min(sustainable_per_s)),
            );
        } else if queue_fill > MAX_UNQUEUED_FILL {
            self.unqueued_window_count = 0;
            self.admitted_per_s = self.admitted_per_s.map(|admitted_per_s| admitted_per_s * factor);
        } else {
            let elapsed_windows = (age_us / UPDATE_INTERVAL_US).min(u64::from(MAX_GROWTH_DOUBLINGS)) as u32;
            let growth = UNQUEUED_GROWTH * f64::from(1 << self.unqueued_window_count.min(MAX_GROWTH_DOUBLINGS));
            self.unqueued_window_count += elapsed_windows;
            self.admitted_per_s =
                self.admitted_per_s.map(|admitted_per_s| admitted_per_s * (1.0 + growth).powi(elapsed_windows as i32));
        }
        let min_per_s = MIN_RATE_PER_S.max(self.served_per_s * MIN_ADMITTED_TO_SERVED_RATIO);
        self.admitted_per_s = self.admitted_per_s.map(|admitted_per_s| admitted_per_s.max(min_per_s));
    }

    fn update_protected_share(&mut self, window: &Window, now: TimeUs) {
        let only_protected = now.us_since(self.last_sheddable_offer) >= PROTECTED_ONLY_AFTER_US;
        if window.shed_protected == 0 {
            self.protected_share = (self.protected_share * PROTECTED_GROWTH_FACTOR).clamp(MIN_PROTECTED_SHARE, 1.0);
        } else if only_protected {
            self.protected_share *= 1.0 - f64::from(window.shed_protected) / f64::from(window.offered_protected.max(1));
            self.protected_share = self.protected_share.max(MIN_PROTECTED_SHARE);
        }
    }

    /// Allocates the rate to the tenants by weighted max-min fairness.
    fn allocate_to_tenants(&mut self) {
        let demand_per_s: f64 = self.tenants.values().map(TenantDemand::offered_per_s).sum();
        if self.admitted_per_s.is_some_and(|admitted_per_s| admitted_per_s >= demand_per_s) {
            self.admitted_per_s = None;
        }
        let fair_per_s =
            self.admitted_per_s.map_or(f64::INFINITY, |admitted_per_s| self.fair_rate_per_weight(admitted_per_s));
        for tenant in self.tenants.values_mut() {
            tenant.set_admitted_rate(fair_per_s * tenant.weight());
        }
    }

    /// Returns the fair rate per unit of weight in calls per second, for which the admitted rates of all
    /// tenants add up to `admitted_per_s`.
    fn fair_rate_per_weight(&self, admitted_per_s: f64) -> f64 {
        let mut demands: Vec<(f64, f64)> =
            self.tenants.values().map(|tenant| (tenant.offered_per_s() / tenant.weight(), tenant.weight())).collect();
        demands.sort_unstable_by(|left, right| left.0.total_cmp(&right.0));
        let mut remaining_per_s = admitted_per_s;
        let mut remaining_weight: f64 = demands.iter().map(|(_, weight)| weight).sum();
        for (per_weight, weight) in demands {
            let fair_per_s = remaining_per_s / remaining_weight;
            if per_weight > fair_per_s {
                return fair_per_s;
            }
            remaining_per_s -= per_weight * weight;
            remaining_weight -= weight;
        }
        f64::INFINITY
    }

    /// Updates the admission level. Tenants that aren't listed get the mean of their shares.
    fn update_level(&mut self, window: &Window, age_us: u64) {
        let mut shares_by_tenant: Vec<_> =
            self.tenants.iter().map(|(tenant, demand)| (demand.shares(), *tenant, demand.offered_per_s())).collect();
        shares_by_tenant.retain(|(shares, ..)| *shares != SheddableShares::default());
        shares_by_tenant.sort_unstable_by_key(|(shares, tenant, _)| (shares.lookup, shares.browse, *tenant));
        let mut level =
            AdmissionLevel { protected: BasisPoints::from_fraction(self.protected_share), ..AdmissionLevel::default() };
        for (entry, (shares, tenant, _)) in level.tenants.iter_mut().zip(&shares_by_tenant) {
            *entry = TenantShares { tenant: *tenant, shares: *shares };
        }
        if shares_by_tenant.len() > MAX_TENANT_SHARES {
            level.common =
                mean_shares(shares_by_tenant[MAX_TENANT_SHARES..].iter().map(|(shares, _, per_s)| (*shares, *per_s)));
        }
        level.offered_per_s = (u64::from(window.offered) * 1_000_000 / age_us.max(1)) as u32;
        self.level = level;
    }
}

fn mean_shares(shares: impl Iterator<Item = (SheddableShares, f64)>) -> SheddableShares {
    let (weight, browse, lookup) = shares.fold((0.0, 0.0, 0.0), |(weight, browse, lookup), (shares, tenant_per_s)| {
        (
            weight + tenant_per_s,
            browse + tenant_per_s * shares.browse.fraction(),
            lookup + tenant_per_s * shares.lookup.fraction(),
        )
    });
    SheddableShares {
        browse: BasisPoints::from_fraction(browse / weight),
        lookup: BasisPoints::from_fraction(lookup / weight),
    }
}
