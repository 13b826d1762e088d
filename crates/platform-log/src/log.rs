//! The interface to the platform's log.

use async_trait::async_trait;
use fulmartrestle_core::{LogEra, LogOffset};

use crate::{LatestRecords, LogError, ReadPage, StreamName};

/// An append-only log of named streams. All readers see the records of a stream in the same order.
#[async_trait]
pub trait PlatformLog: Send + Sync {
    /// Appends `records` to `stream` at consecutive offsets and returns the first of these offsets.
    ///
    /// # Errors
    ///
    /// [`LogError::Unavailable`] if nothing was written, [`LogError::ResponseLost`] if the records may have
    /// been written, [`LogError::BadRequest`] if the log rejects them.
    async fn append(&self, stream: &StreamName, records: Vec<Vec<u8>>) -> Result<LogOffset, LogError>;

    /// Reads at most `max_records` records of `stream`, starting at offset `from`.
    ///
    /// # Errors
    ///
    /// [`LogError::Trimmed`] if the record at `from` is no longer held, [`LogError::BadRequest`] if `from` is
    /// past the end of the stream, [`LogError::Unavailable`] or [`LogError::ResponseLost`] if the log can't be
    /// reached.
    async fn read(&self, stream: &StreamName, from: LogOffset, max_records: usize) -> Result<ReadPage, LogError>;

    /// Reads like [`PlatformLog::read`], but waits up to `wait_ms` milliseconds for a record if there is none
    /// yet. An empty page proves only that the stream had no further record when the call started.
    ///
    /// # Errors
    ///
    /// Same as [`PlatformLog::read`].
    async fn read_long_poll(
        &self,
        stream: &StreamName,
        from: LogOffset,
        max_records: usize,
        wait_ms: u64,
    ) -> Result<ReadPage, LogError>;

    /// Returns the latest record of each key of a keyed stream.
    ///
    /// # Errors
    ///
    /// Same as [`PlatformLog::read`].
    async fn read_latest(&self, stream: &StreamName) -> Result<LatestRecords, LogError>;

    /// Returns the highest era that any response named so far, failed ones included, or `None` before the first one.
    /// When it rises, the log has lost its latest records and assigns their offsets again: a reader must start from
    /// the latest records.
    fn era(&self) -> Option<LogEra>;
}
