//! Requests that crash targets. See `docs/CRASH-REQUESTS.md`.

mod messages;
mod settings;

use std::collections::{HashMap, VecDeque};

use fulmartrestle_core::{CallId, Fingerprint, TimeUs, VmId};

pub use messages::{CrashMark, CrashVerdict};
pub use settings::CrashSettings;

/// Remembers which requests were running when a target's connection was lost, and blocks a request
/// after the second crash. Memory is bounded: the oldest rows go first.
#[derive(Debug, Default)]
pub struct CrashTable {
    settings: CrashSettings,
    rows: HashMap<Fingerprint, CrashRow>,
    by_age: VecDeque<Fingerprint>,
    unsent: VecDeque<(Fingerprint, Crash)>,
}

#[derive(Debug)]
struct CrashRow {
    first: Crash,
    second: Option<Crash>,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    target: VmId,
    attempt: CallId,
    at: TimeUs,
}

impl Crash {
    fn mark(self, fingerprint: Fingerprint, now: TimeUs) -> CrashMark {
        CrashMark { fingerprint, target: self.target, attempt: self.attempt, age_ms: now.ms_since(self.at) }
    }
}

impl CrashTable {
    /// Returns an empty table.
    pub fn new(settings: CrashSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Notes that a target's connection was lost while it ran an attempt of a request. Both the
    /// target's node and the caller's may report it; with the same attempt it counts once.
    pub fn record_connection_loss(&mut self, fingerprint: Fingerprint, target: VmId, attempt: CallId, now: TimeUs) {
        self.mark(fingerprint, Crash { target, attempt, at: now }, now);
    }

    /// Notes that a target answered the request, which clears it of a first crash: it only happened
    /// to run when something else crashed the target.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) {
        if self.rows.get(&fingerprint).is_some_and(|row| row.second.is_none()) {
            self.rows.remove(&fingerprint);
        }
    }

    /// Returns what is known of a request.
    pub fn check(&self, fingerprint: Fingerprint, now: TimeUs) -> CrashVerdict {
        let Some(row) = self.rows.get(&fingerprint) else { return CrashVerdict::Clear };
        if let Some(second) = row.second {
            let until = second.at.max(row.first.at).plus_ms(self.settings.block_ms);
            return if now < until { CrashVerdict::Blocked { until } } else { CrashVerdict::Clear };
        }
        let expires = row.first.at.plus_ms(self.settings.mark_ms);
        if now < expires { CrashVerdict::Marked } else { CrashVerdict::Clear }
    }

    /// Takes a mark from another node and returns whether it was news, which is then passed on.
    pub fn merge_mark(&mut self, mark: CrashMark, now: TimeUs) -> bool {
        let at = TimeUs(now.0.saturating_sub(mark.age_ms.saturating_mul(1_000)));
        self.mark(mark.fingerprint, Crash { target: mark.target, attempt: mark.attempt, at }, now)
    }

    /// Takes the marks that other nodes should hear of.
    pub fn take_marks(&mut self, now: TimeUs) -> Vec<CrashMark> {
        self.unsent.drain(..).map(|(fingerprint, crash)| crash.mark(fingerprint, now)).collect()
    }

    /// Returns all marks, for a node that joins: it would run blocked requests without them.
    pub fn all_marks(&self, now: TimeUs) -> Vec<CrashMark> {
        let crashes = |row: &CrashRow| std::iter::once(row.first).chain(row.second);
        let marks = |fingerprint: &Fingerprint| {
            let row = self.rows.get(fingerprint)?;
            Some(crashes(row).map(|crash| crash.mark(*fingerprint, now)).collect::<Vec<_>>())
        };
        self.by_age.iter().filter_map(marks).flatten().collect()
    }

    /// Returns the number of remembered requests.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Enters a crash and returns whether it was not known yet.
    fn mark(&mut self, fingerprint: Fingerprint, crash: Crash, now: TimeUs) -> bool {
        if self.check(fingerprint, now) == CrashVerdict::Clear {
            self.insert(fingerprint, CrashRow { first: crash, second: None });
            self.queue(fingerprint, crash);
            return true;
        }
        let Some(row) = self.rows.get_mut(&fingerprint) else { return false };
        let same_crash = row.first.target == crash.target && row.first.attempt == crash.attempt;
        if same_crash || row.second.is_some() {
            return false;
        }
        row.second = Some(crash);
        self.queue(fingerprint, crash);
        true
    }

    fn insert(&mut self, fingerprint: Fingerprint, row: CrashRow) {
        if self.rows.insert(fingerprint, row).is_none() {
            self.by_age.push_back(fingerprint);
        }
        while self.by_age.len() > self.settings.max_rows {
            let Some(oldest) = self.by_age.pop_front() else { return };
            self.rows.remove(&oldest);
        }
    }

    fn queue(&mut self, fingerprint: Fingerprint, crash: Crash) {
        if self.unsent.len() >= self.settings.max_rows {
            self.unsent.pop_front();
        }
        self.unsent.push_back((fingerprint, crash));
    }
}
