//! The node's status.

use std::collections::BTreeMap;
use std::sync::Arc;

use fulmartrestle_api::{CounterAnswer, StatusAnswer, StopAnswer, ZoneMembersAnswer};
use poem::web::Data;
use poem::{Request, Response, handler};

use super::api::{AdminState, json, operator};
use super::error::ApiError;
use crate::clock::wall_ms;
use crate::drains::local_target_identity;
use crate::state::NodeState;
use fulmartrestle_core::lock;

/// Returns the node's status.
#[handler]
pub fn status(state: Data<&Arc<AdminState>>, request: &Request) -> Result<Response, ApiError> {
    operator(&state, request)?;
    let node = &state.node;
    let version = node.config.get().version();
    let config = node.config_io.status();
    json(&StatusAnswer {
        vm: node.own,
        zone: node.zone.clone(),
        version,
        unconfirmed_zones: config.unconfirmed_zones(version),
        config,
        members: members(node),
        targets: lock(&node.targets).len(),
        in_flight: node.gate.in_flight(),
        stops: stops(node),
        counters: counters(node),
    })
}

fn members(node: &NodeState) -> Vec<ZoneMembersAnswer> {
    let now = node.clock.now();
    let mut reachable = BTreeMap::new();
    for row in lock(&node.membership).members(now).filter(|row| row.state.is_reachable()) {
        *reachable.entry(row.zone).or_insert(0) += 1;
    }
    reachable.into_iter().map(|(zone, reachable)| ZoneMembersAnswer { zone, reachable }).collect()
}

fn stops(node: &NodeState) -> Vec<StopAnswer> {
    let config = node.config.get();
    let own =
        node.gate.usable_target().map(|target| local_target_identity(node.own, &node.zone, node.peer_address, &target));
    let now_unix_ms = wall_ms() as i64;
    let answers = config.stops().rows().iter().map(|row| {
        let includes_own_target = own.as_ref().is_some_and(|facts| facts.is_stopped_by(&row.scope));
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
    answers.collect()
}

fn counters(node: &NodeState) -> Vec<CounterAnswer> {
    let named = node.counters.named();
    named.iter().map(|named| CounterAnswer { name: named.name.to_owned(), value: named.counter.get() }).collect()
}
