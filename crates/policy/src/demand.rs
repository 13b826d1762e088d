//! Demand of each route's admitted requests on one target, in slots. See `docs/ADMISSION.md`.
//!
//! Load pattern: demand exceeds a target's slots for many seconds, and most of it arrives as calls of
//! requests that entered at other nodes. The number of running calls does not show the demand then, because
//! it never exceeds the slots. Arrivals are counted instead, weighted by the time that calls of their route
//! usually hold a slot.

mod capacity_correction;
mod processor_limit;

use fulmartrestle_core::{RouteId, Service, TimeUs};
use fulmartrestle_derive::record;
use rustc_hash::FxHashMap;

use crate::Rank;

use capacity_correction::CapacityCorrection;
use processor_limit::ProcessorLimit;

pub use processor_limit::ProcessorWork;

/// Length of the windows in which arrivals are counted, in microseconds.
pub(crate) const WINDOW_US: u64 = 200_000;

/// Time constant of the smoothed demand, in microseconds. Calls arrive in bursts of several, and with a
/// shorter one a burst looks like a surge.
pub(crate) const SMOOTHING_US: f64 = 300_000.0;

/// Weight of a new hold time in a route's running mean.
const HOLD_TIME_WEIGHT: f64 = 0.03;

/// Demand in slots below which a route is not reported.
const MIN_REPORTED_SLOTS: f64 = 0.02;

/// Maximum number of routes in one report, those with the highest demand; a report must fit into a
/// datagram.
pub(crate) const MAX_ROUTES: usize = 16;

/// Share of the slots that demand may fill. Above it, random arrivals wait long.
const MAX_DEMAND_LOAD: f64 = 0.92;

/// Share of the slots in use from which on a target counts as full. The slots in use do not show the demand
/// then.
const FULL_LOAD: f64 = 0.9;

const MILLI: f64 = 1e3;

/// Route and rank of the external request that a call serves.
#[record]
pub struct Origin {
    /// Route on which the request entered.
    pub route: RouteId,
    /// Rank of the request.
    pub rank: Rank,
}

/// Demand of the admitted requests of one route on a target.
#[record]
pub struct RouteDemand {
    /// Route on which the requests entered.
    pub route: RouteId,
    /// Demand in thousandths of slots.
    pub slots_milli: u32,
}

/// Demand on a target and its capacity.
#[record]
pub struct DemandReport {
    /// Service that the target provides.
    pub service: Service,
    /// Capacity in thousandths of slots.
    pub capacity_milli: u32,
    /// Mean time for which a call holds its slot, in microseconds; zero if it is unknown.
    pub hold_us: u32,
    /// Demand by route.
    pub routes: Vec<RouteDemand>,
}

impl DemandReport {
    /// Returns the demand as a fraction of the capacity.
    pub fn load(&self) -> f64 {
        let demand: u64 = self.routes.iter().map(|route| u64::from(route.slots_milli)).sum();
        demand as f64 / f64::from(self.capacity_milli.max(1))
    }
}

impl std::fmt::Display for DemandReport {
    /// Writes the demand of each route and the capacity, in thousandths of slots.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for route in &self.routes {
            write!(formatter, "{}={} ", route.route, route.slots_milli)?;
        }
        write!(formatter, "of {}", self.capacity_milli)
    }
}

#[derive(Debug, Default)]
struct SmoothedSlots {
    hold_sum_us: f64,
    slots: f64,
}

impl SmoothedSlots {
    fn close_window(&mut self, elapsed_us: f64, weight: f64) {
        self.slots += (self.hold_sum_us / elapsed_us - self.slots) * weight;
        self.hold_sum_us = 0.0;
    }
}

/// Measures the demand on one target.
#[derive(Debug, Default)]
pub struct DemandMeter {
    mean_hold_us: FxHashMap<RouteId, f64>,
    route_slots: FxHashMap<RouteId, SmoothedSlots>,
    window_started: TimeUs,
    capacity_correction: CapacityCorrection,
    processor_limit: ProcessorLimit,
    /// What the node has done by now.
    processor_work: ProcessorWork,
    /// Slots that the admitted calls should use by the mean hold times, and slots that are in use.
    expected_slots: SmoothedSlots,
    used_slots: f64,
}

