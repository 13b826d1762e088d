//! The reader of one claim stream.

use std::collections::{HashMap, VecDeque};

use fulmartrestle_core::{LogOffset, TimeUs};

use crate::{BatcherResponse, ClaimId, ClaimKey, ClaimRecord, ClaimSettings, NotRunReason, ReadPage};
use crate::{coverage::Coverage, key_state::KeyState};

/// Key states of one stream, with the read position and the period covered.
#[derive(Clone, Debug)]
pub(crate) struct StreamReader {
    pub(crate) next_offset: LogOffset,
    caught_up: bool,
    caught_up_at: TimeUs,
    coverage: Coverage,
    key_states: HashMap<ClaimKey, KeyState>,
    expiry_queue: VecDeque<(TimeUs, ClaimKey)>,
}

impl StreamReader {
    pub(crate) fn new() -> Self {
        Self {
            next_offset: LogOffset(0),
            caught_up: false,
            caught_up_at: TimeUs(0),
            coverage: Coverage::Unknown,
            key_states: HashMap::new(),
            expiry_queue: VecDeque::new(),
        }
    }

    pub(crate) fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Applies a page that was requested at `read_sent_at`. If records were trimmed before they were
    /// read, the reader starts over at the lowest retained offset. Records trimmed before the end of
    /// the retention time may concern any existing key, so only keys created later are covered then.
    pub(crate) fn apply(&mut self, page: &ReadPage, read_sent_at: TimeUs, settings: &ClaimSettings, now: TimeUs) {
        self.handle_trimming(page.trimmed_before, read_sent_at, settings, now);
        for batch in page.batches.iter().filter(|batch| batch.offset >= page.trimmed_before) {
            if batch.offset < self.next_offset {
                continue;
            }
            for record in &batch.records {
                self.apply_record(*record, now);
            }
            self.next_offset = LogOffset(batch.offset.0 + 1);
        }
        self.caught_up = self.next_offset >= page.end_offset;
        if self.caught_up {
            self.caught_up_at = read_sent_at;
        }
    }

    /// Returns the response to a claim that follows from the records read so far, or `None` while they
    /// do not decide it.
    pub(crate) fn response_for(&self, key: &ClaimKey, claim: ClaimId) -> Option<BatcherResponse> {
        let state = self.key_states.get(key)?;
        match state.holder {
            Some(holder) if holder == claim => Some(BatcherResponse::Won),
            Some(winner) if state.is_void(claim) => Some(BatcherResponse::Held { winner }),
            None if state.is_void(claim) => {
                Some(BatcherResponse::Refused { reason: NotRunReason::Released, may_be_written: false })
            }
            _ => None,
        }
    }

    pub(crate) fn holder(&self, key: &ClaimKey) -> Option<ClaimId> {
        self.key_states.get(key)?.holder
    }

    /// Returns whether all claims of a key of age `age_ms` have been read.
    pub(crate) fn covers(&self, age_ms: u64, settings: &ClaimSettings, now: TimeUs) -> bool {
        let oldest_claim_ms = age_ms.saturating_add(settings.age_margin_ms());
        age_ms <= settings.window_ms && self.coverage.covers_age(oldest_claim_ms, now)
    }

    /// Removes keys whose latest record is older than any key that is still accepted.
    pub(crate) fn remove_expired_keys(&mut self, settings: &ClaimSettings, now: TimeUs) {
        let retained_ms = settings.window_ms + 2 * settings.age_margin_ms();
        while let Some((last_record_at, key)) = self.expiry_queue.front().copied() {
            if now.ms_since(last_record_at) < retained_ms {
                break;
            }
            self.expiry_queue.pop_front();
            if self.key_states.get(&key).is_some_and(|state| state.last_record_at == last_record_at) {
                self.key_states.remove(&key);
            }
        }
    }

    pub(crate) fn key_count(&self) -> usize {
        self.key_states.len()
    }

    fn handle_trimming(
        &mut self,
        trimmed_before: LogOffset,
        read_sent_at: TimeUs,
        settings: &ClaimSettings,
        now: TimeUs,
    ) {
        if self.next_offset >= trimmed_before {
            if self.coverage == Coverage::Unknown {
                self.coverage = Coverage::Complete;
            }
            return;
        }
        let trimmed_early = self.caught_up && now.ms_since(self.caught_up_at) < settings.retention_ms;
        self.coverage = if trimmed_early {
            Coverage::Partial { since: now, lookback_ms: 0 }
        } else {
            Coverage::Partial { since: read_sent_at, lookback_ms: settings.retention_ms }
        };
        self.key_states.clear();
        self.expiry_queue.clear();
        self.next_offset = trimmed_before;
    }

    fn apply_record(&mut self, record: ClaimRecord, now: TimeUs) {
        let (ClaimRecord::Claim { key, .. } | ClaimRecord::Release { key, .. }) = record;
        let state = self.key_states.entry(key).or_insert_with(|| KeyState::new(now));
        state.last_record_at = now;
        match record {
            ClaimRecord::Claim { claim, .. } => state.apply_claim(claim),
            ClaimRecord::Release { claim, .. } => state.apply_release(claim),
        }
        self.expiry_queue.push_back((now, key));
    }
}
