//! The interface to the platform's log.

use async_trait::async_trait;
use fulmartrestle_core::LogOffset;

use crate::{LatestRecords, LogError, ReadPage, StreamName};

/// An append-only log with offsets. The records of one stream are in one order for all readers.
#[async_trait]
pub trait PlatformLog: Send + Sync {
    /// Appends `records` to `stream` as one run of consecutive offsets and returns the first of them.
    ///
    /// # Errors
    ///
    /// [`LogError::Unavailable`] when certainly nothing was written, [`LogError::ResponseLost`] when
    /// the records may have been written, [`LogError::BadRequest`] when the log rejects them.
    async fn append(&self, stream: &StreamName, records: Vec<Vec<u8>>) -> Result<LogOffset, LogError>;

    /// Reads at most `max_records` records of `stream`, beginning at `from`.
    ///
    /// # Errors
    ///
    /// [`LogError::Trimmed`] when `from` is older than the log keeps, [`LogError::BadRequest`] when it
    /// lies beyond the stream's end, [`LogError::Unavailable`] or [`LogError::ResponseLost`] when the log is
    /// out of reach.
    async fn read(&self, stream: &StreamName, from: LogOffset, max_records: usize) -> Result<ReadPage, LogError>;

    /// Reads like [`PlatformLog::read`], but waits up to `wait_ms` milliseconds for a record when there is
    /// none yet. An answer without records proves the stream's end as of the call's start only.
    ///
    /// # Errors
    ///
    /// As [`PlatformLog::read`].
    async fn read_long_poll(
        &self,
        stream: &StreamName,
        from: LogOffset,
        max_records: usize,
        wait_ms: u64,
    ) -> Result<ReadPage, LogError>;

    /// Returns the newest record of each key of a keyed stream.
    ///
    /// # Errors
    ///
    /// As [`PlatformLog::read`].
    async fn read_latest(&self, stream: &StreamName) -> Result<LatestRecords, LogError>;
}
