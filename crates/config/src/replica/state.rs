//! The replicated state, and how records change it.

use std::sync::Arc;

use fulmartrestle_core::{LogOffset, Version};

use super::logged_snapshots::LoggedSnapshots;
use super::{CertificationResult, ConfigHash, History, LogRecord, Snapshot};
use crate::fleet::FleetConfig;
use crate::plan::Plan;

/// Number of records after which the next snapshot is written. It limits how many records a starting node has to
/// read and buffer until it finds a snapshot.
pub const SNAPSHOT_INTERVAL_RECORDS: u64 = 1_000;

/// Number of snapshots written per retention time of the log. With three, two attempts may fail before the last
/// snapshot is trimmed.
const SNAPSHOTS_PER_RETENTION: i64 = 3;

/// The state of a replica that has applied all records before `next_offset`.
#[derive(Clone, Debug)]
pub(super) struct State {
    pub(super) next_offset: LogOffset,
    pub(super) config: Arc<FleetConfig>,
    pub(super) history: History,
    pub(super) hash: ConfigHash,
    /// The snapshots that have been written to the log, as far as records were applied.
    pub(super) logged: LoggedSnapshots,
}

impl State {
    /// Returns the state before the first record of the log.
    pub(super) fn initial() -> Self {
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

    /// Applies the record at `next_offset` and returns the result of certification if it confirms a plan.
    pub(super) fn apply(&mut self, record: &LogRecord) -> Option<CertificationResult> {
        let offset = self.next_offset;
        self.next_offset = LogOffset(offset.0 + 1);
        match record {
            LogRecord::Confirm(plan) => Some(self.confirm(offset, plan)),
            LogRecord::Snapshot(part) => {
                self.logged.record_part(part);
                self.hash = self.hash.chain(offset, None, "snapshot");
                None
            }
            LogRecord::Unreadable => {
                self.hash = self.hash.chain(offset, None, "unreadable");
                None
            }
        }
    }

    /// Certifies a confirmed plan and applies it if it commits. A plan that is confirmed again gets its first
    /// result. A plan with a forged id is not added to the history, so that it can't hide the plan with that id.
    fn confirm(&mut self, offset: LogOffset, plan: &Plan) -> CertificationResult {
        if plan.expected_id() != plan.id {
            self.hash = self.hash.chain(offset, Some(plan.id), "forged");
            return CertificationResult::Invalid;
        }
        if let Some(result) = self.history.certification_result(plan.id) {
            self.hash = self.hash.chain(offset, Some(plan.id), "repeated");
            return result;
        }
        let result = self.certify(offset, plan);
        if let CertificationResult::Committed { version } = result {
            self.config = Arc::new(self.config.with_changes(version, &plan.writes));
        }
        self.history.add(plan, offset, result);
        self.hash = self.hash.chain(offset, Some(plan.id), result.as_str());
        result
    }

    /// Returns the result of certifying a plan against the current state.
    fn certify(&self, offset: LogOffset, plan: &Plan) -> CertificationResult {
        if plan.validate().is_err() || plan.base > self.config.version() {
            return CertificationResult::Invalid;
        }
        let oldest = self.history.oldest_base();
        if plan.base < oldest {
            return CertificationResult::BaseTooOld { oldest };
        }
        match self.history.find_conflict(plan.base, &plan.rows_accessed()) {
            Some(lost_to) => CertificationResult::Conflict { lost_to },
            None => CertificationResult::Committed { version: Version(offset.0 + 1) },
        }
    }

    /// Returns whether a snapshot should be written to the log, which retains records for `retention_ms`.
    pub(super) fn needs_snapshot(&self, now_unix_ms: i64, retention_ms: i64) -> bool {
        let Some(logged) = self.logged.last() else { return self.next_offset.0 > 0 };
        let records_since = self.next_offset.0.saturating_sub(logged.next_offset.0);
        let age_ms = now_unix_ms.saturating_sub(logged.written_at_unix_ms);
        records_since >= SNAPSHOT_INTERVAL_RECORDS || age_ms >= retention_ms / SNAPSHOTS_PER_RETENTION
    }
}
