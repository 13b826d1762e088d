//! Follows the operator's configuration on the store.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmartrestle_core::{LogOffset, TimeUs, Version, lock};
use fulmartrestle_platform_log::{KeyedRecord, LogError, PlatformLog, StreamName};

use crate::config_position::{ConfigPosition, KnownVersions};
use crate::evacuation::{apply_evacuation_listing, apply_evacuation_records};
use crate::event_log::LogLine;
use crate::platform::{DecodedConfig, StoreLayout};
use crate::settled_era::settled_era_record;
use crate::state::{ActiveConfig, MeshState};
use crate::store_polling::{ReadReason, StoreBackoff, StoreRole, StoreStep, StoreView};

/// Maximum number of records requested in one read.
const MAX_READ_RECORDS: usize = 64;

/// Maximum number of log lines about values of one version that cannot be read.
const MAX_LOGGED_WARNINGS: usize = 20;

/// Follows the configuration and the evacuated zones until the task is aborted.
pub async fn follow_config(state: Arc<MeshState>, store: Arc<dyn PlatformLog>, layout: StoreLayout) {
    let draw = state.random_unit();
    let position = ConfigPosition::new(state.settings().first_start);
    let mut follower = ConfigFollower {
        state,
        store,
        stream: layout.operator_stream,
        config_key: layout.config_key,
        position,
        nodes_stream: layout.nodes_stream,
        last_read_at: None,
        last_role: None,
        draw,
        evacuation_key_prefix: layout.evacuation_key_prefix,
    };
    let mut connected = None;
    let mut backoff = StoreBackoff::default();
    loop {
        let error = match follower.step().await {
            Ok(StepOutcome::NotRead) => continue,
            Ok(StepOutcome::Read) => None,
            Err(error) => Some(error),
        };
        let state = &follower.state;
        state.reaches_store.store(error.is_none(), Ordering::Relaxed);
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
    state.apply_cold_limit();
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

/// Result of one step.
enum StepOutcome {
    /// The store responded.
    Read,
    /// Nothing was read: the node relies on others, or something changed while it waited.
    NotRead,
}

/// Reads the records of the operator's stream in their order.
struct ConfigFollower {
    state: Arc<MeshState>,
    store: Arc<dyn PlatformLog>,
    stream: StreamName,
    config_key: String,
    position: ConfigPosition,
    last_read_at: Option<TimeUs>,
    last_role: Option<StoreRole>,
    /// Spreads the reads of nodes that miss a confirmation at the same time.
    draw: f64,
    evacuation_key_prefix: String,
    /// Stream that holds the settled era.
    nodes_stream: StreamName,
}

impl ConfigFollower {
    async fn step(&mut self) -> Result<StepOutcome, LogError> {
        let now = self.state.now();
        let view = self.view(now);
        self.log_role(view.role);
        match StoreStep::next(view, self.state.settings().bounds.store_bounds()) {
            StoreStep::Read { wait_ms, reason } => {
                self.record_reason(view, reason);
                let confirms_for_others = view.role == StoreRole::Confirming || reason == ReadReason::Unconfirmed;
                let result = self.read_next(wait_ms, view, confirms_for_others, now).await;
                if view.role == StoreRole::Confirming && result.is_ok() {
                    self.save_settled_era(now).await;
                }
                if !matches!(result, Ok(StepOutcome::NotRead)) {
                    self.last_read_at = Some(self.state.now());
                }
                result
            }
            StoreStep::Sleep { for_ms } => {
                // A timeout is the usual end of the pause.
                let _ = tokio::time::timeout(Duration::from_millis(for_ms), self.state.store_due.notified()).await;
                Ok(StepOutcome::NotRead)
            }
        }
    }

    fn log_role(&mut self, role: StoreRole) {
        if self.last_role.replace(role) != Some(role) {
            self.state.log(LogLine::new("store_role").text("role", role.as_str()));
        }
    }

    fn record_reason(&self, view: StoreView, reason: ReadReason) {
        self.state.metrics.increment("store_reads", reason.as_str());
        if reason == ReadReason::Unconfirmed {
            let line = LogLine::new("config_unconfirmed")
                .text("role", view.role.as_str())
                .optional_text("config_age_ms", view.age_ms)
                .optional_text("estimated_age_ms", view.estimated_age_ms);
            self.state.log(line);
        }
    }

    fn view(&mut self, now: TimeUs) -> StoreView {
        let must_read_evacuation = lock(&self.state.evacuation).must_read();
        let peers = lock(&self.state.peers);
        let own_version = self.state.config().map_or(Version(0), |config| config.version());
        StoreView {
            role: StoreRole::of(self.state.node_id, &peers.live_store_readers(now)),
            age_ms: self.state.config_age_ms(now),
            estimated_age_ms: lock(&self.state.freshness).estimated_age_ms(now),
            draw: self.draw,
            since_read_ms: self.last_read_at.map(|read_at| now.ms_since(read_at)),
            is_behind: peers.highest_version(now) > own_version
                || self.position.next_offset(self.store.era(), now).is_none()
                || must_read_evacuation,
        }
    }

    /// Reads new records. Only a read that reaches the end of the log proves that no newer version exists, and
    /// only as of the moment the read started. If it `confirms_for_others`, they are told at once.
    async fn read_next(
        &mut self,
        wait_ms: u64,
        view: StoreView,
        confirms_for_others: bool,
        started: TimeUs,
    ) -> Result<StepOutcome, LogError> {
        let Some(from) = self.position.next_offset(self.store.era(), started) else {
            let page = self.store.read_latest(&self.stream).await?;
            if self.apply_records(&page.records, page.end_offset, true, confirms_for_others, started) {
                let era = self.store.era().unwrap_or_default();
                let prefix = &self.evacuation_key_prefix;
                apply_evacuation_listing(&self.state, prefix, era, page.end_offset, &page.records);
            }
            return Ok(StepOutcome::Read);
        };
        let long_poll = self.store.read_long_poll(&self.stream, from, MAX_READ_RECORDS, wait_ms);
        let read = tokio::select! {
            read = long_poll => read,
            () = self.wait_until_due(view), if wait_ms > 0 => return Ok(StepOutcome::NotRead),
        };
        let page = match read {
            Err(LogError::Trimmed { .. } | LogError::BadRequest(_)) => {
                // The store does not hold the offset, but it keeps the latest record of each key.
                self.position.restart();
                return Ok(StepOutcome::Read);
            }
            read => read?,
        };
        let records: Vec<_> = page.records.iter().filter_map(KeyedRecord::decode).collect();
        if self.apply_records(
            &records,
            page.next_offset,
            page.next_offset >= page.end_offset,
            confirms_for_others,
            started,
        ) {
            let era = self.store.era().unwrap_or_default();
            let end_offset = Some(page.next_offset).filter(|next_offset| *next_offset >= page.end_offset);
            apply_evacuation_records(&self.state, &self.evacuation_key_prefix, era, &records, end_offset);
        }
        Ok(StepOutcome::Read)
    }

    /// Writes the present era to the store once the configuration was confirmed in it by a read that started at `started`, for
    /// nodes that start later.
    async fn save_settled_era(&self, started: TimeUs) {
        let state = &self.state;
        let Some(era) = self.store.era() else { return };
        let is_confirmed = lock(&state.freshness).is_confirmed_since(started);
        // The era may have changed after the read, or a peer may have confirmed the last one.
        if !is_confirmed || !self.position.is_settled_in(era) || *lock(&state.settled_era) == Some(era) {
            return;
        }
        match self.store.append(&self.nodes_stream, vec![settled_era_record(era)]).await {
            // The record may be lost again if the era changed meanwhile.
            Ok(_) if self.store.era() == Some(era) => *lock(&state.settled_era) = Some(era),
            Ok(_) => {}
            Err(error) => state.log(LogLine::new("settled_era_not_saved").number("era", era.0).text("detail", error)),
        }
    }

    /// Waits until the last confirmation is so old that this node must read without waiting, or until another node
    /// has a newer version.
    async fn wait_until_due(&self, view: StoreView) {
        loop {
            let now = self.state.now();
            let (age_ms, estimated_age_ms) = {
                let freshness = lock(&self.state.freshness);
                (freshness.age_ms(now), freshness.estimated_age_ms(now))
            };
            let view = StoreView { age_ms, estimated_age_ms, ..view };
            let left = Duration::from_millis(view.confirmed_for_ms(self.state.settings().bounds.store_bounds()));
            if left.is_zero() || tokio::time::timeout(left, self.state.store_due.notified()).await.is_ok() {
                return;
            }
        }
    }

    /// Applies records in their order. If a version does not parse, the active configuration does not count as
    /// confirmed, because that version may have revoked keys. Returns whether the records belong to the current era.
    fn apply_records(
        &mut self,
        records: &[KeyedRecord],
        next_offset: LogOffset,
        at_end: bool,
        confirms_for_others: bool,
        started: TimeUs,
    ) -> bool {
        let mut all_valid = true;
        let mut last_config = None;
        for record in records.iter().filter(|record| record.key == self.config_key) {
            all_valid &= apply_config(&self.state, &record.value, "store");
            last_config = Some(record.offset);
        }
        let era = self.store.era();
        if !self.position.advance(era, next_offset, last_config) {
            self.state.log(LogLine::new("store_era_changed").optional_text("era", era));
            return false;
        }
        let now = self.state.now();
        let (peers, knows_versions) = {
            let peers = lock(&self.state.peers);
            (peers.highest_version(now), peers.knows_versions(self.state.started_at, now))
        };
        let own = self.state.config().map_or(Version(0), |config| config.version());
        let versions = KnownVersions { own, peers };
        if let Some(era) = *lock(&self.state.settled_era) {
            self.position.set_settled(era);
        }
        let proves_newest = at_end && self.position.proves_newest(versions, now);
        // A node that has just started can't tell whether the store came back from an older copy before.
        if all_valid && knows_versions && proves_newest {
            lock(&self.state.freshness).record_confirmation(started);
            if confirms_for_others {
                self.state.status_due.notify_one();
            }
        }
        true
    }
}
