//! Detection and blocking of requests that crash targets. See `docs/CRASH-REQUESTS.md`.

mod answered_requests;
mod fingerprint;
mod messages;
mod run_watch;
mod settings;

use std::collections::{BTreeMap, HashMap, VecDeque};

use fulmartrestle_core::{CallId, Fingerprint, TimeUs, VmId};

pub use answered_requests::AnsweredRequests;
pub use fingerprint::request_fingerprint;
pub use messages::{CrashEvidence, CrashMark, CrashVerdict};
pub use run_watch::{CallLoss, EndedCall, LossVerdict, ProbeResult, RunWatch};
pub use settings::CrashSettings;

/// Maximum number of crashes that are kept of one request.
const MAX_CRASHES: usize = 3;

/// Records which requests were running when a target ended, and blocks those that end targets. Memory is bounded: the
/// oldest records are evicted first.
///
/// A crash is conclusive for a request if no other that ran beside it is as much suspected. A request is blocked after its
/// second crash if one is conclusive. Otherwise it is only suspected: several requests may have run beside each other
/// twice, because those that a crash interrupts are all sent again. Suspected ones run one at a time, which makes the next
/// crash conclusive, and an answer clears the others.
#[derive(Debug, Default)]
pub struct CrashTable {
    settings: CrashSettings,
    records: HashMap<Fingerprint, CrashRecord>,
    insertion_order: VecDeque<Fingerprint>,
    unsent_marks: VecDeque<(Fingerprint, Crash)>,
}

#[derive(Debug, Default)]
struct CrashRecord {
    crashes: Vec<Crash>,
    /// The last trial whose outcome is not known.
    trial: Option<Crash>,
}

impl CrashRecord {
    fn is_conclusive(&self) -> bool {
        self.crashes.len() > 1 && self.crashes.iter().any(|crash| crash.evidence == CrashEvidence::Conclusive)
    }
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    target: VmId,
    attempt: CallId,
    occurred_at: TimeUs,
    evidence: CrashEvidence,
}

impl Crash {
    fn is_same_attempt(&self, other: &Self) -> bool {
        self.target == other.target && self.attempt == other.attempt
    }

    fn to_mark(self, fingerprint: Fingerprint, now: TimeUs) -> CrashMark {
        CrashMark {
            fingerprint,
            target: self.target,
            attempt: self.attempt,
            age_ms: now.ms_since(self.occurred_at),
            evidence: self.evidence,
        }
    }
}

impl CrashTable {
    /// Returns an empty table.
    pub fn new(settings: CrashSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records that the connection to a target was lost while it ran an attempt of this request alone. Both the
    /// target's node and the caller's may report the loss; it counts once per attempt.
    pub fn record_connection_loss(&mut self, fingerprint: Fingerprint, target: VmId, attempt: CallId, now: TimeUs) {
        self.record_crash(
            fingerprint,
            Crash { target, attempt, occurred_at: now, evidence: CrashEvidence::Conclusive },
            now,
        );
    }

    /// Records that a target ended while it ran the suspected ones of `calls`. Returns the requests that are blocked by it.
    /// If one that is blocked already ran there, it explains the end, and the others are not marked.
    pub fn record_end(&mut self, calls: &[EndedCall], target: VmId, now: TimeUs) -> Vec<Fingerprint> {
        let suspects: BTreeMap<Fingerprint, &EndedCall> =
            calls.iter().filter(|call| call.suspected).map(|call| (call.fingerprint, call)).collect();
        let is_explained = |fingerprint| {
            let is_conclusive = self.records.get(fingerprint).is_some_and(CrashRecord::is_conclusive);
            is_conclusive && self.check(*fingerprint, now).is_blocked()
        };
        if suspects.keys().any(is_explained) {
            return Vec::new();
        }
        let counts: Vec<usize> = suspects.keys().map(|fingerprint| self.count_crashes(*fingerprint, now)).collect();
        let highest = counts.iter().max().copied().unwrap_or_default();
        let is_unique = counts.iter().filter(|count| **count == highest).count() == 1;
        let mut blocked = Vec::new();
        for ((fingerprint, ended), count) in
            suspects.into_iter().zip(counts).filter(|((_, ended), _)| !ended.is_counted)
        {
            let attempt = ended.call;
            let is_conclusive = is_unique && count == highest;
            let evidence = if is_conclusive { CrashEvidence::Conclusive } else { CrashEvidence::Shared };
            let is_new = self.record_crash(fingerprint, Crash { target, attempt, occurred_at: now, evidence }, now);
            if is_new && self.check(fingerprint, now).is_blocked() {
                blocked.push(fingerprint);
            }
        }
        blocked
    }

    /// Records that a suspected request is handed to a target, where it runs alone.
    pub fn record_trial(&mut self, fingerprint: Fingerprint, target: VmId, attempt: CallId, now: TimeUs) {
        let crash = Crash { target, attempt, occurred_at: now, evidence: CrashEvidence::Trial };
        self.record_crash(fingerprint, crash, now);
    }

    /// Records that the target has not run a trial.
    pub fn withdraw_trial(&mut self, fingerprint: Fingerprint, target: VmId, attempt: CallId, now: TimeUs) {
        let crash = Crash { target, attempt, occurred_at: now, evidence: CrashEvidence::Withdrawn };
        if self.remove_attempt(fingerprint, &crash, true) {
            self.queue_mark(fingerprint, crash);
        }
    }

    /// Records that a target answered the request, which clears it unless it is blocked: it merely happened to run when
    /// something else crashed the targets. If this attempt was counted as a crash, it does not count any more. Other nodes
    /// get a mark.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, target: VmId, attempt: CallId, now: TimeUs) {
        let crash = Crash { target, attempt, occurred_at: now, evidence: CrashEvidence::Answered };
        if self.apply_answer(fingerprint, &crash) {
            self.queue_mark(fingerprint, crash);
        }
    }

