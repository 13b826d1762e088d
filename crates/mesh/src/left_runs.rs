//! Runs of the target that have left. A node that starts again must not use them, whatever late announcements say. See
//! `docs/DRAIN.md`.
//!
//! The store keeps them in a record for each node. While it does not answer, a starting node asks others, to which
//! status messages have reported leaving runs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmartrestle_core::{TimeUs, lock};
use fulmartrestle_platform_log::{KeyedRecord, LogError, PlatformLog, StreamName};

use crate::event_log::LogLine;
use crate::local_target::TargetRun;
use crate::node_messages::LeftRunsResponse;
use crate::peer_streams::LEFT_RUNS_PATH;
use crate::state::MeshState;
use crate::store_polling::StoreBackoff;

/// Prefix of the keys of the records; the node's peer address follows. Builds that don't know the records pass over keys
/// that are no address.
const KEY_PREFIX: &str = "left-";

/// Runs that are kept on the store for each node.
const MAX_SAVED_RUNS: usize = 4;

/// Longest time that an acknowledgement waits until the store holds the run, in milliseconds. Targets wait a second for it.
/// After that the run is known to this process, and to the other nodes by its status.
const SAVE_LIMIT_MS: u64 = 600;

/// Longest time until a run that was not announced as leaving is saved, in milliseconds.
const SAVE_INTERVAL_MS: u64 = 1_000;

/// Time for the store to answer before what other nodes say suffices, in milliseconds.
const STORE_LIMIT_MS: u64 = 500;

/// Time after the start from which the target is used although neither the store nor another node has answered, in
/// milliseconds.
const LEARN_LIMIT_MS: u64 = 3_000;

/// Interval between two requests to other nodes, in milliseconds.
const ASK_INTERVAL_MS: u64 = 100;

/// Time for another node to respond, in milliseconds.
const ASK_LIMIT_MS: u64 = 300;

/// Largest response of another node, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1_024;

/// Applies what the store holds about this node's target, and saves what it lacks.
pub fn apply_stored_left_runs(state: &MeshState, records: &[KeyedRecord]) {
    let key = record_key(state);
    let stored = match records.iter().find(|record| record.key == key && !record.value.is_empty()) {
        None => Vec::new(),
        Some(record) => serde_json::from_slice::<Vec<TargetRun>>(&record.value).unwrap_or_else(|error| {
            state.log(LogLine::new("left_runs_unreadable").text("key", &key).text("detail", error));
            Vec::new()
        }),
    };
    state.gate.apply_left_runs(&stored);
    state.saved_left_runs.send_replace(Some(stored));
    state.left_runs_due.notify_one();
    set_known(state, "store");
}

/// Writes the runs that have left to the store whenever they change, until the task is aborted.
pub async fn save_left_runs(state: Arc<MeshState>, store: Arc<dyn PlatformLog>, stream: StreamName) {
    let mut backoff = StoreBackoff::default();
    loop {
        // A timeout is the usual end of the pause.
        let interval = Duration::from_millis(SAVE_INTERVAL_MS);
        let _ = tokio::time::timeout(interval, state.left_runs_due.notified()).await;
        while let Err(error) = save_changes(&state, store.as_ref(), &stream).await {
            state.metrics.increment("store_failed", "left_runs");
            state.log(LogLine::new("left_runs_not_saved").text("detail", error));
            tokio::time::sleep(Duration::from_millis(backoff.next_delay_ms(state.random_unit()))).await;
        }
        backoff.reset();
    }
}

async fn save_changes(state: &MeshState, store: &dyn PlatformLog, stream: &StreamName) -> Result<(), LogError> {
    let runs = state.gate.left_runs(MAX_SAVED_RUNS);
    // Before the first answer of the store, the record may hold runs that this node does not know and would remove.
    let needs_write = state.saved_left_runs.borrow().as_deref().is_some_and(|saved| !is_saved(Some(saved), &runs));
    if !needs_write {
        return Ok(());
    }
    let value = serde_json::to_vec(&runs).map_err(|error| LogError::BadRequest(error.to_string()))?;
    store.append(stream, vec![KeyedRecord::encode(&record_key(state), &value)]).await?;
    let line = LogLine::new("left_runs_saved").number("runs", runs.len() as u64);
    state.log(line.optional_text("instance", runs.first().map(|run| &run.instance)));
    state.saved_left_runs.send_replace(Some(runs));
    Ok(())
}

