//! Following the operator's configuration on the store.

use std::sync::Arc;
use std::time::Duration;

use fulmartrestle_core::{LogOffset, TimeUs};
use fulmartrestle_platform_log::{KeyedRecord, LogError, PlatformLog, StreamName};
use rand::RngExt;

use crate::MeshConfig;
use crate::journal::Line;
use crate::state::{ConfigInForce, MeshState, lock};

/// Key of the configuration among what the operator writes.
const CONFIG_KEY: &str = "config";

/// How long one read waits for news, in milliseconds. Two such spans and the store's slowness must stay
/// below the time in which a withdrawn key stops working.
const READ_WAIT_MS: u64 = 1_500;

/// Records asked for in one read.
const READ_RECORDS: usize = 64;

/// Pauses after a failed read, in milliseconds, drawn between the two so that nodes do not return
/// together.
const MIN_PAUSE_MS: u64 = 80;
const MAX_PAUSE_MS: u64 = 240;

/// Follows the configuration until the task is aborted.
pub async fn follow_config(state: Arc<MeshState>, store: Arc<dyn PlatformLog>, stream: StreamName) {
    let mut next = None;
    let mut connected = None;
    loop {
        let result = step(&state, store.as_ref(), &stream, &mut next).await;
        let failure = result.err();
        if connected != Some(failure.is_none()) {
            connected = Some(failure.is_none());
            let event = if failure.is_none() { "store_regained" } else { "store_lost" };
            let age_ms = state.config_age_ms(state.now());
            state.log(Line::new(event).maybe("detail", failure.as_ref()).maybe("config_age_ms", age_ms));
        }
        if failure.is_some() {
            state.metrics.count("store_failed", "config");
            let pause_ms = lock(&state.rng).random_range(MIN_PAUSE_MS..MAX_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }
}

/// Puts a configuration in force unless it is older than the present one. Returns whether the bytes are
/// a configuration.
pub fn apply_config(state: &MeshState, bytes: &[u8], source: &str) -> bool {
    let config = match state.codec.decode(bytes) {
        Ok(config) => config,
        Err(error) => {
            state.log(Line::new("config_rejected").text("source", source).text("detail", error));
            return false;
        }
    };
    let now = state.now();
    {
        let mut in_force = state.config.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        if in_force.config.as_ref().is_some_and(|old| old.version() >= config.version()) {
            return true;
        }
        let line = Line::new("config_in_force")
            .number("version", config.version().0)
            .number("routes", config.route_count() as u64)
            .text("source", source);
        state.log(line);
        let config = Arc::new(config);
        set_rates(state, &config, now);
        *in_force = ConfigInForce { config: Some(config), bytes: Arc::new(bytes.to_vec()) };
    }
    state.status_due.notify_one();
    true
}

fn set_rates(state: &MeshState, config: &MeshConfig, now: TimeUs) {
    let first_start = state.settings().first_start;
    lock(&state.tokens).set_rates(&config.rates(), first_start, now);
}

/// Reads what is new. Only a read that saw the end of the log proves that there is nothing newer, and it
/// proves that for its start.
async fn step(
    state: &MeshState,
    store: &dyn PlatformLog,
    stream: &StreamName,
    next: &mut Option<LogOffset>,
) -> Result<(), LogError> {
    let started = state.now();
    let Some(from) = *next else {
        let page = store.newest(stream).await?;
        let newest: Vec<_> = page.records.iter().filter(|record| record.key == CONFIG_KEY).collect();
        if apply_all(state, &newest) {
            lock(&state.freshness).confirmed(started);
        }
        *next = Some(page.end);
        return Ok(());
    };
    let page = match store.read_waiting(stream, from, READ_RECORDS, READ_WAIT_MS).await {
        Err(LogError::Trimmed { .. }) => {
            // The records are gone, but the newest of each key is kept.
            *next = None;
            return Ok(());
        }
        read => read?,
    };
    let decoded: Vec<_> = page.records.iter().filter_map(KeyedRecord::decode).collect();
    let records: Vec<_> = decoded.iter().filter(|record| record.key == CONFIG_KEY).collect();
    let took = apply_all(state, &records);
    *next = Some(page.next);
    if took && page.next >= page.end {
        lock(&state.freshness).confirmed(started);
    }
    Ok(())
}

/// Puts records in force in their order. Returns whether all could be read; a version that can't be read
/// may withdraw keys, so that this node does not know the newest state any more.
fn apply_all(state: &MeshState, records: &[&KeyedRecord]) -> bool {
    let mut all_read = true;
    for record in records {
        all_read &= apply_config(state, &record.value, "store");
    }
    all_read
}
