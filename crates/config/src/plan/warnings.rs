//! Finds the warnings of a plan.

use std::collections::{BTreeMap, BTreeSet};

use fulmartrestle_core::{AvailabilityZone, RatePerS, RouteId, Service, Tenant};

use super::affected::takes_out;
use super::{Change, ObservedFleet, ObservedTarget, Warning};
use crate::fleet::FleetConfig;

/// A plan's changes with the configuration before and after them.
pub(super) struct Consequences<'p> {
    pub(super) changes: &'p [Change],
    pub(super) before: &'p FleetConfig,
    pub(super) after: &'p FleetConfig,
    pub(super) facts: &'p ObservedFleet,
}

struct Weighted {
    route_index: usize,
    weight: u64,
}

impl Consequences<'_> {
    pub(super) fn warnings(&self) -> Vec<Warning> {
        let mut warnings = self.rates_over_capacity();
        warnings.extend(self.routes_without_target());
        warnings.extend(self.zones_below_need());
        warnings.extend(self.tenants_without_key());
        warnings
    }

    /// Returns whether a target stays in use. Stops count as if they were due, since the operator
    /// decides about that moment.
    fn stays(&self, target: &ObservedTarget) -> bool {
        let drained = self.after.target_drains().rows().iter().any(|row| target.is_drained_by(&row.targets));
        !drained && !self.changes.iter().any(|change| takes_out(change, target))
    }

    /// Returns what the targets of a service that `matches` answer, or `None` when one of them was
    /// never measured: half a sum would give false warnings.
    fn capacity(&self, service: &Service, matches: impl Fn(&ObservedTarget) -> bool) -> Option<RatePerS> {
        let targets = self.facts.targets.iter();
        let counted = targets.filter(|target| target.service == *service && matches(target) && self.stays(target));
        counted.map(|target| target.capacity_per_s.map(|rate| rate.0)).sum::<Option<u64>>().map(RatePerS)
    }

    fn rates_over_capacity(&self) -> Vec<Warning> {
        let touches_load = |change: &Change| {
            matches!(change, Change::PutTenant(_) | Change::PutRoute(_) | Change::PutDrain(_) | Change::PutStop(_))
        };
        let is_measured = self.facts.targets.iter().any(|target| target.capacity_per_s.is_some());
        if !is_measured || !self.changes.iter().any(touches_load) {
            return Vec::new();
        }
        let promised = self.promised_by_service();
        let over = promised.into_iter().filter_map(|(service, promised_per_s)| {
            let capacity_per_s = self.capacity(&service, |_| true)?;
            let warns = capacity_per_s.0 > 0 && promised_per_s > capacity_per_s;
            warns.then_some(Warning::RatesOverCapacity { service, promised_per_s, capacity_per_s })
        });
        over.collect()
    }

    /// Spreads each tenant's rate over the services of its routes: by its present traffic, or
    /// evenly over the routes it may use when it has none.
    fn promised_by_service(&self) -> BTreeMap<Service, RatePerS> {
        let routes = self.after.routes().rows();
        let traffic = self.traffic_by_tenant();
        let mut promised_by_route = vec![0; routes.len()];
        for tenant in self.after.tenants().rows() {
            let weights = self.weights(&tenant.tenant, traffic.get(&tenant.tenant));
            let whole: u64 = weights.iter().map(|weighted| weighted.weight).sum();
            for Weighted { route_index, weight } in weights {
                let share = u128::from(tenant.rate_per_s.0) * u128::from(weight) / u128::from(whole.max(1));
                promised_by_route[route_index] += u64::try_from(share).unwrap_or(u64::MAX);
            }
        }
        let mut promised: BTreeMap<Service, RatePerS> = BTreeMap::new();
        for (route, rate) in routes.iter().zip(promised_by_route).filter(|(_, rate)| *rate > 0) {
            for service in ObservedFleet::services_of(route) {
                promised.entry(service.clone()).or_default().0 += rate;
            }
        }
        promised
    }

    fn traffic_by_tenant(&self) -> BTreeMap<&Tenant, BTreeMap<&RouteId, u64>> {
        let mut traffic: BTreeMap<&Tenant, BTreeMap<&RouteId, u64>> = BTreeMap::new();
        for facts in &self.facts.traffic {
            if let Some(tenant) = &facts.tenant {
                *traffic.entry(tenant).or_default().entry(&facts.route).or_default() += facts.rate_per_s.0;
            }
        }
        traffic
    }

    /// Returns the routes that a tenant may use, weighted by its traffic.
    fn weights(&self, tenant: &Tenant, seen: Option<&BTreeMap<&RouteId, u64>>) -> Vec<Weighted> {
        let routes = self.after.routes().rows().iter().enumerate();
        let usable = routes.filter(|(_, route)| route.allows(tenant));
        let weighted = usable.map(|(route_index, route)| {
            let weight = seen.map_or(1, |seen| seen.get(&route.route).copied().unwrap_or(0));
            Weighted { route_index, weight }
        });
        weighted.collect()
    }

    fn routes_without_target(&self) -> Vec<Warning> {
        let takes_targets = |change: &Change| matches!(change, Change::PutDrain(_) | Change::PutStop(_));
        let any_takes = self.changes.iter().any(takes_targets);
        let written: BTreeSet<_> = self
            .changes
            .iter()
            .filter_map(|change| match change {
                Change::PutRoute(row) => Some(&row.route),
                _ => None,
            })
            .collect();
        let staying = self.facts.targets.iter().filter(|target| self.stays(target));
        let served: BTreeSet<_> = staying.map(|target| &target.service).collect();
        let had: BTreeSet<_> = self.facts.targets.iter().map(|target| &target.service).collect();
        let mut warnings = Vec::new();
        for route in self.after.routes().rows() {
            let changed = written.contains(&route.route);
            for service in ObservedFleet::services_of(route) {
                let lost = any_takes && had.contains(service);
                if !served.contains(service) && (changed || lost) {
                    let (route, service) = (route.route.clone(), service.clone());
                    warnings.push(Warning::RouteWithoutTarget { route, service });
                }
            }
        }
        warnings
    }

    fn zones_below_need(&self) -> Vec<Warning> {
        let taken = |target: &&ObservedTarget| self.changes.iter().any(|change| takes_out(change, target));
        let hit: BTreeSet<_> =
            self.facts.targets.iter().filter(taken).map(|target| (&target.zone, &target.service)).collect();
        let below = hit.into_iter().filter_map(|(zone, service)| {
            let capacity_per_s = self.capacity(service, |target| target.zone == *zone)?;
            let needed_per_s = self.need(zone, service);
            let (zone, service) = (zone.clone(), service.clone());
            let warns = needed_per_s > capacity_per_s;
            warns.then_some(Warning::ZoneBelowNeed { zone, service, needed_per_s, capacity_per_s })
        });
        below.collect()
    }

    /// Returns the traffic that enters in `zone` and reaches `service`.
    fn need(&self, zone: &AvailabilityZone, service: &Service) -> RatePerS {
        let reaches = |route: &RouteId| {
            let row = self.after.routes().get(route);
            row.is_some_and(|row| ObservedFleet::services_of(row).any(|reached| reached == service))
        };
        let traffic = self.facts.traffic.iter().filter(|facts| facts.zone == *zone && reaches(&facts.route));
        RatePerS(traffic.map(|facts| facts.rate_per_s.0).sum())
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
