//! Share of each route's requests that is admitted at ingress. See `docs/ADMISSION.md`.
//!
//! Load pattern: a service deep in the call chain has less capacity than the demand of the routes that lead
//! to it. A call that is refused there wastes the work done upstream, so requests are refused at ingress:
//! those of the least urgent routes first, as many as exceed the capacity. The demand of a route is its
//! request rate at the ingress nodes times the cost of one request. A partitioned zone uses only the
//! targets and the ingress nodes that it can reach.

mod allocation;

use fulmartrestle_core::{RouteId, Service, TimeUs, VmId};
use rustc_hash::FxHashMap;

use crate::route_costs::{AdmittedDemand, HoldTime, RouteCosts};
use crate::{DemandReport, Rank, RouteArrivals};

pub use allocation::BindingService;
use allocation::{Flow, FlowShare, ServiceRoom};

/// Age in milliseconds from which on a report is ignored: two lost messages and some delay.
const REPORT_VALID_MS: u64 = 2_600;

/// Admitted share of a route's requests below which its costs count as restricted. Calls that are attributed to the wrong
/// route do not become fewer when its requests are shed, and would count many times.
const MIN_MEASURED_SHARE: f64 = 0.2;

/// Bounds of the correction of costs. Rates at ingress lead the arrivals at the services by up to a second,
/// so that costs seem lower than they are during a surge. The lower bound does not apply to what calls have become shorter.
const MIN_COST_CORRECTION: f64 = 0.7;
const MAX_COST_CORRECTION: f64 = 3.0;

/// Interval between calculations of the shares, in milliseconds; reports arrive once a second and on
/// change.
const RECALCULATION_INTERVAL_MS: u64 = 100;

const MILLI: f64 = 1e3;
const US_PER_S: f64 = 1e6;

/// Latest report of one node about its target and its ingress.
#[derive(Debug)]
struct NodeReport {
    target: Option<DemandReport>,
    arrivals: Vec<RouteArrivals>,
    received_at: TimeUs,
}

/// Calculates the admitted share of each route from the reports of all nodes.
#[derive(Debug, Default)]
pub struct CapacityAdmission {
    reports: FxHashMap<VmId, NodeReport>,
    costs: RouteCosts,
    shares: FxHashMap<Flow, FlowShare>,
    calculated_at: Option<TimeUs>,
    hold_times: FxHashMap<Service, HoldTime>,
}

/// Request rates summed over all ingress nodes, in requests per second.
#[derive(Debug, Default)]
struct IngressRates {
    offered_per_s: FxHashMap<Flow, f64>,
    admitted_per_s: FxHashMap<RouteId, f64>,
}

impl IngressRates {
    /// Returns whether so many requests of a route are admitted that their costs can be measured.
    fn is_measurable(&self, route: &RouteId, admitted_per_s: f64) -> bool {
        let offered = self.offered_per_s.iter().filter(|((other, _), _)| other == route);
        admitted_per_s >= offered.map(|(_, per_s)| per_s).sum::<f64>() * MIN_MEASURED_SHARE
    }
}

/// Capacity, and demand of the admitted requests by route, summed over the targets of one service, in slots.
#[derive(Debug, Default)]
struct ServiceDemand {
    capacity_slots: f64,
    demand_slots: FxHashMap<RouteId, f64>,
    /// Sums over the targets whose hold time is known: of the slots in demand, and of these divided by the hold time.
    timed_slots: f64,
    calls_per_s: f64,
}

impl ServiceDemand {
    fn add(&mut self, target: &DemandReport) {
        self.capacity_slots += f64::from(target.capacity_milli) / MILLI;
        let mut slots = 0.0;
        for route in &target.routes {
            let of_route = f64::from(route.slots_milli) / MILLI;
            *self.demand_slots.entry(route.route.clone()).or_default() += of_route;
            slots += of_route;
        }
        if target.hold_us > 0 {
            self.timed_slots += slots;
            self.calls_per_s += slots * US_PER_S / f64::from(target.hold_us);
        }
    }

    /// Returns the mean time for which a call holds its slot, in seconds; `None` without calls.
    fn hold_s(&self) -> Option<f64> {
        (self.calls_per_s > 0.0).then(|| self.timed_slots / self.calls_per_s)
    }
}

impl CapacityAdmission {
    /// Stores the latest report of a node. `target` is `None` if the node has no target that accepts calls.
    pub fn record_report(
        &mut self,
        node: VmId,
        target: Option<DemandReport>,
        arrivals: Vec<RouteArrivals>,
        now: TimeUs,
    ) {
        self.reports.insert(node, NodeReport { target, arrivals, received_at: now });
    }

    /// Removes the report of a node.
    pub fn remove(&mut self, node: VmId) {
        self.reports.remove(&node);
    }

