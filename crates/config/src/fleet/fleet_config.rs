//! The fleet's configuration as a whole.

use fulmartrestle_core::{RouteId, Tenant, Version};
use fulmartrestle_derive::record;

use super::route_index::RouteIndex;
use super::{
    DrainRow, KeyHash, KeyId, KeyMatch, KeyRow, ObjectiveRow, OperatorName, OperatorRow, RouteRow, StopRow, Table,
    TenantRow, ZoneRow,
};
use crate::plan::Change;

/// All tables at one version. A clone shares the rows of all tables.
#[record]
#[derive(Default)]
#[serde(from = "FleetTables", into = "FleetTables")]
pub struct FleetConfig {
    version: Version,
    tenants: Table<TenantRow>,
    routes: Table<RouteRow>,
    route_index: RouteIndex,
    keys: Table<KeyRow>,
    operators: Table<OperatorRow>,
    target_drains: Table<DrainRow>,
    stops: Table<StopRow>,
    objectives: Table<ObjectiveRow>,
    zones: Table<ZoneRow>,
}

/// The configuration as it is written: without what can be computed from the rows.
#[record]
struct FleetTables {
    version: Version,
    tenants: Table<TenantRow>,
    routes: Table<RouteRow>,
    keys: Table<KeyRow>,
    operators: Table<OperatorRow>,
    target_drains: Table<DrainRow>,
    stops: Table<StopRow>,
    objectives: Table<ObjectiveRow>,
    zones: Table<ZoneRow>,
}

impl FleetConfig {
    /// Returns the configuration that `changes` make of an empty one, at `version`.
    pub fn from_changes(version: Version, changes: &[Change]) -> Self {
        Self::default().with_changes(version, changes)
    }

    /// Returns this configuration after `changes`, at `version`.
    pub fn with_changes(&self, version: Version, changes: &[Change]) -> Self {
        let mut next = self.clone();
        changes.iter().for_each(|change| next.apply(change));
        next.version = version;
        if !next.routes.shares_rows(&self.routes) {
            next.route_index = RouteIndex::new(&next.routes);
        }
        next
    }

    fn apply(&mut self, change: &Change) {
        match change {
            Change::PutTenant(row) => self.tenants.put(row.clone()),
            Change::RemoveTenant(tenant) => self.remove_tenant(tenant),
            Change::PutRoute(row) => self.routes.put(row.clone()),
            Change::RemoveRoute(route) => self.remove_route(route),
            Change::PutKey(row) => self.keys.put(row.clone()),
            Change::WithdrawKey(key) => self.withdraw_keys(|row| row.key_id == *key),
            Change::PutOperator(row) => self.operators.put(row.clone()),
            Change::RemoveOperator(name) => drop(self.operators.remove(name)),
            Change::PutDrain(row) => self.target_drains.put(row.clone()),
            Change::RemoveDrain(targets) => drop(self.target_drains.remove(targets)),
            Change::PutStop(row) => self.stops.put(row.clone()),
            Change::RemoveStop(stop) => drop(self.stops.remove(stop)),
            Change::PutObjective(row) => self.objectives.put(row.clone()),
            Change::RemoveObjective(route) => drop(self.objectives.remove(route)),
            Change::PutZone(row) => self.zones.put(row.clone()),
            Change::RemoveZone(zone) => drop(self.zones.remove(zone)),
        }
    }

    /// Removes a tenant and withdraws its keys, also those granted by a plan that this change's
    /// planner had not seen; a later tenant of the same name must not inherit them.
    fn remove_tenant(&mut self, tenant: &Tenant) {
        self.tenants.remove(tenant);
        self.withdraw_keys(|row| row.tenant == *tenant);
    }

    fn remove_route(&mut self, route: &RouteId) {
        self.routes.remove(route);
        self.objectives.remove(route);
    }

    fn withdraw_keys(&mut self, matches: impl Fn(&KeyRow) -> bool) {
        self.keys.update_where(|row| !row.withdrawn && matches(row), |row| row.withdrawn = true);
    }

    /// Returns the version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the tenants.
    pub fn tenants(&self) -> &Table<TenantRow> {
        &self.tenants
    }

    /// Returns the routes.
    pub fn routes(&self) -> &Table<RouteRow> {
        &self.routes
    }

    /// Returns the keys, also withdrawn ones.
    pub fn keys(&self) -> &Table<KeyRow> {
        &self.keys
    }

    /// Returns the operators.
    pub fn operators(&self) -> &Table<OperatorRow> {
        &self.operators
    }

    /// Returns the targets that should be leaving.
    pub fn target_drains(&self) -> &Table<DrainRow> {
        &self.target_drains
    }

    /// Returns the planned stops.
    pub fn stops(&self) -> &Table<StopRow> {
        &self.stops
    }

    /// Returns the objectives.
    pub fn objectives(&self) -> &Table<ObjectiveRow> {
        &self.objectives
    }

    /// Returns the availability zones.
    pub fn zones(&self) -> &Table<ZoneRow> {
        &self.zones
    }

    /// Returns the route of a request's path; a query is ignored.
    pub fn route_for(&self, path: &str) -> Option<&RouteRow> {
        self.route_index.find(&self.routes, path)
    }

    /// Returns what a presented key stands for, unless it is unknown or withdrawn.
    pub fn tenant_for_key(&self, presented: &str) -> Option<KeyMatch<'_>> {
        self.tenant_for_hash(&KeyHash::from_key(presented))
    }

    /// Returns what the key with `hash` stands for, unless it is unknown or withdrawn. A request
    /// that waits in a queue is checked again by the hash that was computed when it came.
    pub fn tenant_for_hash(&self, hash: &KeyHash) -> Option<KeyMatch<'_>> {
        let row = self.keys.get(hash).filter(|row| !row.withdrawn)?;
        let tenant = self.tenants.get(&row.tenant)?;
        Some(KeyMatch { key_id: &row.key_id, tenant: &tenant.tenant })
    }

    /// Returns the key with this name, also when it is withdrawn.
    pub fn key(&self, key_id: &KeyId) -> Option<&KeyRow> {
        self.keys.rows().iter().find(|row| row.key_id == *key_id)
    }

    /// Returns the operator who holds a presented key.
    pub fn operator_for_key(&self, presented: &str) -> Option<&OperatorName> {
        let hash = KeyHash::from_key(presented);
        self.operators.rows().iter().find(|row| row.hash == hash).map(|row| &row.name)
    }
}

impl From<FleetTables> for FleetConfig {
    fn from(tables: FleetTables) -> Self {
        Self {
            version: tables.version,
            route_index: RouteIndex::new(&tables.routes),
            tenants: tables.tenants,
            routes: tables.routes,
            keys: tables.keys,
            operators: tables.operators,
            target_drains: tables.target_drains,
            stops: tables.stops,
            objectives: tables.objectives,
            zones: tables.zones,
        }
    }
}

impl From<FleetConfig> for FleetTables {
    fn from(config: FleetConfig) -> Self {
        Self {
            version: config.version,
            tenants: config.tenants,
            routes: config.routes,
            keys: config.keys,
            operators: config.operators,
            target_drains: config.target_drains,
            stops: config.stops,
            objectives: config.objectives,
            zones: config.zones,
        }
    }
}
