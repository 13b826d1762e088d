//! Whom a plan affects.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use fulmartrestle_core::{RouteId, Tenant};
use fulmartrestle_derive::record;

use super::{Change, ObservedFleet, ObservedTarget};
use crate::fleet::{FleetConfig, SharePerMillion};

/// Whom a plan affects, each list sorted.
#[record]
#[derive(Default)]
pub struct Affected {
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// The routes.
    pub routes: Vec<RouteId>,
    /// The targets' addresses, at most [`Affected::MAX_TARGETS`] of them.
    pub targets: Vec<SocketAddr>,
    /// The number of targets, listed or not.
    pub target_count: usize,
    /// The share of the present traffic that belongs to the affected tenants and routes.
    pub traffic_share: SharePerMillion,
}

impl Affected {
    /// Most targets that a plan lists. A stop of a zone reaches hundreds; the log's records and the
    /// operator's screen should not carry them all.
    pub const MAX_TARGETS: usize = 50;

    pub(super) fn by(changes: &[Change], config: &FleetConfig, facts: &ObservedFleet) -> Self {
        let mut collector = Collector { config, facts, tenants: BTreeSet::new(), routes: BTreeSet::new() };
        changes.iter().for_each(|change| collector.add(change));
        collector.finish(changes)
    }
}

/// Returns whether a change takes this target out of use.
pub(super) fn takes_out(change: &Change, target: &ObservedTarget) -> bool {
    match change {
        Change::PutDrain(row) => target.is_drained_by(&row.targets),
        Change::PutStop(row) => target.is_stopped_by(&row.scope),
        _ => false,
    }
}

fn brings_back(change: &Change, target: &ObservedTarget) -> bool {
    matches!(change, Change::RemoveDrain(targets) if target.is_drained_by(targets))
}

struct Collector<'c> {
    config: &'c FleetConfig,
    facts: &'c ObservedFleet,
    tenants: BTreeSet<Tenant>,
    routes: BTreeSet<RouteId>,
}

impl Collector<'_> {
    fn add(&mut self, change: &Change) {
        match change {
            Change::PutTenant(row) => drop(self.tenants.insert(row.tenant.clone())),
            Change::RemoveTenant(tenant) => drop(self.tenants.insert(tenant.clone())),
            Change::PutRoute(row) => drop(self.routes.insert(row.route.clone())),
            Change::RemoveRoute(route) => drop(self.routes.insert(route.clone())),
            Change::PutKey(row) => drop(self.tenants.insert(row.tenant.clone())),
            Change::WithdrawKey(key) => self.tenants.extend(self.config.key(key).map(|row| row.tenant.clone())),
            Change::PutObjective(row) => drop(self.routes.insert(row.route.clone())),
            Change::RemoveObjective(route) => drop(self.routes.insert(route.clone())),
            Change::PutDrain(_) | Change::RemoveDrain(_) | Change::PutStop(_) | Change::RemoveStop(_) => {
                self.add_routes_of_targets(change);
            }
            // Every tenant's rate is split anew over the zones.
            Change::PutZone(_) | Change::RemoveZone(_) => {
                self.tenants.extend(self.config.tenants().rows().iter().map(|row| row.tenant.clone()));
            }
            Change::PutOperator(_) | Change::RemoveOperator(_) => {}
        }
    }

    /// A drain or stop affects the routes whose calls reach a service of its targets.
    fn add_routes_of_targets(&mut self, change: &Change) {
        let hit = |target: &&ObservedTarget| takes_out(change, target) || brings_back(change, target);
        let services: BTreeSet<_> = self.facts.targets.iter().filter(hit).map(|target| &target.service).collect();
        let routes = self.config.routes().rows().iter();
        let reached =
            routes.filter(|route| ObservedFleet::services_of(route).any(|service| services.contains(service)));
        self.routes.extend(reached.map(|route| route.route.clone()));
    }

    fn finish(self, changes: &[Change]) -> Affected {
        let hit = |target: &&ObservedTarget| {
            changes.iter().any(|change| takes_out(change, target) || brings_back(change, target))
        };
        let targets: Vec<_> = self.facts.targets.iter().filter(hit).map(|target| target.address).collect();
        let share = self.facts.traffic_share(|traffic| {
            let tenant = traffic.tenant.as_ref().is_some_and(|tenant| self.tenants.contains(tenant));
            tenant || self.routes.contains(&traffic.route)
        });
        Affected {
            target_count: targets.len(),
            targets: targets.into_iter().take(Affected::MAX_TARGETS).collect(),
            tenants: self.tenants.into_iter().collect(),
            routes: self.routes.into_iter().collect(),
            traffic_share: share,
        }
    }
}
