//! Shows what a plan changes, row by row.

use fulmartrestle_derive::record;
use serde::Serialize;

use super::{Change, Plan, RowKey};
use crate::fleet::{FleetConfig, Row, Table};

/// One row before and after a change, as JSON; absent where the row does not exist.
#[record]
pub struct RowDiff {
    /// The row.
    pub row: RowKey,
    /// The row before the change.
    pub before: Option<String>,
    /// The row after the change.
    pub after: Option<String>,
}

/// Returns what confirming `plan` changes in `config`, one entry for each change, in order.
pub fn diff_plan(config: &FleetConfig, plan: &Plan) -> Vec<RowDiff> {
    let mut before = config.clone();
    let mut diffs = Vec::with_capacity(plan.writes.len());
    for change in &plan.writes {
        let after = before.with_changes(before.version(), std::slice::from_ref(change));
        let Some(row) = change.writes().into_iter().next() else { continue };
        diffs.push(RowDiff { row, before: row_text(&before, change), after: row_text(&after, change) });
        before = after;
    }
    diffs
}

fn row_text(config: &FleetConfig, change: &Change) -> Option<String> {
    match change {
        Change::PutTenant(row) => text_of(config.tenants(), &row.tenant),
        Change::RemoveTenant(tenant) => text_of(config.tenants(), tenant),
        Change::PutRoute(row) => text_of(config.routes(), &row.route),
        Change::RemoveRoute(route) => text_of(config.routes(), route),
        Change::PutKey(row) => text_of(config.keys(), &row.hash),
        Change::WithdrawKey(key) => config.key(key).and_then(to_json),
        Change::PutOperator(row) => text_of(config.operators(), &row.name),
        Change::RemoveOperator(name) => text_of(config.operators(), name),
        Change::PutDrain(row) => text_of(config.target_drains(), &row.targets),
        Change::RemoveDrain(targets) => text_of(config.target_drains(), targets),
        Change::PutStop(row) => text_of(config.stops(), &row.stop),
        Change::RemoveStop(stop) => text_of(config.stops(), stop),
        Change::PutObjective(row) => text_of(config.objectives(), &row.route),
        Change::RemoveObjective(route) => text_of(config.objectives(), route),
        Change::PutZone(row) => text_of(config.zones(), &row.zone),
        Change::RemoveZone(zone) => text_of(config.zones(), zone),
    }
}

fn text_of<R: Row + Serialize>(table: &Table<R>, key: &R::Key) -> Option<String> {
    table.get(key).and_then(to_json)
}

fn to_json<R: Serialize>(row: &R) -> Option<String> {
    serde_json::to_string(row).ok()
}
