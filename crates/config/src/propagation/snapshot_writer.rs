//! Writes snapshots to the log before its older records are trimmed.

use fulmartrestle_core::TimeUs;

use super::timing::{APPEND_TIMEOUT_MS, SNAPSHOT_RANK_DELAY_MS, SNAPSHOT_RETRY_MS};
use super::{AppendResult, ConfigEffect, LogRequestId};
use crate::replica::{LogRecord, Replica, SnapshotPart};

#[derive(Clone, Debug)]
struct Writing {
    parts: std::collections::VecDeque<SnapshotPart>,
    request_id: LogRequestId,
    since: TimeUs,
}

/// One part after the other, so that a snapshot never crowds out other appends.
#[derive(Clone, Debug, Default)]
pub(super) struct SnapshotWriter {
    writing: Option<Writing>,
    needed_since: Option<TimeUs>,
    not_before: TimeUs,
}

impl SnapshotWriter {
    /// Starts a snapshot when one is needed and it is this node's turn: the first in rank starts at
    /// once, each other one waits in case those before it don't.
    pub(super) fn tick(
        &mut self,
        now: TimeUs,
        rank: impl FnOnce() -> Option<usize>,
        is_needed: bool,
        replica: &Replica,
        now_unix_ms: i64,
        request_id: LogRequestId,
    ) -> Option<ConfigEffect> {
        if self.writing.as_ref().is_some_and(|writing| now.ms_since(writing.since) >= APPEND_TIMEOUT_MS) {
            self.abandon(now);
        }
        if !is_needed {
            self.needed_since = None;
        }
        if !is_needed || self.writing.is_some() || now < self.not_before {
            return None;
        }
        let needed_since = *self.needed_since.get_or_insert(now);
        let delay_ms = rank()? as u64 * SNAPSHOT_RANK_DELAY_MS;
        if now.ms_since(needed_since) < delay_ms {
            return None;
        }
        let parts = replica.snapshot()?.parts(now_unix_ms).into();
        self.writing = Some(Writing { parts, request_id, since: now });
        self.append_first()
    }

    /// Notes an append's answer and returns the next append. A part whose answer was lost is
    /// appended again: readers pass over a doubled part.
    pub(super) fn on_append_result(
        &mut self,
        now: TimeUs,
        request_id: LogRequestId,
        result: AppendResult,
        next_ticket: LogRequestId,
    ) -> Option<ConfigEffect> {
        let writing = self.writing.as_mut().filter(|writing| writing.request_id == request_id)?;
        writing.request_id = next_ticket;
        writing.since = now;
        match result {
            AppendResult::Appended(_) => drop(writing.parts.pop_front()),
            AppendResult::Unknown => {}
            AppendResult::Refused => self.abandon(now),
        }
        if self.writing.as_ref().is_some_and(|writing| writing.parts.is_empty()) {
            // The need ends when the parts are read back; until then no second copy is started.
            self.abandon(now);
        }
        self.append_first()
    }

    fn append_first(&self) -> Option<ConfigEffect> {
        let writing = self.writing.as_ref()?;
        let record = LogRecord::Snapshot(writing.parts.front()?.clone()).encode();
        Some(ConfigEffect::Append { request_id: writing.request_id, record })
    }

    fn abandon(&mut self, now: TimeUs) {
        self.writing = None;
        self.not_before = now.plus_ms(SNAPSHOT_RETRY_MS);
    }
}
