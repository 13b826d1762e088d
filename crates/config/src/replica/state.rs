//! The replicated state and the rule by which records change it.

use std::sync::Arc;

use fulmartrestle_core::{LogOffset, Version};

use super::logged_snapshots::LoggedSnapshots;
use super::{CertificationResult, ConfigHash, History, LogRecord, Snapshot};
use crate::fleet::FleetConfig;
use crate::plan::Plan;

/// Records after which a snapshot is written again: it bounds what a starting node has to read and
/// hold back before it finds one.
pub const SNAPSHOT_AFTER_RECORDS: u64 = 1_000;

/// A snapshot is written again when a third of the log's retention has passed: two attempts may
/// fail before the last one is trimmed.
const SNAPSHOTS_PER_RETENTION: i64 = 3;

/// The state of a replica after all records before `next_offset`.
#[derive(Clone, Debug)]
pub(super) struct State {
    pub(super) next_offset: LogOffset,
    pub(super) config: Arc<FleetConfig>,
    pub(super) history: History,
    pub(super) hash: ConfigHash,
    /// The snapshots that stand in the log, as far as records were applied.
    pub(super) logged: LoggedSnapshots,
}

impl State {
    /// Returns the state before the first record of the log.
    pub(super) fn genesis() -> Self {
        Self {
            next_offset: LogOffset(0),
            config: Arc::default(),
            history: History::default(),
            hash: ConfigHash::EMPTY,
            logged: LoggedSnapshots::default(),
        }
    }

    pub(super) fn from_snapshot(snapshot: Snapshot) -> Self {
        Self {
            next_offset: snapshot.next_offset,
            config: Arc::new(snapshot.config),
            history: snapshot.history,
            hash: snapshot.hash,
            logged: snapshot.logged,
        }
    }

    pub(super) fn to_snapshot(&self) -> Snapshot {
        Snapshot {
            next_offset: self.next_offset,
            config: FleetConfig::clone(&self.config),
            history: self.history.clone(),
            hash: self.hash,
            logged: self.logged.clone(),
        }
    }

    /// Applies the record at `next_offset`.
    pub(super) fn apply(&mut self, record: &LogRecord) -> Option<CertificationResult> {
        let offset = self.next_offset;
        self.next_offset = LogOffset(offset.0 + 1);
        match record {
            LogRecord::Confirm(plan) => Some(self.confirm(offset, plan)),
            LogRecord::Snapshot(part) => {
                self.logged.note(part);
                self.hash = self.hash.after(offset, None, "snapshot");
                None
            }
            LogRecord::Unreadable => {
                self.hash = self.hash.after(offset, None, "unreadable");
                None
            }
        }
    }

    /// Decides on a confirmed plan. A plan that is confirmed again gets its first result; one that
    /// bears another plan's id leaves no trace in the history, so that it can't hide that plan.
    fn confirm(&mut self, offset: LogOffset, plan: &Plan) -> CertificationResult {
        if plan.expected_id() != plan.id {
            self.hash = self.hash.after(offset, Some(plan.id), "forged");
            return CertificationResult::Invalid;
        }
        if let Some(result) = self.history.result_of(plan.id) {
            self.hash = self.hash.after(offset, Some(plan.id), "repeated");
            return result;
        }
        let result = self.certify(offset, plan);
        if let CertificationResult::Committed { version } = result {
            self.config = Arc::new(self.config.with_changes(version, &plan.writes));
        }
        self.history.push(plan, offset, result);
        self.hash = self.hash.after(offset, Some(plan.id), result.as_str());
        result
    }

    fn certify(&self, offset: LogOffset, plan: &Plan) -> CertificationResult {
        if plan.validate().is_err() || plan.base > self.config.version() {
            return CertificationResult::Invalid;
        }
        let oldest = self.history.oldest_base();
        if plan.base < oldest {
            return CertificationResult::BaseTooOld { oldest };
        }
        match self.history.conflict(plan.base, &plan.rows_touched()) {
            Some(lost_to) => CertificationResult::Conflict { lost_to },
            None => CertificationResult::Committed { version: Version(offset.0 + 1) },
        }
    }

    /// Returns whether a snapshot should be appended now, given how long the log keeps records.
    pub(super) fn needs_snapshot(&self, now_unix_ms: i64, retention_ms: i64) -> bool {
        let Some(logged) = self.logged.last() else { return self.next_offset.0 > 0 };
        let records = self.next_offset.0.saturating_sub(logged.next_offset.0);
        let age_ms = now_unix_ms.saturating_sub(logged.written_at_unix_ms);
        records >= SNAPSHOT_AFTER_RECORDS || age_ms >= retention_ms / SNAPSHOTS_PER_RETENTION
    }
}
