//! Division of one service's capacity among the routes that lead to it.

use fulmartrestle_core::{RouteId, Service};
use fulmartrestle_derive::local;
use rustc_hash::FxHashMap;

use crate::Rank;

/// Lowest admitted share of a route. Without any requests, its cost could no longer be measured.
const MIN_ADMITTED_SHARE: f64 = 0.02;

/// Share of its rank's demand below which a route is always admitted. Refusing it would free hardly any
/// capacity, and a few calls attributed to the wrong route would be enough to shed requests of a route that
/// does not use the service at all.
const MINOR_DEMAND_SHARE: f64 = 0.15;

/// Share of a service's capacity below which a route is always admitted, and share below which all such routes
/// together must stay. A route that is alone in its rank has all of that rank's demand, however small it is.
const NEGLIGIBLE_CAPACITY_SHARE: f64 = 0.05;
const MAX_NEGLIGIBLE_CAPACITY_SHARE: f64 = 0.1;

/// Requests of one route and rank, whose admission is decided together.
pub(super) type Flow = (RouteId, Rank);

/// Capacity of a service and the demand of the offered requests there, in slots.
#[derive(Debug)]
pub(super) struct ServiceRoom {
    pub service: Service,
    pub capacity_slots: f64,
    pub demand_slots: FxHashMap<Flow, f64>,
}

/// The service that limits a route, with its capacity and the demand of all offered requests there.
#[local]
pub struct BindingService {
    /// Service whose capacity does not suffice.
    pub service: Service,
    /// Capacity in slots.
    pub capacity_slots: f64,
    /// Demand of all offered requests in slots.
    pub demand_slots: f64,
}

/// Admitted share of a flow, and the service that limits it; `None` if none does.
#[derive(Clone, Debug)]
pub(super) struct FlowShare {
    pub share: f64,
    pub bound_by: Option<BindingService>,
}

impl FlowShare {
    /// The share of a flow that no service limits.
    pub const UNLIMITED: Self = Self { share: 1.0, bound_by: None };
}

impl ServiceRoom {
    /// Allocates the capacity to the most urgent ranks first. Flows of one rank get the same share, except those that
    /// hardly use the service, which are admitted as a whole.
    pub fn allocate(&self) -> Vec<(Flow, FlowShare)> {
        let mut ranks: Vec<Rank> = self.demand_slots.keys().map(|(_, rank)| *rank).collect();
        ranks.sort_unstable();
        ranks.dedup();
        let mut remaining = self.capacity_slots;
        let mut shares = Vec::new();
        for rank in ranks {
            let of_rank = self.demand_slots.iter().filter(|((_, other), _)| *other == rank);
            let total: f64 = of_rank.clone().map(|(_, slots)| slots).sum();
            let minor: f64 =
                of_rank.clone().map(|(_, slots)| *slots).filter(|slots| self.is_minor(*slots, total)).sum();
            let (major, remaining_for_major) = (total - minor, (remaining - minor).max(0.0));
            let limited = (major > remaining_for_major).then(|| FlowShare {
                share: (remaining_for_major / major).max(MIN_ADMITTED_SHARE),
                bound_by: Some(self.binding()),
            });
            remaining = (remaining - total).max(0.0);
            shares.extend(of_rank.map(|(flow, slots)| {
                let limited = limited.clone().filter(|_| !self.is_minor(*slots, total));
                (flow.clone(), limited.unwrap_or(FlowShare::UNLIMITED))
            }));
        }
        shares
    }

    /// Returns whether admitting a flow as a whole hardly uses the service, by its demand there and that of all flows of
    /// its rank.
    fn is_minor(&self, flow_slots: f64, rank_slots: f64) -> bool {
        flow_slots < rank_slots * MINOR_DEMAND_SHARE || (self.admits_negligible() && self.is_negligible(flow_slots))
    }

    /// Returns what is logged about a route that this service limits.
    fn binding(&self) -> BindingService {
        let demand_slots = self.demand_slots.values().sum();
        BindingService { service: self.service.clone(), capacity_slots: self.capacity_slots, demand_slots }
    }

    fn is_negligible(&self, slots: f64) -> bool {
        slots < self.capacity_slots * NEGLIGIBLE_CAPACITY_SHARE
    }

    fn admits_negligible(&self) -> bool {
        let negligible: f64 = self.demand_slots.values().filter(|slots| self.is_negligible(**slots)).sum();
        negligible <= self.capacity_slots * MAX_NEGLIGIBLE_CAPACITY_SHARE
    }
}
