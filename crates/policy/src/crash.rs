//! Detection and blocking of requests that crash targets. See `docs/CRASH-REQUESTS.md`.

mod answered_requests;
mod fingerprint;
mod messages;
mod settings;

use std::collections::{HashMap, VecDeque};

use fulmartrestle_core::{CallId, Fingerprint, TimeUs, VmId};

pub use answered_requests::AnsweredRequests;
pub use fingerprint::request_fingerprint;
pub use messages::{CrashMark, CrashVerdict};
pub use settings::CrashSettings;

/// Records which requests were running when the connection to a target was lost, and blocks a request after
/// its second crash. Memory is bounded: the oldest records are evicted first.
#[derive(Debug, Default)]
pub struct CrashTable {
    settings: CrashSettings,
    records: HashMap<Fingerprint, CrashRecord>,
    insertion_order: VecDeque<Fingerprint>,
    unsent_marks: VecDeque<(Fingerprint, Crash)>,
}

#[derive(Debug)]
struct CrashRecord {
    first: Crash,
    second: Option<Crash>,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    target: VmId,
    attempt: CallId,
    occurred_at: TimeUs,
}

impl Crash {
    fn to_mark(self, fingerprint: Fingerprint, now: TimeUs) -> CrashMark {
        CrashMark { fingerprint, target: self.target, attempt: self.attempt, age_ms: now.ms_since(self.occurred_at) }
    }
}

impl CrashTable {
    /// Returns an empty table.
    pub fn new(settings: CrashSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records that the connection to a target was lost while it ran an attempt of a request. Both the
    /// target's node and the caller's may report the loss; it counts once per attempt.
    pub fn record_connection_loss(&mut self, fingerprint: Fingerprint, target: VmId, attempt: CallId, now: TimeUs) {
        self.record_crash(fingerprint, Crash { target, attempt, occurred_at: now }, now);
    }

    /// Records that a target answered the request, which removes a first crash mark: the request merely
    /// happened to run when something else crashed the target.
    pub fn record_response(&mut self, fingerprint: Fingerprint) {
        if self.records.get(&fingerprint).is_some_and(|record| record.second.is_none()) {
            self.remove(fingerprint);
        }
    }

    /// Returns whether the request is clear, marked or blocked.
    pub fn check(&self, fingerprint: Fingerprint, now: TimeUs) -> CrashVerdict {
        let Some(record) = self.records.get(&fingerprint) else { return CrashVerdict::Clear };
        if let Some(second) = record.second {
            let until = second.occurred_at.max(record.first.occurred_at).plus_ms(self.settings.block_ms);
            return if now < until { CrashVerdict::Blocked { until } } else { CrashVerdict::Clear };
        }
        let expires_at = record.first.occurred_at.plus_ms(self.settings.mark_ms);
        if now < expires_at { CrashVerdict::Marked } else { CrashVerdict::Clear }
    }

    /// Merges a mark from another node and returns whether it was new and must be forwarded.
    pub fn merge_mark(&mut self, mark: CrashMark, now: TimeUs) -> bool {
        let occurred_at = TimeUs(now.0.saturating_sub(mark.age_ms.saturating_mul(1_000)));
        self.record_crash(mark.fingerprint, Crash { target: mark.target, attempt: mark.attempt, occurred_at }, now)
    }

    /// Removes and returns the marks to send to other nodes.
    pub fn take_marks(&mut self, now: TimeUs) -> Vec<CrashMark> {
        self.unsent_marks.drain(..).map(|(fingerprint, crash)| crash.to_mark(fingerprint, now)).collect()
    }

    /// Returns all marks for a joining node, which would run blocked requests without them.
    pub fn all_marks(&self, now: TimeUs) -> Vec<CrashMark> {
        let crashes = |record: &CrashRecord| std::iter::once(record.first).chain(record.second);
        let marks = |fingerprint: &Fingerprint| {
            let record = self.records.get(fingerprint)?;
            Some(crashes(record).map(|crash| crash.to_mark(*fingerprint, now)).collect::<Vec<_>>())
        };
        self.insertion_order.iter().filter_map(marks).flatten().collect()
    }

    /// Returns the number of recorded requests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no request is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records a crash and returns whether it was new.
    fn record_crash(&mut self, fingerprint: Fingerprint, crash: Crash, now: TimeUs) -> bool {
        if self.check(fingerprint, now) == CrashVerdict::Clear {
            self.insert(fingerprint, CrashRecord { first: crash, second: None });
            self.queue_mark(fingerprint, crash);
            return true;
        }
        let Some(record) = self.records.get_mut(&fingerprint) else { return false };
        let same_crash = record.first.target == crash.target && record.first.attempt == crash.attempt;
        if same_crash || record.second.is_some() {
            return false;
        }
        record.second = Some(crash);
        self.queue_mark(fingerprint, crash);
        true
    }

    fn insert(&mut self, fingerprint: Fingerprint, record: CrashRecord) {
        self.remove(fingerprint);
        self.records.insert(fingerprint, record);
        self.insertion_order.push_back(fingerprint);
        while self.insertion_order.len() > self.settings.max_records {
            let Some(oldest) = self.insertion_order.pop_front() else { return };
            self.records.remove(&oldest);
        }
    }

    fn remove(&mut self, fingerprint: Fingerprint) {
        if self.records.remove(&fingerprint).is_some() {
            self.insertion_order.retain(|other| *other != fingerprint);
        }
    }

    fn queue_mark(&mut self, fingerprint: Fingerprint, crash: Crash) {
        if self.unsent_marks.len() >= self.settings.max_records {
            self.unsent_marks.pop_front();
        }
        self.unsent_marks.push_back((fingerprint, crash));
    }
}
