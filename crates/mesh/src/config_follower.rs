//! Follows the operator's configuration on the store.

use std::sync::Arc;
use std::time::Duration;

use fulmartrestle_core::{LogOffset, TimeUs, Version, lock};
use fulmartrestle_platform_log::{KeyedRecord, LogError, PlatformLog, StreamName};

use crate::config_position::{ConfigPosition, KnownVersions};
use crate::event_log::LogLine;
use crate::platform::DecodedConfig;
use crate::state::{ActiveConfig, MeshState};
use crate::store_polling::{StoreBackoff, direct_read_age_ms, long_poll_wait_ms};

/// Maximum number of records requested in one read.
const MAX_READ_RECORDS: usize = 64;

/// Maximum number of log lines about values of one version that cannot be read.
const MAX_LOGGED_WARNINGS: usize = 20;

/// Follows the configuration until the task is aborted.
pub async fn follow_config(state: Arc<MeshState>, store: Arc<dyn PlatformLog>, stream: StreamName, config_key: String) {
    let mut follower = ConfigFollower { state, store, stream, config_key, position: ConfigPosition::default() };
    let mut connected = None;
    let mut backoff = StoreBackoff::default();
    loop {
        let error = match follower.read_next().await {
            Ok(ReadOutcome::Interrupted) => continue,
            Ok(ReadOutcome::Read) => None,
            Err(error) => Some(error),
        };
        let state = &follower.state;
        if connected != Some(error.is_none()) {
            connected = Some(error.is_none());
            let event = if error.is_none() { "store_regained" } else { "store_lost" };
            let age_ms = state.config_age_ms(state.now());
            state.log(
                LogLine::new(event).optional_text("detail", error.as_ref()).optional_text("config_age_ms", age_ms),
            );
        }
        match error {
            None => backoff.reset(),
            Some(_) => {
                state.metrics.increment("store_failed", "config");
                tokio::time::sleep(Duration::from_millis(backoff.next_delay_ms(state.random_unit()))).await;
            }
        }
    }
}

/// Activates a configuration if its version is newer than the active one. Returns whether `bytes` is a valid
/// configuration, even if it is not newer.
pub fn apply_config(state: &MeshState, bytes: &[u8], source: &str) -> bool {
    let DecodedConfig { config, warnings } = match state.config_decoder.decode(bytes) {
        Ok(decoded) => decoded,
        Err(error) => {
            state.log(LogLine::new("config_rejected").text("source", source).text("detail", error));
            return false;
        }
    };
    let now = state.now();
    {
        let mut active = state.config.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        if active.config.as_ref().is_some_and(|old| old.version() >= config.version()) {
            return true;
        }
        let line = LogLine::new("config_in_force")
            .number("version", config.version().0)
            .number("routes", config.route_count() as u64)
            .text("source", source);
        state.log(line);
        let config = Arc::new(config);
        lock(&state.tokens).set_limits(&config.tenant_limits(), now);
        *active = ActiveConfig { config: Some(config), bytes: Arc::new(bytes.to_vec()) };
    }
    log_warnings(state, &warnings);
    state.status_due.notify_one();
    true
}

/// Logs what could not be read in a new version, once for each version.
fn log_warnings(state: &MeshState, warnings: &[String]) {
    for warning in warnings.iter().take(MAX_LOGGED_WARNINGS) {
        state.log(LogLine::new("config_item_unreadable").text("detail", warning));
    }
    if warnings.len() > MAX_LOGGED_WARNINGS {
        let unlogged = warnings.len() - MAX_LOGGED_WARNINGS;
        state.log(LogLine::new("config_items_unreadable").number("more", unlogged as u64));
    }
}

/// Result of one read of the store.
enum ReadOutcome {
    /// The store responded.
    Read,
    /// The long poll was abandoned, because the last confirmation became too old while it waited.
    Interrupted,
}

/// Reads the records of the operator's stream in their order.
struct ConfigFollower {
    state: Arc<MeshState>,
    store: Arc<dyn PlatformLog>,
    stream: StreamName,
    config_key: String,
    position: ConfigPosition,
}

impl ConfigFollower {
    /// Reads new records. Only a read that reaches the end of the log proves that no newer version exists, and
    /// only as of the moment the read started.
    async fn read_next(&mut self) -> Result<ReadOutcome, LogError> {
        let started = self.state.now();
        let Some(from) = self.position.next_offset(self.store.era(), started) else {
            let page = self.store.read_latest(&self.stream).await?;
            self.apply_records(&page.records, page.end_offset, true, started);
            return Ok(ReadOutcome::Read);
        };
        let wait_ms = self.poll_wait_ms(started);
        let long_poll = self.store.read_long_poll(&self.stream, from, MAX_READ_RECORDS, wait_ms);
        let read = tokio::select! {
            read = long_poll => read,
            () = wait_until_stale(&self.state), if wait_ms > 0 => return Ok(ReadOutcome::Interrupted),
        };
        let page = match read {
            Err(LogError::Trimmed { .. } | LogError::BadRequest(_)) => {
                // The store does not hold the offset, but it keeps the latest record of each key.
                self.position.restart();
                return Ok(ReadOutcome::Read);
            }
            read => read?,
        };
        let records: Vec<_> = page.records.iter().filter_map(KeyedRecord::decode).collect();
        self.apply_records(&records, page.next_offset, page.next_offset >= page.end_offset, started);
        Ok(ReadOutcome::Read)
    }

    fn poll_wait_ms(&self, now: TimeUs) -> u64 {
        let live = lock(&self.state.peers).live_nodes(now);
        let revoke_ms = self.state.settings().bounds.revoke_ms;
        long_poll_wait_ms(self.state.node_id, &live, self.state.config_age_ms(now), revoke_ms)
    }

    /// Applies records in their order. If a version does not parse, the active configuration does not count as
    /// confirmed, because that version may have revoked keys.
    fn apply_records(&mut self, records: &[KeyedRecord], next_offset: LogOffset, at_end: bool, started: TimeUs) {
        let mut all_valid = true;
        let mut last_config = None;
        for record in records.iter().filter(|record| record.key == self.config_key) {
            all_valid &= apply_config(&self.state, &record.value, "store");
            last_config = Some(record.offset);
        }
        let era = self.store.era();
        if !self.position.advance(era, next_offset, last_config) {
            self.state.log(LogLine::new("store_era_changed").optional_text("era", era));
            return;
        }
        let now = self.state.now();
        let versions = KnownVersions {
            own: self.state.config().map_or(Version(0), |config| config.version()),
            peers: lock(&self.state.peers).highest_version(now),
        };
        if all_valid && at_end && self.position.proves_newest(versions, now) {
            lock(&self.state.freshness).record_confirmation(started);
        }
    }
}

/// Waits until the last confirmation of the configuration is so old that this node must read the store itself.
async fn wait_until_stale(state: &MeshState) {
    loop {
        let max_age_ms = direct_read_age_ms(state.settings().bounds.revoke_ms);
        match state.config_age_ms(state.now()) {
            Some(age_ms) if age_ms < max_age_ms => {
                tokio::time::sleep(Duration::from_millis(max_age_ms - age_ms)).await;
            }
            _ => return,
        }
    }
}
