//! Which share of each route's requests may enter. See `docs/ADMISSION.md`.
//!
//! Load pattern: a service deep in the call chain has less capacity than the routes that lead to it ask
//! for. A call that is refused there wastes the work above it, so requests are turned away where they
//! enter: the least urgent routes first, by what the service lacks. A zone that is cut off sees only the
//! targets that it reaches, and their demand.

use std::collections::HashMap;

use fulmartrestle_core::{RouteId, Service, TimeUs, VmId};

use crate::{DemandReport, Rank};

/// Reports older than this don't count, in milliseconds: two lost messages and some delay.
const REPORT_VALID_MS: u64 = 2_600;

/// Least share of a route that is let in. Without any, its demand could not be measured any more.
const LEAST_SHARE: f64 = 0.02;

/// Share of its rank's demand below which a route passes. Turning it away would free next to nothing, and
/// calls that are taken for the wrong route's would cost a route that does not use the service at all.
const MINOR_SHARE: f64 = 0.15;

/// Pause between two calculations of the shares, in milliseconds.
const RECALCULATION_MS: u64 = 50;

#[derive(Debug)]
struct Report {
    demand: DemandReport,
    heard: TimeUs,
}

/// Shares of routes, from what the gates of all services report.
#[derive(Debug, Default)]
pub struct CapacityDoor {
    reports: HashMap<VmId, Report>,
    shares: HashMap<(RouteId, Rank), f64>,
    calculated: Option<TimeUs>,
}

/// The demand for one service over all targets that are known.
#[derive(Debug, Default)]
struct ServiceDemand {
    capacity: f64,
    routes: HashMap<(RouteId, Rank), f64>,
}

impl CapacityDoor {
    /// Takes a gate's report, or that it has no target.
    pub fn report(&mut self, node: VmId, demand: Option<DemandReport>, now: TimeUs) {
        match demand {
            Some(demand) => self.reports.insert(node, Report { demand, heard: now }),
            None => self.reports.remove(&node),
        };
    }

    /// Forgets a node.
    pub fn remove(&mut self, node: VmId) {
        self.reports.remove(&node);
    }

    /// Returns the share of a route's requests that may enter.
    pub fn share(&mut self, route: &RouteId, rank: Rank, now: TimeUs) -> f64 {
        if self.calculated.is_none_or(|calculated| now.ms_since(calculated) >= RECALCULATION_MS) {
            self.calculated = Some(now);
            self.calculate(now);
        }
        self.shares.get(&(route.clone(), rank)).copied().unwrap_or(1.0)
    }

    fn calculate(&mut self, now: TimeUs) {
        self.reports.retain(|_, report| now.ms_since(report.heard) < REPORT_VALID_MS);
        self.shares.clear();
        let mut services: HashMap<&Service, ServiceDemand> = HashMap::new();
        for report in self.reports.values() {
            services.entry(&report.demand.service).or_default().add(&report.demand);
        }
        for service in services.values() {
            for (route, share) in service.shares() {
                let lowest = self.shares.entry(route).or_insert(1.0);
                *lowest = lowest.min(share);
            }
        }
    }
}

impl ServiceDemand {
    fn add(&mut self, report: &DemandReport) {
        self.capacity += f64::from(report.capacity_milli);
        for route in &report.routes {
            let key = (route.route.clone(), route.rank);
            *self.routes.entry(key).or_default() += f64::from(route.slots_milli);
        }
    }

    /// Gives the capacity to the most urgent routes first. Routes of one rank get the same share, apart from
    /// those that hardly use the service.
    fn shares(&self) -> Vec<((RouteId, Rank), f64)> {
        let mut ranks: Vec<Rank> = self.routes.keys().map(|(_, rank)| *rank).collect();
        ranks.sort_unstable();
        ranks.dedup();
        let mut left = self.capacity;
        let mut shares = Vec::new();
        for rank in ranks {
            let of_rank = self.routes.iter().filter(|((_, other), _)| *other == rank);
            let demand: f64 = of_rank.clone().map(|(_, demand)| demand).sum();
            let is_minor = |route_demand: f64| route_demand < demand * MINOR_SHARE;
            let minor: f64 = of_rank.clone().map(|(_, demand)| *demand).filter(|demand| is_minor(*demand)).sum();
            let (major, left_for_major) = (demand - minor, (left - minor).max(0.0));
            let share = if major > left_for_major { (left_for_major / major).max(LEAST_SHARE) } else { 1.0 };
            left = (left - demand).max(0.0);
            let share_of = |route_demand: f64| if is_minor(route_demand) { 1.0 } else { share };
            shares.extend(of_rank.map(|(route, demand)| (route.clone(), share_of(*demand))));
        }
        shares
    }
}
