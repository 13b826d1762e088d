//! Requests that crash targets. See `docs/CRASH-REQUESTS.md`.

mod messages;
mod settings;

use std::collections::{HashMap, VecDeque};

use fulmartrestle_core::{Fingerprint, TimeUs, VmId};

pub use messages::{CrashMark, CrashVerdict};
pub use settings::CrashSettings;

/// Reports about the same request and target within this time are about one crash: both the
/// target's node and the caller's notice it.
const SAME_CRASH_MS: u64 = 2_000;

/// Remembers which requests were running when a target's connection was lost, and blocks a request
/// after the second crash. Memory is bounded: the oldest rows go first.
#[derive(Debug, Default)]
pub struct CrashTable {
    settings: CrashSettings,
    rows: HashMap<Fingerprint, CrashRow>,
    by_age: VecDeque<Fingerprint>,
    unsent: VecDeque<UnsentMark>,
}

#[derive(Debug)]
struct CrashRow {
    target: VmId,
    crashed: TimeUs,
    blocked: Option<TimeUs>,
}

#[derive(Debug)]
struct UnsentMark {
    fingerprint: Fingerprint,
    target: VmId,
    crashed: TimeUs,
}

impl CrashTable {
    /// Returns an empty table.
    pub fn new(settings: CrashSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Notes that a target's connection was lost while it ran a request.
    pub fn connection_lost(&mut self, fingerprint: Fingerprint, target: VmId, now: TimeUs) {
        if self.mark(fingerprint, target, now, now) {
            self.queue(fingerprint, target, now);
        }
    }

    /// Notes that a target answered the request, which clears it of a first crash: it only happened
    /// to run when something else crashed the target.
    pub fn answered(&mut self, fingerprint: Fingerprint) {
        if self.rows.get(&fingerprint).is_some_and(|row| row.blocked.is_none()) {
            self.rows.remove(&fingerprint);
        }
    }

    /// Returns what is known of a request.
    pub fn check(&self, fingerprint: Fingerprint, now: TimeUs) -> CrashVerdict {
        let Some(row) = self.rows.get(&fingerprint) else { return CrashVerdict::Clear };
        if let Some(blocked) = row.blocked {
            let until = blocked.plus_ms(self.settings.block_ms);
            return if now < until { CrashVerdict::Blocked { until } } else { CrashVerdict::Clear };
        }
        let expires = row.crashed.plus_ms(self.settings.mark_ms);
        if now < expires { CrashVerdict::Marked } else { CrashVerdict::Clear }
    }

    /// Takes a mark from another node and returns whether it was news, which is then passed on.
    pub fn merge(&mut self, mark: CrashMark, now: TimeUs) -> bool {
        let crashed = TimeUs(now.0.saturating_sub(mark.age_ms.saturating_mul(1_000)));
        let news = self.mark(mark.fingerprint, mark.target, crashed, now);
        if news {
            self.queue(mark.fingerprint, mark.target, crashed);
        }
        news
    }

    /// Takes the marks that other nodes should hear of.
    pub fn take_marks(&mut self, now: TimeUs) -> Vec<CrashMark> {
        let message = |unsent: UnsentMark| CrashMark {
            fingerprint: unsent.fingerprint,
            target: unsent.target,
            age_ms: now.ms_since(unsent.crashed),
        };
        self.unsent.drain(..).map(message).collect()
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
    fn mark(&mut self, fingerprint: Fingerprint, target: VmId, crashed: TimeUs, now: TimeUs) -> bool {
        if self.check(fingerprint, now) == CrashVerdict::Clear {
            self.insert(fingerprint, CrashRow { target, crashed, blocked: None });
            return true;
        }
        let Some(row) = self.rows.get_mut(&fingerprint) else { return false };
        let apart_us = crashed.0.abs_diff(row.crashed.0);
        let same_crash = row.target == target && apart_us < SAME_CRASH_MS * 1_000;
        if same_crash || row.blocked.is_some() {
            return false;
        }
        row.blocked = Some(crashed.max(row.crashed));
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

    fn queue(&mut self, fingerprint: Fingerprint, target: VmId, crashed: TimeUs) {
        if self.unsent.len() >= self.settings.max_rows {
            self.unsent.pop_front();
        }
        self.unsent.push_back(UnsentMark { fingerprint, target, crashed });
    }
}
