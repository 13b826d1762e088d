//! Detection of a plan's possibly unintended consequences.

use std::collections::{BTreeMap, BTreeSet};

use fulmartrestle_core::{AvailabilityZone, RatePerS, RouteId, Service, Tenant};

use super::affected::removes_target;
use super::{Change, ObservedFleet, ObservedTarget, Warning};
use crate::fleet::FleetConfig;

/// A plan's changes, with the configuration before and after them.
pub(super) struct WarningContext<'p> {
    pub(super) changes: &'p [Change],
    pub(super) before: &'p FleetConfig,
    pub(super) after: &'p FleetConfig,
    pub(super) observed: &'p ObservedFleet,
}

struct RouteWeight {
    route_index: usize,
    weight: u64,
}

impl WarningContext<'_> {
    pub(super) fn warnings(&self) -> Vec<Warning> {
        let mut warnings = self.rates_over_capacity();
        warnings.extend(self.routes_without_target());
        warnings.extend(self.zones_below_need());
        warnings.extend(self.tenants_without_key());
        warnings
    }

    /// Returns whether a target remains in use. Planned stops count as if they were due, since the operator decides
    /// whether the fleet can do without the targets at that time.
    fn remains_in_use(&self, target: &ObservedTarget) -> bool {
        let drained = self.after.target_drains().rows().iter().any(|row| target.is_drained_by(&row.targets));
        !drained && !self.changes.iter().any(|change| removes_target(change, target))
    }

    /// Returns the capacity of the remaining targets of a service for which `matches` returns true, or `None` if the
    /// capacity of one of them is unknown, because a partial sum would give false warnings.
    fn remaining_capacity(&self, service: &Service, matches: impl Fn(&ObservedTarget) -> bool) -> Option<RatePerS> {
        let targets = self.observed.targets.iter();
        let counted =
            targets.filter(|target| target.service == *service && matches(target) && self.remains_in_use(target));
        counted.map(|target| target.capacity_per_s.map(|rate| rate.0)).sum::<Option<u64>>().map(RatePerS)
    }

    fn rates_over_capacity(&self) -> Vec<Warning> {
        let affects_load = |change: &Change| {
            matches!(change, Change::PutTenant(_) | Change::PutRoute(_) | Change::PutDrain(_) | Change::PutStop(_))
        };
        let is_measured = self.observed.targets.iter().any(|target| target.capacity_per_s.is_some());
        if !is_measured || !self.changes.iter().any(affects_load) {
            return Vec::new();
        }
        let promised = self.promised_rate_by_service();
        let over = promised.into_iter().filter_map(|(service, promised_per_s)| {
            let capacity_per_s = self.remaining_capacity(&service, |_| true)?;
            let warns = capacity_per_s.0 > 0 && promised_per_s > capacity_per_s;
            warns.then_some(Warning::RatesOverCapacity { service, promised_per_s, capacity_per_s })
        });
        over.collect()
    }

    /// Distributes each tenant's rate over the services of its routes: in proportion to its current traffic or, if it
    /// has none, evenly over the routes that it may use.
    fn promised_rate_by_service(&self) -> BTreeMap<Service, RatePerS> {
        let routes = self.after.routes().rows();
        let traffic = self.traffic_by_tenant();
        let mut promised_rate_by_route = vec![0; routes.len()];
        for tenant in self.after.tenants().rows() {
            let weights = self.route_weights(&tenant.tenant, traffic.get(&tenant.tenant));
            let total_weight: u64 = weights.iter().map(|route_weight| route_weight.weight).sum();
            for RouteWeight { route_index, weight } in weights {
                let share = u128::from(tenant.rate_per_s.0) * u128::from(weight) / u128::from(total_weight.max(1));
                promised_rate_by_route[route_index] += u64::try_from(share).unwrap_or(u64::MAX);
            }
        }
        let mut promised: BTreeMap<Service, RatePerS> = BTreeMap::new();
        for (route, rate) in routes.iter().zip(promised_rate_by_route).filter(|(_, rate)| *rate > 0) {
            for service in ObservedFleet::services_reached_by(route) {
                promised.entry(service.clone()).or_default().0 += rate;
            }
        }
        promised
    }

    fn traffic_by_tenant(&self) -> BTreeMap<&Tenant, BTreeMap<&RouteId, u64>> {
        let mut traffic: BTreeMap<&Tenant, BTreeMap<&RouteId, u64>> = BTreeMap::new();
        for observed_traffic in &self.observed.traffic {
            if let Some(tenant) = &observed_traffic.tenant {
                *traffic.entry(tenant).or_default().entry(&observed_traffic.route).or_default() +=
                    observed_traffic.rate_per_s.0;
            }
        }
        traffic
    }

    /// Returns the routes that a tenant may use, weighted by its traffic to each of them.
    fn route_weights(&self, tenant: &Tenant, route_traffic: Option<&BTreeMap<&RouteId, u64>>) -> Vec<RouteWeight> {
        let routes = self.after.routes().rows().iter().enumerate();
        let usable = routes.filter(|(_, route)| route.allows(tenant));
        let weights = usable.map(|(route_index, route)| {
            let weight = route_traffic.map_or(1, |route_traffic| route_traffic.get(&route.route).copied().unwrap_or(0));
            RouteWeight { route_index, weight }
        });
        weights.collect()
    }

    fn routes_without_target(&self) -> Vec<Warning> {
        let can_remove_targets = |change: &Change| matches!(change, Change::PutDrain(_) | Change::PutStop(_));
        let may_remove_targets = self.changes.iter().any(can_remove_targets);
        let written_routes: BTreeSet<_> = self
            .changes
            .iter()
            .filter_map(|change| match change {
                Change::PutRoute(row) => Some(&row.route),
                _ => None,
            })
            .collect();
        let remaining = self.observed.targets.iter().filter(|target| self.remains_in_use(target));
        let services_with_target: BTreeSet<_> = remaining.map(|target| &target.service).collect();
        let services_with_target_before: BTreeSet<_> =
            self.observed.targets.iter().map(|target| &target.service).collect();
        let mut warnings = Vec::new();
        for route in self.after.routes().rows() {
            let changed = written_routes.contains(&route.route);
            for service in ObservedFleet::services_reached_by(route) {
                let lost = may_remove_targets && services_with_target_before.contains(service);
                if !services_with_target.contains(service) && (changed || lost) {
                    let (route, service) = (route.route.clone(), service.clone());
                    warnings.push(Warning::RouteWithoutTarget { route, service });
                }
            }
        }
        warnings
    }

    fn zones_below_need(&self) -> Vec<Warning> {
        let is_removed = |target: &&ObservedTarget| self.changes.iter().any(|change| removes_target(change, target));
        let affected: BTreeSet<_> =
            self.observed.targets.iter().filter(is_removed).map(|target| (&target.zone, &target.service)).collect();
        let below = affected.into_iter().filter_map(|(zone, service)| {
            let capacity_per_s = self.remaining_capacity(service, |target| target.zone == *zone)?;
            let needed_per_s = self.traffic_to(zone, service);
            let (zone, service) = (zone.clone(), service.clone());
            let warns = needed_per_s > capacity_per_s;
            warns.then_some(Warning::ZoneBelowNeed { zone, service, needed_per_s, capacity_per_s })
        });
        below.collect()
    }

    /// Returns the rate of calls that enter the fleet in `zone` and reach `service`.
    fn traffic_to(&self, zone: &AvailabilityZone, service: &Service) -> RatePerS {
        let reaches = |route: &RouteId| {
            let row = self.after.routes().get(route);
            row.is_some_and(|row| ObservedFleet::services_reached_by(row).any(|reached| reached == service))
        };
        let traffic = self
            .observed
            .traffic
            .iter()
            .filter(|observed_traffic| observed_traffic.zone == *zone && reaches(&observed_traffic.route));
        RatePerS(traffic.map(|observed_traffic| observed_traffic.rate_per_s.0).sum())
    }

    fn tenants_without_key(&self) -> Vec<Warning> {
        let withdrawn = self.changes.iter().filter_map(|change| match change {
            Change::WithdrawKey(key) => self.before.key(key).map(|row| &row.tenant),
            _ => None,
        });
        let tenants: BTreeSet<_> = withdrawn.collect();
        let has_key = |tenant: &Tenant| {
            let keys = self.after.keys().rows();
            keys.iter().any(|row| !row.withdrawn && row.tenant == *tenant)
        };
        let without =
            tenants.into_iter().filter(|tenant| self.after.tenants().get(tenant).is_some() && !has_key(tenant));
        without.map(|tenant| Warning::LastKeyOfTenant { tenant: tenant.clone() }).collect()
    }
}
