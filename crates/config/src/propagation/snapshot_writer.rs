//! Writes snapshots to the log before older records are trimmed.

use fulmartrestle_core::TimeUs;

use super::timing::{APPEND_TIMEOUT_MS, SNAPSHOT_RANK_DELAY_MS, SNAPSHOT_RETRY_MS};
use super::{AppendResult, ConfigEffect, LogRequestId};
use crate::replica::{LogRecord, Replica, SnapshotPart};

#[derive(Clone, Debug)]
struct SnapshotWrite {
    parts: std::collections::VecDeque<SnapshotPart>,
    request_id: LogRequestId,
    append_started_at: TimeUs,
}

/// Writes at most one snapshot at a time, one part after the other, so that a snapshot does not delay other
/// appends.
#[derive(Clone, Debug, Default)]
pub(super) struct SnapshotWriter {
    in_progress: Option<SnapshotWrite>,
    needed_since: Option<TimeUs>,
    next_attempt_at: TimeUs,
}

impl SnapshotWriter {
    /// Starts a snapshot if one is needed and it is this node's turn: the writer with the first rank starts at
    /// once, and each further one waits in case the writers before it fail. Returns the first append.
    pub(super) fn start_if_due(
        &mut self,
        now: TimeUs,
        rank: impl FnOnce() -> Option<usize>,
        is_needed: bool,
        replica: &Replica,
        now_unix_ms: i64,
        request_id: LogRequestId,
    ) -> Option<ConfigEffect> {
        if self
            .in_progress
            .as_ref()
            .is_some_and(|in_progress| now.ms_since(in_progress.append_started_at) >= APPEND_TIMEOUT_MS)
        {
            self.end_write(now);
        }
        if !is_needed {
            self.needed_since = None;
        }
        if !is_needed || self.in_progress.is_some() || now < self.next_attempt_at {
            return None;
        }
        let needed_since = *self.needed_since.get_or_insert(now);
        let delay_ms = rank()? as u64 * SNAPSHOT_RANK_DELAY_MS;
        if now.ms_since(needed_since) < delay_ms {
            return None;
        }
        let parts = replica.snapshot()?.to_parts(now_unix_ms).into();
        self.in_progress = Some(SnapshotWrite { parts, request_id, append_started_at: now });
        self.append_next_part()
    }

    /// Processes the result of an append and returns the next append. A part whose response was lost is
    /// appended again, because readers ignore a repeated part.
    pub(super) fn on_append_result(
        &mut self,
        now: TimeUs,
        request_id: LogRequestId,
        result: AppendResult,
        next_request_id: LogRequestId,
    ) -> Option<ConfigEffect> {
        let in_progress = self.in_progress.as_mut().filter(|in_progress| in_progress.request_id == request_id)?;
        in_progress.request_id = next_request_id;
        in_progress.append_started_at = now;
        match result {
            AppendResult::Appended(_) => drop(in_progress.parts.pop_front()),
            AppendResult::Unknown => {}
            AppendResult::NotAppended => self.end_write(now),
        }
        if self.in_progress.as_ref().is_some_and(|in_progress| in_progress.parts.is_empty()) {
            // A snapshot counts as written once its parts have been read back. Until then the retry delay
            // keeps a second copy from being started.
            self.end_write(now);
        }
        self.append_next_part()
    }

    fn append_next_part(&self) -> Option<ConfigEffect> {
        let in_progress = self.in_progress.as_ref()?;
        let record = LogRecord::Snapshot(in_progress.parts.front()?.clone()).encode();
        Some(ConfigEffect::Append { request_id: in_progress.request_id, record })
    }

    fn end_write(&mut self, now: TimeUs) {
        self.in_progress = None;
        self.next_attempt_at = now.plus_ms(SNAPSHOT_RETRY_MS);
    }
}
