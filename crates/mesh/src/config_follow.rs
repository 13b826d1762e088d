//! Following the operator's configuration on the store.

use std::sync::Arc;
use std::time::Duration;

use fulmartrestle_core::{LogOffset, TimeUs, lock};
use fulmartrestle_platform_log::{KeyedRecord, LogError, PlatformLog, StreamName};

use crate::MeshConfig;
use crate::journal::Line;
use crate::state::{ConfigInForce, MeshState};
use crate::store_pace::{StorePause, ask_age_ms, read_wait_ms};

/// Records asked for in one read.
const READ_RECORDS: usize = 64;

/// Follows the configuration until the task is aborted.
pub async fn follow_config(state: Arc<MeshState>, store: Arc<dyn PlatformLog>, stream: StreamName, key: String) {
    let mut follower = Follower { state, store, stream, key, next: None };
    let mut connected = None;
    let mut pause = StorePause::default();
    loop {
        let failure = match follower.step().await {
            Ok(Step::GivenUp) => continue,
            Ok(Step::Read) => None,
            Err(error) => Some(error),
        };
        let state = &follower.state;
        if connected != Some(failure.is_none()) {
            connected = Some(failure.is_none());
            let event = if failure.is_none() { "store_regained" } else { "store_lost" };
            let age_ms = state.config_age_ms(state.now());
            state.log(Line::new(event).maybe("detail", failure.as_ref()).maybe("config_age_ms", age_ms));
        }
        match failure {
            None => pause.succeeded(),
            Some(_) => {
                state.metrics.count("store_failed", "config");
                tokio::time::sleep(Duration::from_millis(pause.failed(state.draw()))).await;
            }
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

/// What a step came to.
enum Step {
    /// The store answered.
    Read,
    /// The read was given up, because what is known grew too old while it waited.
    GivenUp,
}

/// Reads the operator's records one after the other.
struct Follower {
    state: Arc<MeshState>,
    store: Arc<dyn PlatformLog>,
    stream: StreamName,
    key: String,
    /// The next record; unknown until the newest of each key were read.
    next: Option<LogOffset>,
}

impl Follower {
    /// Reads what is new. Only a read that saw the end of the log proves that there is nothing newer, and it
    /// proves that for its start.
    async fn step(&mut self) -> Result<Step, LogError> {
        let started = self.state.now();
        let Some(from) = self.next else {
            let page = self.store.read_latest(&self.stream).await?;
            self.take(&page.records, page.end_offset, true, started);
            return Ok(Step::Read);
        };
        let wait_ms = self.wait_ms(started);
        let reading = self.store.read_long_poll(&self.stream, from, READ_RECORDS, wait_ms);
        let read = tokio::select! {
            read = reading => read,
            () = until_stale(&self.state), if wait_ms > 0 => return Ok(Step::GivenUp),
        };
        let page = match read {
            Err(LogError::Trimmed { .. }) => {
                // The records are gone, but the newest of each key is kept.
                self.next = None;
                return Ok(Step::Read);
            }
            read => read?,
        };
        let records: Vec<_> = page.records.iter().filter_map(KeyedRecord::decode).collect();
        self.take(&records, page.next_offset, page.next_offset >= page.end_offset, started);
        Ok(Step::Read)
    }

    fn wait_ms(&self, now: TimeUs) -> u64 {
        let live = lock(&self.state.peers).live_nodes(now);
        let revoke_ms = self.state.settings().bounds.revoke_ms;
        read_wait_ms(self.state.own, &live, self.state.config_age_ms(now), revoke_ms)
    }

    /// Puts records in force in their order. A version that can't be read may withdraw keys, so that this
    /// node does not know the newest state any more.
    fn take(&mut self, records: &[KeyedRecord], next: LogOffset, at_end: bool, started: TimeUs) {
        let mut all_read = true;
        for record in records.iter().filter(|record| record.key == self.key) {
            all_read &= apply_config(&self.state, &record.value, "store");
        }
        self.next = Some(next);
        if all_read && at_end {
            lock(&self.state.freshness).confirmed(started);
        }
    }
}

/// Waits until what is known is so old that this node must ask for itself.
async fn until_stale(state: &MeshState) {
    loop {
        let ask_age_ms = ask_age_ms(state.settings().bounds.revoke_ms);
        match state.config_age_ms(state.now()) {
            Some(age_ms) if age_ms < ask_age_ms => {
                tokio::time::sleep(Duration::from_millis(ask_age_ms - age_ms)).await;
            }
            _ => return,
        }
    }
}
