//! Claims of the calls that a node wants to run.

use std::collections::BTreeMap;

use fulmartrestle_core::{TimeUs, VmId};

use crate::{ClaimKey, ClaimSettings};

/// Where a claim stands on the node that may run its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryPhase {
    /// No verdict yet.
    Asking,
    /// The call may run, runs or has run.
    Won,
    /// The call will never run, and some batcher may have written the claim: a release is needed.
    Releasing,
    /// The call will never run, and as far as is known no record of the claim stands.
    Closed,
}

/// One claim on the node that may run its call.
#[derive(Clone, Debug)]
pub(crate) struct EntryClaim {
    pub(crate) key: ClaimKey,
    key_age_ms: u64,
    begun_at: TimeUs,
    pub(crate) phase: EntryPhase,
    /// Batchers that were asked and have not certainly dropped the claim, with the number of
    /// requests. The answer to one request says nothing about another that is still on its way.
    unsettled: BTreeMap<VmId, usize>,
    pub(crate) attempts: usize,
    refusals: usize,
    next_send_at: TimeUs,
    phase_since: TimeUs,
}

impl EntryClaim {
    pub(crate) fn new(key: ClaimKey, key_age_ms: u64, now: TimeUs) -> Self {
        Self {
            key,
            key_age_ms,
            begun_at: now,
            phase: EntryPhase::Asking,
            unsettled: BTreeMap::new(),
            attempts: 0,
            refusals: 0,
            next_send_at: now,
            phase_since: now,
        }
    }

    pub(crate) fn key_age_ms(&self, now: TimeUs) -> u64 {
        self.key_age_ms.saturating_add(now.ms_since(self.begun_at))
    }

    pub(crate) fn is_due(&self, now: TimeUs) -> bool {
        let sends = matches!(self.phase, EntryPhase::Asking | EntryPhase::Releasing);
        sends && now >= self.next_send_at
    }

    pub(crate) fn is_timed_out(&self, settings: &ClaimSettings, now: TimeUs) -> bool {
        self.phase == EntryPhase::Asking && now.ms_since(self.begun_at) >= settings.claim_timeout_ms
    }

    /// Returns whether the claim needn't be remembered any more. Until then a late reply about it
    /// may arrive.
    pub(crate) fn is_forgettable(&self, settings: &ClaimSettings, now: TimeUs) -> bool {
        let settled = matches!(self.phase, EntryPhase::Won | EntryPhase::Closed);
        settled && now.ms_since(self.phase_since) >= settings.window_ms
    }

    pub(crate) fn on_asked(&mut self, batcher: VmId, settings: &ClaimSettings, now: TimeUs) {
        *self.unsettled.entry(batcher).or_insert(0) += 1;
        self.attempts += 1;
        self.next_send_at = now.plus_ms(settings.ask_retry_ms);
    }

    pub(crate) fn on_release_sent(&mut self, settings: &ClaimSettings, now: TimeUs) {
        self.attempts += 1;
        self.next_send_at = now.plus_ms(settings.release_retry_ms);
    }

    /// Notes a refusal. Returns whether another batcher should be asked instead.
    pub(crate) fn on_refused(&mut self, from: VmId, may_be_written: bool, batchers: usize, now: TimeUs) -> bool {
        if !may_be_written {
            self.settle(from);
        }
        self.refusals += 1;
        self.next_send_at = now;
        self.refusals < batchers
    }

    pub(crate) fn on_held(&mut self, from: VmId) {
        self.settle(from);
    }

    pub(crate) fn win(&mut self, now: TimeUs) {
        self.enter(EntryPhase::Won, now);
    }

    /// Gives the claim up for good, with a release where a record may stand.
    pub(crate) fn give_up(&mut self, now: TimeUs) {
        let written = self.phase == EntryPhase::Won || !self.unsettled.is_empty();
        self.enter(if written { EntryPhase::Releasing } else { EntryPhase::Closed }, now);
    }

    /// Starts a release after a sign that a record of a given-up claim stands.
    pub(crate) fn release_again(&mut self, now: TimeUs) {
        if self.phase == EntryPhase::Closed {
            self.enter(EntryPhase::Releasing, now);
        }
    }

    pub(crate) fn close(&mut self, now: TimeUs) {
        if self.phase == EntryPhase::Releasing {
            self.unsettled.clear();
            self.enter(EntryPhase::Closed, now);
        }
    }

    fn settle(&mut self, batcher: VmId) {
        if self.unsettled.get(&batcher) == Some(&1) {
            self.unsettled.remove(&batcher);
        }
    }

    fn enter(&mut self, phase: EntryPhase, now: TimeUs) {
        self.phase = phase;
        self.attempts = 0;
        self.next_send_at = now;
        self.phase_since = now;
    }
}
