//! What an operator wants changed.

use fulmartrestle_core::{AvailabilityZone, RouteId, Tenant};
use fulmartrestle_derive::record;

use crate::fleet::{
    DrainSelector, KeyId, ObjectiveRow, OperatorName, OperatorRow, RouteRow, StopId, StopScope, TenantRow, ZoneRow,
};
use crate::jsonc::{DocumentError, parse_document};

/// A list of wanted changes and the reason. Who wants them is not part of the document: the node
/// knows it from the operator's key.
#[record]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// Why the change is wanted, for the history.
    pub why: String,
    /// The changes; all of them happen or none.
    pub changes: Vec<IntentChange>,
}

impl Intent {
    /// Reads an intent in JSON with comments; `file_name` appears in errors.
    ///
    /// # Errors
    ///
    /// Returns the first fault with its place, field and offending text.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, DocumentError> {
        parse_document(file_name, text)
    }
}

/// One wanted change. `docs/PLANS.md` shows each as it is written.
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
    /// Withdraws a key for good.
    WithdrawKey(KeyId),
    /// Adds an operator, or changes the operator's key.
    SetOperator(OperatorRow),
    /// Removes an operator.
    RemoveOperator(OperatorName),
    /// Makes targets leave.
    Drain(DrainSelector),
    /// Lets drained targets come back.
    Undrain(DrainSelector),
    /// Plans a stop, or moves one.
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

/// A stop at a local time.
#[record]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct StopIntent {
    /// The stop's name.
    pub stop: StopId,
    /// What stops.
    pub scope: StopScope,
    /// When, as a clock in `time_zone` shows it, for example `2026-03-29T04:30`.
    pub local_time: String,
    /// A named time zone, for example `Europe/Rome`.
    pub time_zone: String,
}
