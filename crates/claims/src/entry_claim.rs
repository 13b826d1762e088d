//! Claims for the calls that arrived at this node.

use std::collections::BTreeMap;

use fulmartrestle_core::{TimeUs, VmId};

use crate::{ClaimKey, ClaimSettings};

/// State of a claim on its entry node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimPhase {
    /// A batcher has been asked to claim the key and no decision has been made.
    Requesting,
    /// The claim has won. The call may run, is running or has run.
    Won,
    /// The call will never run, but its claim may be on the log, so a release must be written.
    Releasing,
    /// The call will never run, and no unreleased record of the claim is known.
    Closed,
}

/// One claim on its entry node, the only node that may run the call under it.
#[derive(Clone, Debug)]
pub(crate) struct EntryClaim {
    pub(crate) key: ClaimKey,
    key_age_ms: u64,
    started_at: TimeUs,
    pub(crate) phase: ClaimPhase,
    /// Number of requests by batcher, for batchers that may still write the claim. The response to one
    /// request does not cover another request that is still in transit.
    outstanding_requests: BTreeMap<VmId, usize>,
    pub(crate) send_count: usize,
    refusal_count: usize,
    next_send_at: TimeUs,
    phase_entered_at: TimeUs,
}

impl EntryClaim {
    pub(crate) fn new(key: ClaimKey, key_age_ms: u64, now: TimeUs) -> Self {
        Self {
            key,
            key_age_ms,
            started_at: now,
            phase: ClaimPhase::Requesting,
            outstanding_requests: BTreeMap::new(),
            send_count: 0,
            refusal_count: 0,
            next_send_at: now,
            phase_entered_at: now,
        }
    }

    pub(crate) fn key_age_ms(&self, now: TimeUs) -> u64 {
        self.key_age_ms.saturating_add(now.ms_since(self.started_at))
    }

    pub(crate) fn is_due(&self, now: TimeUs) -> bool {
        let has_request_to_send = matches!(self.phase, ClaimPhase::Requesting | ClaimPhase::Releasing);
        has_request_to_send && now >= self.next_send_at
    }

    pub(crate) fn is_timed_out(&self, settings: &ClaimSettings, now: TimeUs) -> bool {
        self.phase == ClaimPhase::Requesting && now.ms_since(self.started_at) >= settings.claim_timeout_ms
    }

    /// Returns whether the claim can be removed. Before that, a late response to it may still arrive.
    pub(crate) fn is_removable(&self, settings: &ClaimSettings, now: TimeUs) -> bool {
        let is_final = matches!(self.phase, ClaimPhase::Won | ClaimPhase::Closed);
        is_final && now.ms_since(self.phase_entered_at) >= settings.window_ms
    }

    pub(crate) fn record_request_sent(&mut self, batcher: VmId, settings: &ClaimSettings, now: TimeUs) {
        *self.outstanding_requests.entry(batcher).or_insert(0) += 1;
        self.send_count += 1;
        self.next_send_at = now.plus_ms(settings.claim_retry_ms);
    }

    pub(crate) fn record_release_sent(&mut self, settings: &ClaimSettings, now: TimeUs) {
        self.send_count += 1;
        self.next_send_at = now.plus_ms(settings.release_retry_ms);
    }

    /// Records a refusal. Returns whether there is another batcher to ask.
    pub(crate) fn on_refused(&mut self, from: VmId, may_be_written: bool, batcher_count: usize, now: TimeUs) -> bool {
        if !may_be_written {
            self.remove_outstanding_request(from);
        }
        self.refusal_count += 1;
        self.next_send_at = now;
        self.refusal_count < batcher_count
    }

    pub(crate) fn on_held(&mut self, from: VmId) {
        self.remove_outstanding_request(from);
    }

    pub(crate) fn mark_won(&mut self, now: TimeUs) {
        self.set_phase(ClaimPhase::Won, now);
    }

    /// Abandons the claim permanently. A release follows if its record may be on the log.
    pub(crate) fn abandon(&mut self, now: TimeUs) {
        let needs_release = self.phase == ClaimPhase::Won || !self.outstanding_requests.is_empty();
        self.set_phase(if needs_release { ClaimPhase::Releasing } else { ClaimPhase::Closed }, now);
    }

    /// Starts another release when a record of an abandoned claim turns out to be on the log.
    pub(crate) fn restart_release(&mut self, now: TimeUs) {
        if self.phase == ClaimPhase::Closed {
            self.set_phase(ClaimPhase::Releasing, now);
        }
    }

    pub(crate) fn mark_released(&mut self, now: TimeUs) {
        if self.phase == ClaimPhase::Releasing {
            self.outstanding_requests.clear();
            self.set_phase(ClaimPhase::Closed, now);
        }
    }

    fn remove_outstanding_request(&mut self, batcher: VmId) {
        if self.outstanding_requests.get(&batcher) == Some(&1) {
            self.outstanding_requests.remove(&batcher);
        }
    }

    fn set_phase(&mut self, phase: ClaimPhase, now: TimeUs) {
        self.phase = phase;
        self.send_count = 0;
        self.next_send_at = now;
        self.phase_entered_at = now;
    }
}
