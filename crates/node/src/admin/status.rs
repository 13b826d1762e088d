//! The status endpoint.

use std::collections::BTreeMap;
use std::sync::Arc;

use fulmartrestle_api::{CounterAnswer, StatusAnswer, StopAnswer, ZoneMembersAnswer};
use poem::web::Data;
use poem::{Request, Response, handler};

use super::api::{AdminState, authenticate_operator, json_response};
use super::error::ApiError;
use crate::clock::wall_ms;
use crate::drains::local_target_identity;
use crate::state::NodeState;
use fulmartrestle_core::lock;

/// Returns the status of the node: configuration, members, targets, running calls, stops and counters.
#[handler]
pub fn status(state: Data<&Arc<AdminState>>, request: &Request) -> Result<Response, ApiError> {
    authenticate_operator(&state, request)?;
    let node = &state.node;
    let version = node.config.get().version();
    let config = node.config_io.status();
    json_response(&StatusAnswer {
        vm: node.local_vm,
        zone: node.zone.clone(),
        version,
        unconfirmed_zones: config.unconfirmed_zones(version),
        config,
        members: reachable_members_by_zone(node),
        targets: lock(&node.targets).len(),
        in_flight: node.gate.in_flight(),
        stops: planned_stops(node),
        counters: counter_values(node),
    })
}

fn reachable_members_by_zone(node: &NodeState) -> Vec<ZoneMembersAnswer> {
    let now = node.clock.now();
    let mut counts = BTreeMap::new();
    for row in lock(&node.membership).members(now).filter(|row| row.state.is_reachable()) {
        *counts.entry(row.zone).or_insert(0) += 1;
    }
    counts.into_iter().map(|(zone, reachable)| ZoneMembersAnswer { zone, reachable }).collect()
}

fn planned_stops(node: &NodeState) -> Vec<StopAnswer> {
    let config = node.config.get();
    let target = node
        .gate
        .usable_target()
        .map(|target| local_target_identity(node.local_vm, &node.zone, node.peer_address, &target));
    let now_unix_ms = wall_ms() as i64;
    let stop_answers = config.stops().rows().iter().map(|row| {
        let includes_own_target = target.as_ref().is_some_and(|target| target.is_stopped_by(&row.scope));
        StopAnswer {
            stop: row.stop.to_string(),
            scope: row.scope.to_string(),
            utc_time: row.utc_time(),
            local_time: row.local_time.clone(),
            due: row.is_due(now_unix_ms),
            includes_own_target,
            own_target_drained: includes_own_target.then(|| node.gate.is_drained()),
        }
    });
    stop_answers.collect()
}

fn counter_values(node: &NodeState) -> Vec<CounterAnswer> {
    let named = node.counters.named();
    named.iter().map(|named| CounterAnswer { name: named.name.to_owned(), value: named.counter.get() }).collect()
}
