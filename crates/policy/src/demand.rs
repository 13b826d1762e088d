//! What each route's admitted requests ask of one target, in slots. See `docs/ADMISSION.md`.
//!
//! Load pattern: demand exceeds a target's slots for many seconds, and most of it comes as calls of
//! requests that entered elsewhere. What runs says nothing about demand then, because it never exceeds the
//! slots; so arrivals are counted with the time that calls of their route usually hold a slot.

use std::collections::HashMap;

use fulmartrestle_core::{RouteId, Service, TimeUs};
use fulmartrestle_derive::record;

use crate::Rank;

/// Length of the spans in which arrivals are counted, in microseconds.
pub(crate) const SPAN_US: u64 = 200_000;

/// Time constant of the smoothed demand, in microseconds. Calls come in clumps of several, and shorter
/// ones take a clump for a surge.
pub(crate) const SMOOTHING_US: f64 = 300_000.0;

/// Weight of a new hold time in a route's mean.
const HOLD_WEIGHT: f64 = 0.03;

/// Demand below this is not reported, in slots.
const LEAST_SLOTS: f64 = 0.02;

/// Routes in one report, those with most demand first; a report must fit into a datagram.
pub(crate) const MAX_ROUTES: usize = 16;

/// Share of the slots that demand may fill. Above, chance arrivals wait long.
const TARGET_LOAD: f64 = 0.92;

/// Share of the slots in use from which on a target counts as full. What is in use says nothing about the
/// demand then.
const FULL_LOAD: f64 = 0.9;

/// Calls that wait, as a share of the slots, from which on the capacity is taken for lower than it seems,
/// unless what is asked exceeds it anyway.
const QUEUED_SHARE: f64 = 0.5;

/// Factors by which the capacity is corrected in each span, down while calls wait and up again.
const CORRECTION_DOWN: f64 = 0.95;
const CORRECTION_UP: f64 = 1.04;

/// Lowest correction. Waiting calls beyond it have another cause than the capacity.
const LEAST_CORRECTION: f64 = 0.6;

const MILLI: f64 = 1e3;

/// The request that a call serves: the one that entered from outside.
#[record]
pub struct Origin {
    /// Its route.
    pub route: RouteId,
    /// Its urgency.
    pub rank: Rank,
}

/// What the admitted requests of one route ask of a target.
#[record]
pub struct RouteDemand {
    /// Route of the requests that entered.
    pub route: RouteId,
    /// Thousandths of slots.
    pub slots_milli: u32,
}

/// What is asked of a target, and what it can do.
#[record]
pub struct DemandReport {
    /// The target's service.
    pub service: Service,
    /// Thousandths of slots that may be filled.
    pub capacity_milli: u32,
    /// What is asked of it by route.
    pub routes: Vec<RouteDemand>,
}

impl DemandReport {
    /// Returns what is asked of the target as a share of its capacity.
    pub fn load(&self) -> f64 {
        let demand: u64 = self.routes.iter().map(|route| u64::from(route.slots_milli)).sum();
        demand as f64 / f64::from(self.capacity_milli.max(1))
    }
}

impl std::fmt::Display for DemandReport {
    /// Writes what each route asks for and the capacity, in thousandths of slots.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for route in &self.routes {
            write!(formatter, "{}={} ", route.route, route.slots_milli)?;
        }
        write!(formatter, "of {}", self.capacity_milli)
    }
}

#[derive(Debug, Default)]
struct Smoothed {
    span_us: f64,
    slots: f64,
}

impl Smoothed {
    fn close(&mut self, elapsed_us: f64, weight: f64) {
        self.slots += (self.span_us / elapsed_us - self.slots) * weight;
        self.span_us = 0.0;
    }
}

/// Measures what is asked of one target.
#[derive(Debug)]
pub struct DemandMeter {
    holds_us: HashMap<RouteId, f64>,
    rows: HashMap<RouteId, Smoothed>,
    span_started: TimeUs,
    correction: f64,
    /// Slots that the calls which came should use, and those that they do use.
    admitted: Smoothed,
    used: f64,
}

