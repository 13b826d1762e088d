//! Changes of rows.

use fulmartrestle_core::{RouteId, Tenant};
use fulmartrestle_derive::record;

use crate::fleet::{
    DrainRow, DrainSelector, KeyId, KeyRow, ObjectiveRow, OperatorName, OperatorRow, RouteRow, StopId, StopRow,
    TenantRow,
};

/// One change of the configuration. A `Put` adds a row or takes the place of the one with its key.
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
    /// Withdraws a key for good.
    WithdrawKey(KeyId),
    /// Adds an operator or changes the operator's key.
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
}