/// Returns whether the store holds all of `runs`. What it holds is not known before the first answer.
fn is_saved(saved: Option<&[TargetRun]>, runs: &[TargetRun]) -> bool {
    runs.iter().all(|run| saved.is_some_and(|saved| saved.contains(run)))
}

/// Waits until the store holds the runs that have left by now, or for as long as an acknowledgement may wait.
pub async fn wait_until_saved(state: &MeshState) {
    let runs = state.gate.left_runs(MAX_SAVED_RUNS);
    let mut saved = state.saved_left_runs.subscribe();
    state.left_runs_due.notify_one();
    let waiting = saved.wait_for(|saved| is_saved(saved.as_deref(), &runs));
    if tokio::time::timeout(Duration::from_millis(SAVE_LIMIT_MS), waiting).await.is_err() {
        let line = LogLine::new("left_runs_not_saved").text("detail", "acknowledged without the store");
        state.log(line);
    }
}

/// Asks other nodes for the runs that have left if the store does not answer after the start of this one.
pub async fn learn_left_runs(state: Arc<MeshState>) {
    let mut asked = Vec::new();
    let mut answers = 0;
    while !state.gate.knows_left_runs() {
        tokio::time::sleep(Duration::from_millis(ASK_INTERVAL_MS)).await;
        let zone = state.settings().availability_zone.clone();
        let live = lock(&state.peers).live_addresses_nearest_first(&zone, state.now());
        if let Some(address) = live.into_iter().find(|address| !asked.contains(address)) {
            asked.push(address);
            answers += usize::from(ask_node(&state, address).await);
        }
        match decide_known(state.started_at, answers, state.now()) {
            Some(source) => set_known(&state, source),
            None => continue,
        }
    }
}

/// Returns what suffices to use the target although the store has not answered; `None` if nothing does yet.
fn decide_known(started_at: TimeUs, answers: usize, now: TimeUs) -> Option<&'static str> {
    match now.ms_since(started_at) {
        LEARN_LIMIT_MS.. => Some("no answer"),
        STORE_LIMIT_MS.. if answers > 0 => Some("other nodes"),
        _ => None,
    }
}

/// Applies what one node knows. Returns whether it answered.
async fn ask_node(state: &MeshState, address: std::net::SocketAddr) -> bool {
    let request = async {
        let connection = state.peer_connections.connection(address).await?;
        connection.request::<LeftRunsResponse>(LEFT_RUNS_PATH, Bytes::new(), MAX_RESPONSE_BYTES).await
    };
    match tokio::time::timeout(Duration::from_millis(ASK_LIMIT_MS), request).await {
        Ok(Ok(response)) => {
            state.gate.apply_left_runs_elsewhere(response.runs);
            true
        }
        // Builds that don't know the request reject it.
        Ok(Err(_)) | Err(_) => false,
    }
}

/// Returns the runs of all targets that this node has seen leave.
pub fn left_runs_response(state: &MeshState) -> LeftRunsResponse {
    let mut runs = state.gate.left_runs(MAX_SAVED_RUNS);
    let run = |(instance, started_unix_ms): (&str, i64)| TargetRun { instance: instance.to_owned(), started_unix_ms };
    runs.extend(lock(&state.load_balancer).leaving_runs().map(run));
    LeftRunsResponse { runs }
}

fn set_known(state: &MeshState, source: &str) {
    if state.gate.set_left_runs_known() {
        state.log(LogLine::new("left_runs_known").text("source", source));
    }
}

fn record_key(state: &MeshState) -> String {
    format!("{KEY_PREFIX}{}", state.settings().peer_address)
}