impl Default for DemandMeter {
    fn default() -> Self {
        Self {
            holds_us: HashMap::new(),
            rows: HashMap::new(),
            span_started: TimeUs::default(),
            correction: 1.0,
            admitted: Smoothed::default(),
            used: 0.0,
        }
    }
}

impl DemandMeter {
    /// Counts a call on `route` that serves a request from outside. Only first attempts count: a call that
    /// another target refused is in the demand already.
    pub fn record_arrival(&mut self, route: &RouteId, origin: &Origin) {
        let hold_us = self.holds_us.get(route).copied().unwrap_or_default();
        self.rows.entry(origin.route.clone()).or_default().span_us += hold_us;
        self.admitted.span_us += hold_us;
    }

    /// Learns for how long a call on `route` held its slot.
    pub fn record_hold_time(&mut self, route: &RouteId, hold_us: u64) {
        let hold_us = hold_us as f64;
        match self.holds_us.get_mut(route) {
            Some(mean_us) => *mean_us += (hold_us - *mean_us) * HOLD_WEIGHT,
            None => {
                self.holds_us.insert(route.clone(), hold_us);
            }
        }
    }

    /// Closes the span when it is over. Returns whether it was.
    pub fn close_elapsed_window(&mut self, limit: u32, running: u32, waiting: u32, now: TimeUs) -> bool {
        let elapsed_us = now.us_since(self.span_started);
        if elapsed_us < SPAN_US {
            return false;
        }
        self.span_started = now;
        let weight = 1.0 - (-(elapsed_us as f64) / SMOOTHING_US).exp();
        self.rows.values_mut().for_each(|row| row.close(elapsed_us as f64, weight));
        self.admitted.close(elapsed_us as f64, weight);
        self.used += (f64::from(running + waiting) - self.used) * weight;
        self.rows.retain(|_, row| row.slots >= LEAST_SLOTS / 10.0);
        let queued = f64::from(waiting) > f64::from(limit) * QUEUED_SHARE;
        let asked: f64 = self.rows.values().map(|row| row.slots).sum();
        let seems_enough = asked * self.scale(limit) <= self.capacity(limit);
        let factor = if queued && seems_enough { CORRECTION_DOWN } else { CORRECTION_UP };
        self.correction = (self.correction * factor).clamp(LEAST_CORRECTION, 1.0);
        true
    }

    fn capacity(&self, limit: u32) -> f64 {
        f64::from(limit) * TARGET_LOAD * self.correction
    }

    /// Returns by how much calls hold their slots for a shorter time than usual. Calls that wait for others
    /// hold theirs for long while a service below is overloaded, and for a short time as soon as it is not;
    /// what is in use says so at once, as long as the target is not full itself.
    fn scale(&self, limit: u32) -> f64 {
        if self.used >= f64::from(limit) * FULL_LOAD || self.admitted.slots <= 0.0 {
            return 1.0;
        }
        (self.used / self.admitted.slots).min(1.0)
    }

    /// Returns what is asked of a target with `limit` slots, and its capacity.
    pub fn report(&self, service: &Service, limit: u32) -> DemandReport {
        let scale = self.scale(limit);
        let used = |(route, row): (&RouteId, &Smoothed)| RouteDemand {
            route: route.clone(),
            slots_milli: (row.slots * scale * MILLI) as u32,
        };
        let mut routes: Vec<_> = self.rows.iter().filter(|(_, row)| row.slots >= LEAST_SLOTS).map(used).collect();
        routes.sort_by_key(|route| std::cmp::Reverse(route.slots_milli));
        routes.truncate(MAX_ROUTES);
        let capacity_milli = (self.capacity(limit) * MILLI) as u32;
        DemandReport { service: service.clone(), capacity_milli, routes }
    }
}
