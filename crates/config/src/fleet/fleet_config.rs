//! The complete configuration of the fleet.

use fulmartrestle_core::{RouteId, Tenant, Version};
use fulmartrestle_derive::record;

use super::route_index::RouteIndex;
use super::{
    DrainRow, KeyHash, KeyId, KeyMatch, KeyRow, ObjectiveRow, OperatorName, OperatorRow, RouteRow, StopRow, Table,
    TenantRow, ZoneRow,
};
use crate::plan::Change;

/// All tables of the configuration at one version. Clones share the rows of all tables.
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

/// The serialized form of the configuration, without the index that is derived from the rows.
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
    /// Returns an empty configuration with `changes` applied, at `version`.
    pub fn from_changes(version: Version, changes: &[Change]) -> Self {
        Self::default().with_changes(version, changes)
    }

    /// Returns this configuration with `changes` applied, at `version`.
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

    /// Removes a tenant and withdraws its keys, including keys that were granted after the change was planned. A
    /// later tenant of the same name must not inherit them.
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

    /// Returns the version of the configuration.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the tenants with their rates and weights.
    pub fn tenants(&self) -> &Table<TenantRow> {
        &self.tenants
    }

    /// Returns the routes in the order of their names.
    pub fn routes(&self) -> &Table<RouteRow> {
        &self.routes
    }

    /// Returns the keys of tenants, including withdrawn ones.
    pub fn keys(&self) -> &Table<KeyRow> {
        &self.keys
    }

    /// Returns the operators with the hashes of their keys.
    pub fn operators(&self) -> &Table<OperatorRow> {
        &self.operators
    }

    /// Returns the drains.
    pub fn target_drains(&self) -> &Table<DrainRow> {
        &self.target_drains
    }

    /// Returns the planned stops.
    pub fn stops(&self) -> &Table<StopRow> {
        &self.stops
    }

    /// Returns the service-level objectives of routes.
    pub fn objectives(&self) -> &Table<ObjectiveRow> {
        &self.objectives
    }

    /// Returns the availability zones.
    pub fn zones(&self) -> &Table<ZoneRow> {
        &self.zones
    }

    /// Returns the route with the longest path prefix that matches `path`. A query in `path` is ignored.
    pub fn route_for(&self, path: &str) -> Option<&RouteRow> {
        self.route_index.find(&self.routes, path)
    }

    /// Returns the key id and tenant of a presented key, unless the key is unknown or withdrawn.
    pub fn tenant_for_key(&self, presented: &str) -> Option<KeyMatch<'_>> {
        self.tenant_for_hash(&KeyHash::from_key(presented))
    }

    /// Returns the key id and tenant of the key with `hash`, unless the key is unknown or withdrawn. The hash
    /// allows a queued request to be checked again without keeping its key.
    pub fn tenant_for_hash(&self, hash: &KeyHash) -> Option<KeyMatch<'_>> {
        let row = self.keys.get(hash).filter(|row| !row.withdrawn)?;
        let tenant = self.tenants.get(&row.tenant)?;
        Some(KeyMatch { key_id: &row.key_id, tenant: &tenant.tenant })
    }

    /// Returns the key with this id, even if it is withdrawn.
    pub fn key(&self, key_id: &KeyId) -> Option<&KeyRow> {
        self.keys.rows().iter().find(|row| row.key_id == *key_id)
    }

    /// Returns the operator whose key is `presented`.
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
