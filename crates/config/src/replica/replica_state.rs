//! A replica of the configuration, built from the configuration stream.

use std::sync::Arc;

use fulmartrestle_core::{LogOffset, Version};
use fulmartrestle_derive::local;

use super::catch_up::{CatchUp, CaughtUp};
use super::{CertificationResult, ConfigHash, History, HistoryEntry, LogRecord, Snapshot, State};
use crate::fleet::FleetConfig;
use crate::plan::PlanId;

/// The outcome of applying a record to a replica.
#[local]
#[derive(Copy, Eq)]
pub enum ApplyOutcome {
    /// The record was applied. Contains the result of certification if the record confirms a plan.
    Applied(Option<CertificationResult>),
    /// The record was already applied.
    AlreadyApplied,
    /// The record was not applied, because records before it are missing.
    Gap,
    /// The record was buffered until the log yields a complete snapshot.
    Buffered,
}

/// A pure state machine that applies the log's records in order. It starts without a state and obtains one from
/// either the log's first record or a snapshot. It never returns to an older state.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    state: Option<State>,
    catch_up: Option<CatchUp>,
}

impl Replica {
    /// Sets the offset of the first record that the log retains. From offset zero a replica without a state
    /// starts empty; if records that it lacks have been trimmed, it looks for a snapshot in the log.
    pub fn set_first_retained(&mut self, first_retained: LogOffset) {
        if self.state.is_none() && first_retained.0 == 0 {
            self.state = Some(State::initial());
        }
        if first_retained > self.next_offset() {
            self.catch_up = Some(CatchUp::new(first_retained));
        }
    }

    /// Returns the offset of the next record to read. While the replica catches up from a snapshot, it is beyond
    /// [`Replica::applied_offset`].
    pub fn next_offset(&self) -> LogOffset {
        let applied_offset = self.state.as_ref().map_or(LogOffset(0), |state| state.next_offset);
        self.catch_up.as_ref().map_or(applied_offset, |catch_up| applied_offset.max(catch_up.next_offset()))
    }

    /// Returns the offset of the first record that has not been applied.
    pub fn applied_offset(&self) -> LogOffset {
        self.state.as_ref().map_or(LogOffset(0), |state| state.next_offset)
    }

    /// Applies the record at `offset`.
    pub fn apply_record(&mut self, offset: LogOffset, record: &LogRecord) -> ApplyOutcome {
        if let Some(state) = &mut self.state
            && offset == state.next_offset
        {
            let result = state.apply(record);
            self.end_catch_up_if_done();
            return ApplyOutcome::Applied(result);
        }
        let next_offset = self.next_offset();
        if offset < next_offset {
            return ApplyOutcome::AlreadyApplied;
        }
        if offset > next_offset {
            return ApplyOutcome::Gap;
        }
        let Some(catch_up) = &mut self.catch_up else { return ApplyOutcome::Gap };
        let caught_up = catch_up.add_record(record);
        caught_up.map_or(ApplyOutcome::Buffered, |caught_up| self.install_and_replay(caught_up))
    }

    /// Ends catching up once it is no longer needed: records or a snapshot from a peer may close the gap before
    /// the snapshot in the log does.
    fn end_catch_up_if_done(&mut self) {
        let applied_offset = self.applied_offset();
        self.catch_up.take_if(|catch_up| !catch_up.is_needed_at(applied_offset));
    }

    /// Installs a snapshot from the log and applies the records that follow it.
    fn install_and_replay(&mut self, caught_up: CaughtUp) -> ApplyOutcome {
        if !self.install_snapshot(caught_up.snapshot) {
            return ApplyOutcome::Buffered;
        }
        let Some(state) = &mut self.state else { return ApplyOutcome::Buffered };
        let mut result = None;
        for record in &caught_up.records {
            result = state.apply(record);
        }
        ApplyOutcome::Applied(result)
    }

    /// Replaces the state by a snapshot from the log or from a peer, if the snapshot is newer. Returns whether it
    /// was installed.
    pub fn install_snapshot(&mut self, snapshot: Snapshot) -> bool {
        let is_newer = match &self.state {
            Some(state) => snapshot.next_offset > state.next_offset,
            None => true,
        };
        if is_newer {
            self.state = Some(State::from_snapshot(snapshot));
            self.end_catch_up_if_done();
        }
        is_newer
    }

    /// Returns the configuration, or `None` without a state.
    pub fn config(&self) -> Option<&Arc<FleetConfig>> {
        self.state.as_ref().map(|state| &state.config)
    }

    /// Returns the configuration's version, zero without a state.
    pub fn version(&self) -> Version {
        self.state.as_ref().map_or(Version(0), |state| state.config.version())
    }

    /// Returns the hash over all applied records and their results.
    pub fn hash(&self) -> ConfigHash {
        self.state.as_ref().map_or(ConfigHash::EMPTY, |state| state.hash)
    }

    /// Returns the latest certified plans, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &HistoryEntry> {
        self.state.iter().flat_map(|state| state.history.entries())
    }

    /// Returns the result of certifying `plan`, if its record has been read. `None` after the log has been read to
    /// its end since the append means that the append was lost or is delayed; appending it again is harmless.
    pub fn certification_result(&self, plan: PlanId) -> Option<CertificationResult> {
        self.state.as_ref().and_then(|state| state.history.certification_result(plan))
    }

    /// Returns the oldest base version that a plan may have.
    pub fn oldest_base(&self) -> Version {
        self.state.as_ref().map_or(Version(0), |state| History::oldest_base(&state.history))
    }

    /// Returns a snapshot of the whole state, or `None` without a state.
    pub fn snapshot(&self) -> Option<Snapshot> {
        self.state.as_ref().map(State::to_snapshot)
    }

    /// Returns whether a snapshot should be written to the log, which retains records for `retention_ms`.
    pub fn needs_snapshot(&self, now_unix_ms: i64, retention_ms: i64) -> bool {
        self.state.as_ref().is_some_and(|state| state.needs_snapshot(now_unix_ms, retention_ms))
    }
}
