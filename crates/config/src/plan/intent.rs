//! Changes that an operator requests.

use fulmartrestle_core::{AvailabilityZone, RouteId, Tenant};
use fulmartrestle_derive::record;

use crate::fleet::{
    DrainSelector, KeyId, ObjectiveRow, OperatorName, OperatorRow, RouteRow, StopId, StopScope, TenantRow, ZoneRow,
};
use crate::jsonc::{DocumentError, parse_document};

/// A list of requested changes and the reason for them. The operator is not part of the document: the node identifies
/// the operator by key.
#[record]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// The reason for the changes, which the history keeps.
    pub why: String,
    /// The requested changes. Either all of them are applied or none.
    pub changes: Vec<IntentChange>,
}

impl Intent {
    /// Parses an intent in JSON with comments. `file_name` is used in error messages.
    ///
    /// # Errors
    ///
    /// Returns the first error with its position, field and the offending text.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, DocumentError> {
        parse_document(file_name, text)
    }
}

/// One requested change. `docs/PLANS.md` shows the syntax of each.
#[record]
#[derive(Eq)]
#[serde(rename_all = "snake_case")]
pub enum IntentChange {
    /// Adds a tenant or changes its rate, burst and weight.
    SetTenant(TenantRow),
    /// Removes a tenant and withdraws all its keys.
    RemoveTenant(Tenant),
    /// Adds or changes a route.
    SetRoute(RouteRow),
    /// Removes a route and its objective.
    RemoveRoute(RouteId),
    /// Grants a new key to a tenant.
    GrantKey(Tenant),
    /// Withdraws a key permanently.
    WithdrawKey(KeyId),
    /// Adds an operator or replaces the operator's key.
    SetOperator(OperatorRow),
    /// Removes an operator.
    RemoveOperator(OperatorName),
    /// Starts to drain targets.
    Drain(DrainSelector),
    /// Returns drained targets to use.
    Undrain(DrainSelector),
    /// Plans a stop or changes a planned one.
    PlanStop(StopIntent),
    /// Cancels a planned stop.
    CancelStop(StopId),
    /// Sets a route's objective.
    SetObjective(ObjectiveRow),
    /// Removes a route's objective.
    RemoveObjective(RouteId),
    /// Adds an availability zone or changes its region.
    SetZone(ZoneRow),
    /// Removes an availability zone.
    RemoveZone(AvailabilityZone),
}

/// A stop planned at a local time.
#[record]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct StopIntent {
    /// The stop's id.
    pub stop: StopId,
    /// The targets that stop.
    pub scope: StopScope,
    /// Local time of the stop in `time_zone`, for example `2026-03-29T04:30`.
    pub local_time: String,
    /// IANA time zone name, for example `Europe/Rome`.
    pub time_zone: String,
}
