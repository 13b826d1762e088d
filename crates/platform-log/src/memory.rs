//! In-memory implementation of the platform's log.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_trait::async_trait;
use fulmartrestle_core::{LogEra, LogOffset};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::stream::Stream;
use crate::{LatestRecords, LogError, LogFaults, LogStats, PlatformLog, ReadPage, StreamName};

/// An in-memory log with fault injection, for tests and the demo.
#[derive(Debug, Default)]
pub struct MemoryLog {
    state: Mutex<State>,
    appended: Notify,
}

#[derive(Debug, Default)]
struct State {
    streams: BTreeMap<StreamName, Stream>,
    faults: LogFaults,
    stats: LogStats,
    era: LogEra,
}

impl MemoryLog {
    /// Returns an empty log without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a copy of the current faults.
    pub fn faults(&self) -> LogFaults {
        self.lock().faults.clone()
    }

    /// Replaces the current faults.
    pub fn set_faults(&self, faults: LogFaults) {
        self.lock().faults = faults;
    }

    /// Changes the current faults in place, so that faults which `change` leaves alone stay as they are.
    pub fn change_faults(&self, change: impl FnOnce(&mut LogFaults)) {
        change(&mut self.lock().faults);
    }

    /// Removes the records of `stream` before the offset `before`, as the platform does when retention ends.
    pub fn trim_before(&self, stream: &StreamName, before: LogOffset) {
        if let Some(stream) = self.lock().streams.get_mut(stream) {
            stream.trim_before(before);
        }
    }

    /// Replaces the log by a copy of itself that is `age_ms` milliseconds old, and starts a new era. Later records
    /// are gone, and their offsets are assigned again.
    pub fn restore_copy(&self, age_ms: u64) {
        let mut state = self.lock();
        let copied_ms = wall_ms().saturating_sub(age_ms);
        state.streams.values_mut().for_each(|stream| stream.remove_newer(copied_ms));
        state.era.0 += 1;
        drop(state);
        self.appended.notify_waiters();
    }

    /// Returns the request counters.
    pub fn stats(&self) -> LogStats {
        self.lock().stats
    }

    /// Locks the state. A poisoned lock is still usable, because no method leaves the state partially changed.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sleeps for half of [`LogFaults::slow_ms`].
    async fn sleep_half_delay(&self) {
        let slow_ms = self.lock().faults.slow_ms;
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms) / 2).await;
        }
    }
}

impl State {
    /// Appends at `wall_ms`, in milliseconds since the Unix epoch, which retention counts from.
    fn append(&mut self, stream: &StreamName, records: Vec<Vec<u8>>, wall_ms: u64) -> Result<LogOffset, LogError> {
        if records.is_empty() {
            return Err(LogError::BadRequest("an append needs at least one record".to_owned()));
        }
        if self.faults.consume_append_refusal() {
            self.stats.refused_appends += 1;
            return Err(LogError::Unavailable);
        }
        self.stats.appends += 1;
        self.stats.records += records.len() as u64;
        let offset = self.stream_mut(stream, wall_ms).append(records, wall_ms);
        if self.faults.consume_lost_response(self.stats.appends) {
            self.stats.lost_answers += 1;
            return Err(LogError::ResponseLost);
        }
        Ok(offset)
    }

    fn read(&mut self, stream: &StreamName, from: LogOffset, max: usize, wall_ms: u64) -> Result<ReadPage, LogError> {
        self.stats.reads += 1;
        if self.faults.down {
            return Err(LogError::Unavailable);
        }
        if !self.streams.contains_key(stream) {
            return Stream::default().read(from, max);
        }
        self.stream_mut(stream, wall_ms).read(from, max)
    }

    fn read_latest(&mut self, stream: &StreamName) -> Result<LatestRecords, LogError> {
        self.stats.reads += 1;
        if self.faults.down {
            return Err(LogError::Unavailable);
        }
        let empty = LatestRecords { records: Vec::new(), end_offset: LogOffset(0) };
        Ok(self.streams.get(stream).map_or(empty, Stream::read_latest))
    }

    /// Returns the stream after removing its expired records; creates it if needed.
    fn stream_mut(&mut self, stream: &StreamName, wall_ms: u64) -> &mut Stream {
        let retention_ms = self.faults.retention_ms;
        let stream = self.streams.entry(stream.clone()).or_default();
        if retention_ms > 0 {
            stream.remove_expired(retention_ms, wall_ms);
        }
        stream
    }
}

#[async_trait]
impl PlatformLog for MemoryLog {
    async fn append(&self, stream: &StreamName, records: Vec<Vec<u8>>) -> Result<LogOffset, LogError> {
        self.sleep_half_delay().await;
        let result = self.lock().append(stream, records, wall_ms());
        self.appended.notify_waiters();
        self.sleep_half_delay().await;
        result
    }

    async fn read(&self, stream: &StreamName, from: LogOffset, max_records: usize) -> Result<ReadPage, LogError> {
        self.sleep_half_delay().await;
        let result = self.lock().read(stream, from, max_records, wall_ms());
        self.sleep_half_delay().await;
        result
    }

    async fn read_long_poll(
        &self,
        stream: &StreamName,
        from: LogOffset,
        max_records: usize,
        wait_ms: u64,
    ) -> Result<ReadPage, LogError> {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let appended = self.appended.notified();
            let page = self.read(stream, from, max_records).await?;
            if !page.records.is_empty() || tokio::time::timeout_at(deadline, appended).await.is_err() {
                return Ok(page);
            }
        }
    }

    async fn read_latest(&self, stream: &StreamName) -> Result<LatestRecords, LogError> {
        self.sleep_half_delay().await;
        let result = self.lock().read_latest(stream);
        self.sleep_half_delay().await;
        result
    }

    fn era(&self) -> Option<LogEra> {
        Some(self.lock().era)
    }
}

/// Returns the wall time in milliseconds since the Unix epoch.
fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
