//! Which share of each route's requests may enter. See `docs/ADMISSION.md`.
//!
//! Load pattern: a service deep in the call chain has less capacity than the routes that lead to it ask
//! for. A call that is refused there wastes the work above it, so requests are refused where they enter: the
//! least urgent routes first, by what the service lacks. What they ask for is their number at the entries
//! times what one costs. A zone that is cut off sees only the targets and the entries that it reaches.

use std::collections::HashMap;

use fulmartrestle_core::{RouteId, Service, TimeUs, VmId};

use crate::route_costs::RouteCosts;
use crate::{DemandReport, Rank, RouteArrivals};

/// Reports older than this don't count, in milliseconds: two lost messages and some delay.
const REPORT_VALID_MS: u64 = 2_600;

/// Least share of a route that is let in. Without any, its cost could not be measured any more.
const LEAST_SHARE: f64 = 0.02;

/// Share of its rank's demand below which a route passes. Refusing it would free next to nothing, and calls
/// that are taken for the wrong route's would cost a route that does not use the service at all.
const MINOR_SHARE: f64 = 0.15;

/// Bounds of the correction of costs. Rates at the entries lead what arrives below by up to a second, so that
/// a surge makes costs look lower than they are.
const LEAST_CORRECTION: f64 = 0.7;
const MOST_CORRECTION: f64 = 3.0;

/// Pause between two calculations of the shares, in milliseconds; reports come once a second and on change.
const RECALCULATION_MS: u64 = 100;

const MILLI: f64 = 1e3;

/// What one node says about its target and its entry.
#[derive(Debug)]
struct Report {
    target: Option<DemandReport>,
    arrivals: Vec<RouteArrivals>,
    heard: TimeUs,
}

/// Shares of routes, from what the nodes report.
#[derive(Debug, Default)]
pub struct CapacityAdmission {
    reports: HashMap<VmId, Report>,
    costs: RouteCosts,
    shares: HashMap<(RouteId, Rank), f64>,
    calculated: Option<TimeUs>,
}

/// What the entries report together, in requests a second.
#[derive(Debug, Default)]
struct Entries {
    asked: HashMap<(RouteId, Rank), f64>,
    admitted: HashMap<RouteId, f64>,
}

/// What the targets of one service report together, in slots.
#[derive(Debug, Default)]
struct ServiceUse {
    capacity: f64,
    used: HashMap<RouteId, f64>,
}

impl CapacityAdmission {
    /// Takes a node's report of its target, if it has one that takes calls, and of its entry.
    pub fn record_report(
        &mut self,
        node: VmId,
        target: Option<DemandReport>,
        arrivals: Vec<RouteArrivals>,
        now: TimeUs,
    ) {
        self.reports.insert(node, Report { target, arrivals, heard: now });
    }

    /// Forgets a node.
    pub fn remove(&mut self, node: VmId) {
        self.reports.remove(&node);
    }

    /// Returns the share of a route's requests that may enter.
    pub fn admitted_share(&mut self, route: &RouteId, rank: Rank, now: TimeUs) -> f64 {
        if self.calculated.is_none_or(|calculated| now.ms_since(calculated) >= RECALCULATION_MS) {
            self.calculate(now);
        }
        self.shares.get(&(route.clone(), rank)).copied().unwrap_or(1.0)
    }

    fn calculate(&mut self, now: TimeUs) {
        let elapsed_ms = self.calculated.map_or(RECALCULATION_MS, |calculated| now.ms_since(calculated));
        self.calculated = Some(now);
        self.reports.retain(|_, report| now.ms_since(report.heard) < REPORT_VALID_MS);
        let entries = self.entries();
        let services = self.services();
        self.learn(&services, &entries, elapsed_ms.min(REPORT_VALID_MS) as f64 / MILLI);
        self.shares.clear();
        for (name, service) in &services {
            let correction = self.cost_correction(name, service, &entries);
            let demand = |((route, rank), asked): (&(RouteId, Rank), &f64)| {
                ((route.clone(), *rank), asked * self.costs.cost(name, route) * correction)
            };
            let demand: HashMap<_, _> = entries.asked.iter().map(demand).collect();
            for (route, share) in shares(service.capacity, &demand) {
                let lowest = self.shares.entry(route).or_insert(1.0);
                *lowest = lowest.min(share);
            }
        }
    }

    fn entries(&self) -> Entries {
        let mut entries = Entries::default();
        for row in self.reports.values().flat_map(|report| &report.arrivals) {
            let key = (row.route.clone(), row.rank);
            *entries.asked.entry(key).or_default() += f64::from(row.offered_milli) / MILLI;
            *entries.admitted.entry(row.route.clone()).or_default() += f64::from(row.admitted_milli) / MILLI;
        }
        entries
    }

    fn services(&self) -> HashMap<Service, ServiceUse> {
        let mut services: HashMap<Service, ServiceUse> = HashMap::new();
        for target in self.reports.values().filter_map(|report| report.target.as_ref()) {
            let service = services.entry(target.service.clone()).or_default();
            service.capacity += f64::from(target.capacity_milli) / MILLI;
            for route in &target.routes {
                *service.used.entry(route.route.clone()).or_default() += f64::from(route.slots_milli) / MILLI;
            }
        }
        services
    }

    /// Returns by how much requests cost more at a service just now than they did over the last seconds. Costs
    /// fall while calls fail, because the calls after a failed one are not made, and rise at once afterwards.
    fn cost_correction(&self, name: &Service, service: &ServiceUse, entries: &Entries) -> f64 {
        let cost_of = |(route, per_s): (&RouteId, &f64)| per_s * self.costs.cost(name, route);
        let expected: f64 = entries.admitted.iter().map(cost_of).sum();
        let used: f64 = service.used.values().sum();
        if expected <= 0.0 { 1.0 } else { (used / expected).clamp(LEAST_CORRECTION, MOST_CORRECTION) }
    }

    fn learn(&mut self, services: &HashMap<Service, ServiceUse>, entries: &Entries, elapsed_s: f64) {
        for (name, service) in services {
            for (route, admitted_per_s) in &entries.admitted {
                let slots = service.used.get(route).copied().unwrap_or_default();
                self.costs.record_usage(name, route, slots, *admitted_per_s, elapsed_s);
            }
        }
    }
}

/// Gives a capacity to the most urgent routes first. Routes of one rank get the same share, apart from those
/// that hardly use the service.
fn shares(capacity: f64, demand: &HashMap<(RouteId, Rank), f64>) -> Vec<((RouteId, Rank), f64)> {
    let mut ranks: Vec<Rank> = demand.keys().map(|(_, rank)| *rank).collect();
    ranks.sort_unstable();
    ranks.dedup();
    let mut left = capacity;
    let mut shares = Vec::new();
    for rank in ranks {
        let of_rank = demand.iter().filter(|((_, other), _)| *other == rank);
        let total: f64 = of_rank.clone().map(|(_, demand)| demand).sum();
        let is_minor = |route_demand: f64| route_demand < total * MINOR_SHARE;
        let minor: f64 = of_rank.clone().map(|(_, demand)| *demand).filter(|demand| is_minor(*demand)).sum();
        let (major, left_for_major) = (total - minor, (left - minor).max(0.0));
        let share = if major > left_for_major { (left_for_major / major).max(LEAST_SHARE) } else { 1.0 };
        left = (left - total).max(0.0);
        let share_of = |route_demand: f64| if is_minor(route_demand) { 1.0 } else { share };
        shares.extend(of_rank.map(|(route, demand)| (route.clone(), share_of(*demand))));
    }
    shares
}