impl DemandMeter {
    /// Counts a call on `route` that serves an external request. Only first attempts are counted: a call
    /// that another target refused is part of the demand already.
    pub fn record_arrival(&mut self, route: &RouteId, origin: &Origin) {
        let hold_us = self.mean_hold_us.get(route).copied().unwrap_or_default();
        let route_slots = self.route_slots.entry(origin.route.clone()).or_default();
        route_slots.hold_sum_us += hold_us;
        self.expected_slots.hold_sum_us += hold_us;
    }

    /// Updates the mean hold time of `route` with a call that held its slot for `hold_us` microseconds.
    pub fn record_hold_time(&mut self, route: &RouteId, hold_us: u64) {
        let hold_us = hold_us as f64;
        match self.mean_hold_us.get_mut(route) {
            Some(mean_us) => *mean_us += (hold_us - *mean_us) * HOLD_TIME_WEIGHT,
            None => {
                self.mean_hold_us.insert(route.clone(), hold_us);
            }
        }
    }

    /// Sets what the node has done with its processor since it started.
    pub fn set_processor_work(&mut self, work: ProcessorWork) {
        self.processor_work = work;
    }

    /// Returns the part of the present demand that the processor of the node can carry; `None` while it is not limited.
    pub fn sustainable_share(&self) -> Option<f64> {
        self.processor_limit.sustainable_share()
    }

    /// Closes the window if it has elapsed, and returns whether it had.
    pub fn close_elapsed_window(&mut self, limit: u32, running: u32, waiting: u32, now: TimeUs) -> bool {
        let elapsed_us = now.us_since(self.window_started);
        if elapsed_us < WINDOW_US {
            return false;
        }
        self.window_started = now;
        let weight = 1.0 - (-(elapsed_us as f64) / SMOOTHING_US).exp();
        self.route_slots.values_mut().for_each(|smoothed| smoothed.close_window(elapsed_us as f64, weight));
        self.expected_slots.close_window(elapsed_us as f64, weight);
        self.processor_limit.close_window(self.processor_work, elapsed_us as f64, weight);
        self.used_slots += (f64::from(running + waiting) - self.used_slots) * weight;
        self.route_slots.retain(|_, smoothed| smoothed.slots >= MIN_REPORTED_SLOTS / 10.0);
        let demand: f64 = self.route_slots.values().map(|smoothed| smoothed.slots).sum();
        let demand_load = demand * self.hold_time_ratio(limit) / self.capacity(limit);
        self.capacity_correction.update(demand_load, f64::from(waiting) / f64::from(limit));
        true
    }

    fn capacity(&self, limit: u32) -> f64 {
        f64::from(limit) * MAX_DEMAND_LOAD * self.capacity_correction.factor()
    }

    /// Returns the ratio of present to usual hold times, at most 1. Calls that wait for child calls hold
    /// their slots for long while a downstream service is overloaded, and for a short time as soon as it is
    /// not; the slots in use show this at once, as long as the target itself is not full.
    fn hold_time_ratio(&self, limit: u32) -> f64 {
        if self.used_slots >= f64::from(limit) * FULL_LOAD || self.expected_slots.slots <= 0.0 {
            return 1.0;
        }
        (self.used_slots / self.expected_slots.slots).min(1.0)
    }

    /// Returns the demand on a target with `limit` slots, and its capacity. `hold_us` is the mean time for which a call holds
    /// its slot.
    pub fn report(&self, service: &Service, limit: u32, hold_us: u32) -> DemandReport {
        let hold_time_ratio = self.hold_time_ratio(limit);
        let to_route_demand = |(route, smoothed): (&RouteId, &SmoothedSlots)| RouteDemand {
            route: route.clone(),
            slots_milli: (smoothed.slots * hold_time_ratio * MILLI) as u32,
        };
        let mut routes: Vec<_> = self
            .route_slots
            .iter()
            .filter(|(_, smoothed)| smoothed.slots >= MIN_REPORTED_SLOTS)
            .map(to_route_demand)
            .collect();
        routes.sort_by_key(|route| std::cmp::Reverse(route.slots_milli));
        routes.truncate(MAX_ROUTES);
        let demand: f64 = self.route_slots.values().map(|smoothed| smoothed.slots).sum();
        let sustainable = self.sustainable_share().map(|share| share * demand * hold_time_ratio);
        let capacity = self.capacity(limit).min(sustainable.unwrap_or(f64::INFINITY));
        let capacity_milli = (capacity * MILLI) as u32;
        DemandReport { service: service.clone(), capacity_milli, hold_us, routes }
    }
}
