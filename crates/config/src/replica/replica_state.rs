//! A reader of the configuration's stream.

use std::sync::Arc;

use fulmartrestle_core::{LogOffset, Version};
use fulmartrestle_derive::local;

use super::catch_up::{CatchUp, Found};
use super::{CertificationResult, ConfigHash, History, HistoryEntry, LogRecord, Snapshot, State};
use crate::fleet::FleetConfig;
use crate::plan::PlanId;

/// What a record did to a replica.
#[local]
#[derive(Copy, Eq)]
pub enum Applied {
    /// The record was applied, and decided on if it confirms a plan.
    Now(Option<CertificationResult>),
    /// The record had been applied before.
    Before,
    /// Records before this one are missing.
    Gap,
    /// The record is held back until a snapshot is found.
    HeldBack,
}

/// A pure state machine that applies the log's records in order. It starts without a state: either
/// the log's first record or a snapshot gives it one. What it holds never goes back.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    state: Option<State>,
    catch_up: Option<CatchUp>,
}

impl Replica {
    /// Tells the replica that the log's first retained record is `first`, so that it can start, or
    /// look for a snapshot when records that it lacks are gone.
    pub fn on_first_retained(&mut self, first: LogOffset) {
        if self.state.is_none() && first.0 == 0 {
            self.state = Some(State::genesis());
        }
        if first > self.next_offset() {
            self.catch_up = Some(CatchUp::from(first));
        }
    }

    /// Returns the offset of the record that the replica needs next.
    pub fn next_offset(&self) -> LogOffset {
        let applied = self.state.as_ref().map_or(LogOffset(0), |state| state.next_offset);
        self.catch_up.as_ref().map_or(applied, |catch_up| applied.max(catch_up.next_offset()))
    }

    /// Returns the first offset that has not been applied.
    pub fn applied_offset(&self) -> LogOffset {
        self.state.as_ref().map_or(LogOffset(0), |state| state.next_offset)
    }

    /// Applies the record at `offset`.
    pub fn apply_record(&mut self, offset: LogOffset, record: &LogRecord) -> Applied {
        if let Some(state) = &mut self.state
            && offset == state.next_offset
        {
            let result = state.apply(record);
            self.drop_needless_catch_up();
            return Applied::Now(result);
        }
        let wanted = self.next_offset();
        if offset < wanted {
            return Applied::Before;
        }
        if offset > wanted {
            return Applied::Gap;
        }
        let Some(catch_up) = &mut self.catch_up else { return Applied::Gap };
        let found = catch_up.push(record);
        found.map_or(Applied::HeldBack, |found| self.take_up(found))
    }

    /// Records or a snapshot of a peer may close the gap before the log's own snapshot does.
    fn drop_needless_catch_up(&mut self) {
        let applied = self.applied_offset();
        self.catch_up.take_if(|catch_up| !catch_up.is_needed_at(applied));
    }

    fn take_up(&mut self, found: Found) -> Applied {
        if !self.adopt(found.snapshot) {
            return Applied::HeldBack;
        }
        let Some(state) = &mut self.state else { return Applied::HeldBack };
        let mut result = None;
        for record in &found.records {
            result = state.apply(record);
        }
        Applied::Now(result)
    }

    /// Takes over a snapshot, from the log or from a peer, unless this replica is as far already.
    /// Returns whether it did.
    pub fn adopt(&mut self, snapshot: Snapshot) -> bool {
        let is_ahead = match &self.state {
            Some(state) => snapshot.next_offset > state.next_offset,
            None => true,
        };
        if is_ahead {
            self.state = Some(State::from_snapshot(snapshot));
            self.drop_needless_catch_up();
        }
        is_ahead
    }

    /// Returns the configuration, unless none is known yet.
    pub fn config(&self) -> Option<&Arc<FleetConfig>> {
        self.state.as_ref().map(|state| &state.config)
    }

    /// Returns the configuration's version, zero before any is known.
    pub fn version(&self) -> Version {
        self.state.as_ref().map_or(Version(0), |state| state.config.version())
    }

    /// Returns the hash over all applied records.
    pub fn hash(&self) -> ConfigHash {
        self.state.as_ref().map_or(ConfigHash::EMPTY, |state| state.hash)
    }

    /// Returns the last decided plans, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &HistoryEntry> {
        self.state.iter().flat_map(|state| state.history.entries())
    }

    /// Settles a confirm whose append may or may not have reached the log: returns what was decided
    /// on the plan, if its record has been read. `None` after reading past the append's time means
    /// that the append is lost or late; appending it again is harmless.
    pub fn certification_result(&self, plan: PlanId) -> Option<CertificationResult> {
        self.state.as_ref().and_then(|state| state.history.result_of(plan))
    }

    /// Returns the oldest base that a plan may still have.
    pub fn oldest_base(&self) -> Version {
        self.state.as_ref().map_or(Version(0), |state| History::oldest_base(&state.history))
    }

    /// Returns the whole state, unless none is known yet.
    pub fn snapshot(&self) -> Option<Snapshot> {
        self.state.as_ref().map(State::to_snapshot)
    }

    /// Returns whether a snapshot should be appended, given how long the log keeps records.
    pub fn needs_snapshot(&self, now_unix_ms: i64, retention_ms: i64) -> bool {
        self.state.as_ref().is_some_and(|state| state.needs_snapshot(now_unix_ms, retention_ms))
    }
}
