//! What a plan affects.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use fulmartrestle_core::{RouteId, Tenant};
use fulmartrestle_derive::record;

use super::{Change, ObservedFleet, ObservedTarget};
use crate::fleet::{FleetConfig, SharePerMillion};

/// The tenants, routes and targets that a plan affects, each list sorted.
#[record]
#[derive(Default)]
pub struct Affected {
    /// The affected tenants.
    pub tenants: Vec<Tenant>,
    /// The affected routes.
    pub routes: Vec<RouteId>,
    /// Addresses of the affected targets, at most [`Affected::MAX_TARGETS`] of them.
    pub targets: Vec<SocketAddr>,
    /// Number of all affected targets, listed or not.
    pub target_count: usize,
    /// The share of the current traffic that belongs to the affected tenants and routes.
    pub traffic_share: SharePerMillion,
}

impl Affected {
    /// Maximum number of targets that a plan lists. A stop of a zone affects hundreds, too many for a log record and
    /// for the operator's screen.
    pub const MAX_TARGETS: usize = 50;

    /// Returns what `changes` to `config` affect, given the observed targets and traffic.
    pub(super) fn from_changes(changes: &[Change], config: &FleetConfig, observed: &ObservedFleet) -> Self {
        let mut collector = AffectedCollector { config, observed, tenants: BTreeSet::new(), routes: BTreeSet::new() };
        changes.iter().for_each(|change| collector.add(change));
        collector.finish(changes)
    }
}

/// Returns whether a change takes `target` out of use.
pub(super) fn removes_target(change: &Change, target: &ObservedTarget) -> bool {
    match change {
        Change::PutDrain(row) => target.is_drained_by(&row.targets),
        Change::PutStop(row) => target.is_stopped_by(&row.scope),
        _ => false,
    }
}

/// Returns whether a change returns `target` to use.
fn restores_target(change: &Change, target: &ObservedTarget) -> bool {
    matches!(change, Change::RemoveDrain(targets) if target.is_drained_by(targets))
}

struct AffectedCollector<'c> {
    config: &'c FleetConfig,
    observed: &'c ObservedFleet,
    tenants: BTreeSet<Tenant>,
    routes: BTreeSet<RouteId>,
}

impl AffectedCollector<'_> {
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
            // The rates of all tenants are split again over the new set of zones.
            Change::PutZone(_) | Change::RemoveZone(_) => {
                self.tenants.extend(self.config.tenants().rows().iter().map(|row| row.tenant.clone()));
            }
            Change::PutOperator(_) | Change::RemoveOperator(_) => {}
        }
    }

    /// Adds the routes whose calls reach a service of the targets that a drain or stop selects.
    fn add_routes_of_targets(&mut self, change: &Change) {
        let is_affected = |target: &&ObservedTarget| removes_target(change, target) || restores_target(change, target);
        let services: BTreeSet<_> =
            self.observed.targets.iter().filter(is_affected).map(|target| &target.service).collect();
        let routes = self.config.routes().rows().iter();
        let reached =
            routes.filter(|route| ObservedFleet::services_reached_by(route).any(|service| services.contains(service)));
        self.routes.extend(reached.map(|route| route.route.clone()));
    }

    fn finish(self, changes: &[Change]) -> Affected {
        let is_affected = |target: &&ObservedTarget| {
            changes.iter().any(|change| removes_target(change, target) || restores_target(change, target))
        };
        let targets: Vec<_> = self.observed.targets.iter().filter(is_affected).map(|target| target.address).collect();
        let share = self.observed.traffic_share(|traffic| {
            let is_affected_tenant = traffic.tenant.as_ref().is_some_and(|tenant| self.tenants.contains(tenant));
            is_affected_tenant || self.routes.contains(&traffic.route)
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