    /// Records an answer like [`CrashTable::record_answer`], for this node alone.
    pub fn record_response(&mut self, fingerprint: Fingerprint) {
        self.clear(fingerprint);
    }

    /// Returns whether the request is clear, marked, suspected or blocked.
    pub fn check(&self, fingerprint: Fingerprint, now: TimeUs) -> CrashVerdict {
        let Some(record) = self.records.get(&fingerprint) else { return CrashVerdict::Clear };
        let last_crash = record.crashes.iter().map(|crash| crash.occurred_at).max();
        let Some(last_crash) = last_crash else { return CrashVerdict::Clear };
        let is_repeated = record.crashes.len() > 1;
        let kept_ms = if is_repeated { self.settings.block_ms } else { self.settings.mark_ms };
        let until = last_crash.plus_ms(kept_ms);
        let trial_until = record.trial.map(|trial| trial.occurred_at.plus_ms(self.settings.trial_ms));
        match (now < until, is_repeated) {
            (false, _) => CrashVerdict::Clear,
            (true, false) => CrashVerdict::Marked,
            (true, true) if record.is_conclusive() => CrashVerdict::Blocked { until },
            (true, true) => match trial_until.filter(|until| now < *until) {
                Some(until) => CrashVerdict::Blocked { until },
                None => CrashVerdict::Suspected,
            },
        }
    }

    /// Merges a mark from another node and returns whether it was new and must be forwarded.
    pub fn merge_mark(&mut self, mark: CrashMark, now: TimeUs) -> bool {
        let occurred_at = TimeUs(now.0.saturating_sub(mark.age_ms.saturating_mul(1_000)));
        let CrashMark { fingerprint, target, attempt, evidence, .. } = mark;
        let crash = Crash { target, attempt, occurred_at, evidence };
        match evidence {
            CrashEvidence::Answered => self.apply_answer(fingerprint, &crash),
            CrashEvidence::Withdrawn => self.remove_attempt(fingerprint, &crash, true),
            CrashEvidence::Shared | CrashEvidence::Conclusive | CrashEvidence::Trial => {
                self.record_crash(fingerprint, crash, now)
            }
        }
    }

    /// Removes and returns the marks to send to other nodes.
    pub fn take_marks(&mut self, now: TimeUs) -> Vec<CrashMark> {
        self.unsent_marks.drain(..).map(|(fingerprint, crash)| crash.to_mark(fingerprint, now)).collect()
    }

    /// Returns the mark of one attempt if it was counted as a crash.
    pub fn mark_of(&self, fingerprint: Fingerprint, target: VmId, attempt: CallId, now: TimeUs) -> Option<CrashMark> {
        let mut crashes = self.records.get(&fingerprint)?.crashes.iter();
        let crash = crashes.find(|crash| crash.target == target && crash.attempt == attempt)?;
        Some(crash.to_mark(fingerprint, now))
    }

    /// Returns all marks for a joining node, which would run blocked requests without them.
    pub fn all_marks(&self, now: TimeUs) -> Vec<CrashMark> {
        let marks = |fingerprint: &Fingerprint| {
            let record = self.records.get(fingerprint)?;
            Some(
                record
                    .crashes
                    .iter()
                    .chain(&record.trial)
                    .map(|crash| crash.to_mark(*fingerprint, now))
                    .collect::<Vec<_>>(),
            )
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

    fn count_crashes(&self, fingerprint: Fingerprint, now: TimeUs) -> usize {
        if self.check(fingerprint, now) == CrashVerdict::Clear {
            return 0;
        }
        self.records.get(&fingerprint).map_or(0, |record| record.crashes.len())
    }

    /// Records a crash or a trial and returns whether it was new.
    fn record_crash(&mut self, fingerprint: Fingerprint, crash: Crash, now: TimeUs) -> bool {
        if self.check(fingerprint, now) == CrashVerdict::Clear {
            self.insert(fingerprint, CrashRecord::default());
        }
        let Some(record) = self.records.get_mut(&fingerprint) else { return false };
        if record.crashes.iter().any(|known| known.is_same_attempt(&crash)) || record.is_conclusive() {
            return false;
        }
        if crash.evidence == CrashEvidence::Trial {
            if record.trial.is_some_and(|known| known.is_same_attempt(&crash)) {
                return false;
            }
            record.trial = Some(crash);
        } else {
            record.trial = record.trial.filter(|trial| !trial.is_same_attempt(&crash));
            if record.crashes.len() >= MAX_CRASHES {
                record.crashes.remove(0);
            }
            record.crashes.push(crash);
        }
        self.queue_mark(fingerprint, crash);
        true
    }

    /// Removes the record of a request that is not blocked for good, and returns whether there was one.
    fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        let is_clearable = self.records.get(&fingerprint).is_some_and(|record| !record.is_conclusive());
        if is_clearable {
            self.remove(fingerprint);
        }
        is_clearable
    }

    fn apply_answer(&mut self, fingerprint: Fingerprint, answered: &Crash) -> bool {
        let was_counted = self.remove_attempt(fingerprint, answered, false);
        self.clear(fingerprint) || was_counted
    }

    /// Removes what is recorded of one attempt, or only a trial, and returns whether there was anything.
    fn remove_attempt(&mut self, fingerprint: Fingerprint, attempt: &Crash, only_trial: bool) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else { return false };
        let count = record.crashes.len();
        record.crashes.retain(|known| only_trial || !known.is_same_attempt(attempt));
        let had_trial = record.trial.take_if(|trial| trial.is_same_attempt(attempt)).is_some();
        had_trial || record.crashes.len() < count
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
