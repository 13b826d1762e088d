//! Differences that a plan makes, row by row.

use fulmartrestle_derive::record;
use serde::Serialize;

use super::{Change, Plan, RowKey};
use crate::fleet::{FleetConfig, Row, Table};

/// One row before and after a change.
#[record]
pub struct RowDiff {
    /// Identifies the row.
    pub row: RowKey,
    /// The row before the change, as JSON; absent if it does not exist.
    pub before: Option<String>,
    /// The row after the change, as JSON; absent if it does not exist.
    pub after: Option<String>,
}

/// Returns the rows of `config` that confirming `plan` would change, one entry for each change, in order.
pub fn diff_plan(config: &FleetConfig, plan: &Plan) -> Vec<RowDiff> {
    let mut before = config.clone();
    let mut diffs = Vec::with_capacity(plan.writes.len());
    for change in &plan.writes {
        let after = before.with_changes(before.version(), std::slice::from_ref(change));
        let Some(row) = change.rows_written().into_iter().next() else { continue };
        diffs.push(RowDiff { row, before: row_json(&before, change), after: row_json(&after, change) });
        before = after;
    }
    diffs
}

fn row_json(config: &FleetConfig, change: &Change) -> Option<String> {
    match change {
        Change::PutTenant(row) => table_row_json(config.tenants(), &row.tenant),
        Change::RemoveTenant(tenant) => table_row_json(config.tenants(), tenant),
        Change::PutRoute(row) => table_row_json(config.routes(), &row.route),
        Change::RemoveRoute(route) => table_row_json(config.routes(), route),
        Change::PutKey(row) => table_row_json(config.keys(), &row.hash),
        Change::WithdrawKey(key) => config.key(key).and_then(to_json),
        Change::PutOperator(row) => table_row_json(config.operators(), &row.name),
        Change::RemoveOperator(name) => table_row_json(config.operators(), name),
        Change::PutDrain(row) => table_row_json(config.target_drains(), &row.targets),
        Change::RemoveDrain(targets) => table_row_json(config.target_drains(), targets),
        Change::PutStop(row) => table_row_json(config.stops(), &row.stop),
        Change::RemoveStop(stop) => table_row_json(config.stops(), stop),
        Change::PutObjective(row) => table_row_json(config.objectives(), &row.route),
        Change::RemoveObjective(route) => table_row_json(config.objectives(), route),
        Change::PutZone(row) => table_row_json(config.zones(), &row.zone),
        Change::RemoveZone(zone) => table_row_json(config.zones(), zone),
    }
}

fn table_row_json<R: Row + Serialize>(table: &Table<R>, key: &R::Key) -> Option<String> {
    table.get(key).and_then(to_json)
}

fn to_json<R: Serialize>(row: &R) -> Option<String> {
    serde_json::to_string(row).ok()
}