    /// Returns the share of a route's requests that is admitted.
    pub fn admitted_share(&mut self, route: &RouteId, rank: Rank, now: TimeUs) -> f64 {
        if self.calculated_at.is_none_or(|calculated_at| now.ms_since(calculated_at) >= RECALCULATION_INTERVAL_MS) {
            self.recalculate_shares(now);
        }
        self.shares.get(&(route.clone(), rank)).map_or(1.0, |admitted| admitted.share)
    }

    /// Returns the service that limits a route's requests at the last calculation of the shares; `None` if none does.
    pub fn binding_service(&self, route: &RouteId, rank: Rank) -> Option<&BindingService> {
        self.shares.get(&(route.clone(), rank))?.bound_by.as_ref()
    }

    fn recalculate_shares(&mut self, now: TimeUs) {
        let elapsed_ms =
            self.calculated_at.map_or(RECALCULATION_INTERVAL_MS, |calculated_at| now.ms_since(calculated_at));
        self.calculated_at = Some(now);
        self.reports.retain(|_, report| now.ms_since(report.received_at) < REPORT_VALID_MS);
        let ingress = self.ingress_rates();
        let services = self.demand_by_service();
        let elapsed_ms = elapsed_ms.min(REPORT_VALID_MS);
        self.record_costs(&services, &ingress, elapsed_ms as f64 / MILLI);
        for (service, hold_s) in services.iter().filter_map(|(service, reported)| Some((service, reported.hold_s()?))) {
            self.hold_times.entry(service.clone()).or_default().record(hold_s, elapsed_ms as f64 / MILLI);
        }
        self.shares.clear();
        for (service, reported) in &services {
            let correction = self.cost_correction(service, reported, &ingress);
            let demand = |(flow, offered_per_s): (&Flow, &f64)| {
                (flow.clone(), offered_per_s * self.costs.cost(service, &flow.0) * correction)
            };
            let demand_slots = ingress.offered_per_s.iter().map(demand).collect();
            let room = ServiceRoom { service: service.clone(), capacity_slots: reported.capacity_slots, demand_slots };
            for (flow, admitted) in room.allocate() {
                let lowest = self.shares.entry(flow).or_insert(FlowShare::UNLIMITED);
                if admitted.share < lowest.share {
                    *lowest = admitted;
                }
            }
        }
    }

    fn ingress_rates(&self) -> IngressRates {
        let mut ingress = IngressRates::default();
        for arrivals in self.reports.values().flat_map(|report| &report.arrivals) {
            let key = (arrivals.route.clone(), arrivals.rank);
            *ingress.offered_per_s.entry(key).or_default() += f64::from(arrivals.offered_milli) / MILLI;
            *ingress.admitted_per_s.entry(arrivals.route.clone()).or_default() +=
                f64::from(arrivals.admitted_milli) / MILLI;
        }
        ingress
    }

    fn demand_by_service(&self) -> FxHashMap<Service, ServiceDemand> {
        let mut services: FxHashMap<Service, ServiceDemand> = FxHashMap::default();
        for target in self.reports.values().filter_map(|report| report.target.as_ref()) {
            services.entry(target.service.clone()).or_default().add(target);
        }
        services
    }

    /// Returns the ratio of the present cost of requests at a service to their mean cost over the last
    /// seconds. Costs fall while calls fail, because the calls after a failed one are not made, and rise at
    /// once afterwards.
    fn cost_correction(&self, service: &Service, reported: &ServiceDemand, ingress: &IngressRates) -> f64 {
        let cost_of = |(route, per_s): (&RouteId, &f64)| per_s * self.costs.cost(service, route);
        let expected: f64 = ingress.admitted_per_s.iter().map(cost_of).sum();
        let demand_slots: f64 = reported.demand_slots.values().sum();
        if expected <= 0.0 {
            return 1.0;
        }
        let hold_time = self.hold_times.get(service).zip(reported.hold_s());
        let shortening = hold_time.map_or(1.0, |(usual, hold_s)| usual.shortening(hold_s));
        (demand_slots / expected).clamp(MIN_COST_CORRECTION.min(shortening), MAX_COST_CORRECTION)
    }

    fn record_costs(&mut self, services: &FxHashMap<Service, ServiceDemand>, ingress: &IngressRates, elapsed_s: f64) {
        for (service, reported) in services {
            for (route, admitted_per_s) in &ingress.admitted_per_s {
                let demand = AdmittedDemand {
                    slots: reported.demand_slots.get(route).copied().unwrap_or_default(),
                    admitted_per_s: *admitted_per_s,
                    is_restricted: !ingress.is_measurable(route, *admitted_per_s),
                };
                self.costs.record_demand(service, route, demand, elapsed_s);
            }
        }
    }
}
