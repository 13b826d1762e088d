//! A reader of one claim stream.

use std::collections::{HashMap, VecDeque};

use fulmartrestle_core::{LogOffset, TimeUs};

use crate::{BatcherReply, ClaimId, ClaimKey, ClaimRecord, ClaimSettings, NotRunReason, ReadPage};
use crate::{coverage::Coverage, key_state::KeyState};

/// Key states of one stream and how far it was read.
#[derive(Clone, Debug)]
pub(crate) struct StreamReader {
    pub(crate) next: LogOffset,
    caught_up: bool,
    caught_up_at: TimeUs,
    coverage: Coverage,
    keys: HashMap<ClaimKey, KeyState>,
    seen: VecDeque<(TimeUs, ClaimKey)>,
}

impl StreamReader {
    pub(crate) fn new() -> Self {
        Self {
            next: LogOffset(0),
            caught_up: false,
            caught_up_at: TimeUs(0),
            coverage: Coverage::Unknown,
            keys: HashMap::new(),
            seen: VecDeque::new(),
        }
    }

    pub(crate) fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Applies a page that was asked for at `read_at`. When records were trimmed before they were
    /// read, it starts over from the first that is kept. Records trimmed sooner than the log promises
    /// may concern any key that exists by now, so that only later ones are covered.
    pub(crate) fn apply(&mut self, page: &ReadPage, read_at: TimeUs, settings: &ClaimSettings, now: TimeUs) {
        self.note_trimmed(page.trimmed_before, read_at, settings, now);
        for batch in page.batches.iter().filter(|batch| batch.offset >= page.trimmed_before) {
            if batch.offset < self.next {
                continue;
            }
            for record in &batch.records {
                self.apply_record(*record, now);
            }
            self.next = LogOffset(batch.offset.0 + 1);
        }
        self.caught_up = self.next >= page.end_offset;
        if self.caught_up {
            self.caught_up_at = read_at;
        }
    }

    /// Returns what the records read so far say about a claim, or `None` when they say nothing.
    pub(crate) fn reply_to(&self, key: &ClaimKey, claim: ClaimId) -> Option<BatcherReply> {
        let state = self.keys.get(key)?;
        match state.holder {
            Some(holder) if holder == claim => Some(BatcherReply::Won),
            Some(winner) if state.is_void(claim) => Some(BatcherReply::Held { winner }),
            None if state.is_void(claim) => {
                Some(BatcherReply::Refused { reason: NotRunReason::Released, may_be_written: false })
            }
            _ => None,
        }
    }

    pub(crate) fn holder(&self, key: &ClaimKey) -> Option<ClaimId> {
        self.keys.get(key)?.holder
    }

    /// Returns whether all claims of a key of this age are known.
    pub(crate) fn covers(&self, age_ms: u64, settings: &ClaimSettings, now: TimeUs) -> bool {
        let oldest_claim_ms = age_ms.saturating_add(settings.age_margin_ms());
        age_ms <= settings.window_ms && self.coverage.reaches_back(oldest_claim_ms, now)
    }

    /// Forgets keys whose records are older than any key that is still accepted.
    pub(crate) fn forget(&mut self, settings: &ClaimSettings, now: TimeUs) {
        let kept_ms = settings.window_ms + 2 * settings.age_margin_ms();
        while let Some((seen_at, key)) = self.seen.front().copied() {
            if now.ms_since(seen_at) < kept_ms {
                break;
            }
            self.seen.pop_front();
            if self.keys.get(&key).is_some_and(|state| state.seen_at == seen_at) {
                self.keys.remove(&key);
            }
        }
    }

    pub(crate) fn key_count(&self) -> usize {
        self.keys.len()
    }

    fn note_trimmed(&mut self, trimmed_before: LogOffset, read_at: TimeUs, settings: &ClaimSettings, now: TimeUs) {
        if self.next >= trimmed_before {
            if self.coverage == Coverage::Unknown {
                self.coverage = Coverage::Whole;
            }
            return;
        }
        let trimmed_early = self.caught_up && now.ms_since(self.caught_up_at) < settings.retention_ms;
        self.coverage = if trimmed_early {
            Coverage::Since { since: now, known_ms: 0 }
        } else {
            Coverage::Since { since: read_at, known_ms: settings.retention_ms }
        };
        self.keys.clear();
        self.seen.clear();
        self.next = trimmed_before;
    }

    fn apply_record(&mut self, record: ClaimRecord, now: TimeUs) {
        let (ClaimRecord::Claim { key, .. } | ClaimRecord::Release { key, .. }) = record;
        let state = self.keys.entry(key).or_insert_with(|| KeyState::new(now));
        state.seen_at = now;
        match record {
            ClaimRecord::Claim { claim, .. } => state.claim(claim),
            ClaimRecord::Release { claim, .. } => state.release(claim),
        }
        self.seen.push_back((now, key));
    }
}
