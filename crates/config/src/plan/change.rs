//! Changes to the configuration.

use fulmartrestle_core::{AvailabilityZone, RouteId, Tenant};
use fulmartrestle_derive::record;

use crate::fleet::{
    DrainRow, DrainSelector, KeyId, KeyRow, ObjectiveRow, OperatorName, OperatorRow, RouteRow, StopId, StopRow,
    TenantRow, ZoneRow,
};
use crate::plan::RowKey;

/// One change to the configuration. A `Put` inserts a row or replaces the row with the same key.
#[record]
#[derive(Eq)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Adds or changes a tenant.
    PutTenant(TenantRow),
    /// Removes a tenant and withdraws all its keys.
    RemoveTenant(Tenant),
    /// Adds or changes a route.
    PutRoute(RouteRow),
    /// Removes a route and its objective.
    RemoveRoute(RouteId),
    /// Grants a key.
    PutKey(KeyRow),
    /// Withdraws a key permanently.
    WithdrawKey(KeyId),
    /// Adds an operator or replaces the operator's key.
    PutOperator(OperatorRow),
    /// Removes an operator.
    RemoveOperator(OperatorName),
    /// Starts a drain.
    PutDrain(DrainRow),
    /// Ends a drain.
    RemoveDrain(DrainSelector),
    /// Adds or changes a planned stop.
    PutStop(StopRow),
    /// Cancels a planned stop.
    RemoveStop(StopId),
    /// Adds or changes a route's objective.
    PutObjective(ObjectiveRow),
    /// Removes a route's objective.
    RemoveObjective(RouteId),
    /// Adds a zone or changes its region.
    PutZone(ZoneRow),
    /// Removes a zone.
    RemoveZone(AvailabilityZone),
}

impl Change {
    /// Returns the rows that this change writes.
    pub fn rows_written(&self) -> Vec<RowKey> {
        match self {
            Self::PutTenant(row) => vec![RowKey::Tenant(row.tenant.clone())],
            Self::RemoveTenant(tenant) => vec![RowKey::Tenant(tenant.clone())],
            Self::PutRoute(row) => vec![RowKey::Route(row.route.clone()), RowKey::PathPrefix(row.path_prefix.clone())],
            Self::RemoveRoute(route) => vec![RowKey::Route(route.clone()), RowKey::Objective(route.clone())],
            Self::PutKey(row) => vec![RowKey::Key(row.key_id.clone())],
            Self::WithdrawKey(key) => vec![RowKey::Key(key.clone())],
            Self::PutOperator(row) => vec![RowKey::Operator(row.name.clone())],
            Self::RemoveOperator(name) => vec![RowKey::Operator(name.clone()), RowKey::OperatorsRemain],
            Self::PutDrain(row) => vec![RowKey::Drain(row.targets.clone())],
            Self::RemoveDrain(targets) => vec![RowKey::Drain(targets.clone())],
            Self::PutStop(row) => vec![RowKey::Stop(row.stop.clone())],
            Self::RemoveStop(stop) => vec![RowKey::Stop(stop.clone())],
            Self::PutObjective(row) => vec![RowKey::Objective(row.route.clone())],
            Self::RemoveObjective(route) => vec![RowKey::Objective(route.clone())],
            Self::PutZone(row) => vec![RowKey::Zone(row.zone.clone())],
            Self::RemoveZone(zone) => vec![RowKey::Zone(zone.clone())],
        }
    }

    /// Returns the rows that this change depends on without writing them.
    pub fn rows_read(&self) -> Vec<RowKey> {
        match self {
            Self::PutRoute(row) => row.tenants.iter().flatten().cloned().map(RowKey::Tenant).collect(),
            Self::PutKey(row) => vec![RowKey::Tenant(row.tenant.clone())],
            Self::PutObjective(row) => vec![RowKey::Route(row.route.clone())],
            _ => Vec::new(),
        }
    }

    /// Returns whether the change withdraws a right that could be abused, and must therefore be propagated ahead of
    /// other changes.
    pub const fn is_urgent(&self) -> bool {
        matches!(self, Self::WithdrawKey(_) | Self::RemoveTenant(_) | Self::RemoveOperator(_))
    }
}
