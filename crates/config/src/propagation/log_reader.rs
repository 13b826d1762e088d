//! When this node reads the log.

use fulmartrestle_core::TimeUs;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::LogRequestId;
use super::timing::{
    MAX_FLEET_READS_PER_S, MAX_READ_BACKOFF_MS, READ_ALONE_AFTER_MS, READ_TIMEOUT_MS, TAIL_INTERVAL_MS,
};

/// What decides whether a node reads for itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReaderRole {
    pub(super) is_tailer: bool,
    /// Age of the node's view of the log, in milliseconds; absent when it has none.
    pub(super) log_age_ms: Option<u64>,
    pub(super) member_count: usize,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    request_id: LogRequestId,
    at: TimeUs,
}

/// At most one read at a time.
#[derive(Clone, Debug)]
pub(super) struct LogReader {
    asked: Option<Asked>,
    not_before: TimeUs,
    backoff_ms: u64,
    wanted: bool,
    has_failed: bool,
}

impl LogReader {
    pub(super) fn new(now: TimeUs) -> Self {
        Self { asked: None, not_before: now, backoff_ms: TAIL_INTERVAL_MS, wanted: false, has_failed: false }
    }

    /// Delays the first read of a node that is no tailer, so that a zone that starts at once keeps
    /// within the fleet's bound; peers will mostly have answered by then.
    pub(super) fn delay_start(&mut self, now: TimeUs, member_count: usize, rng: &mut ChaCha8Rng) {
        let spread_ms = member_count as u64 * 1_000 / MAX_FLEET_READS_PER_S;
        self.not_before = now.plus_ms(rng.random_range(0..=spread_ms));
    }

    /// Asks for a read as soon as no other is running.
    pub(super) fn want(&mut self) {
        self.wanted = true;
    }

    /// Returns whether a read should start now, and notes that it does.
    pub(super) fn start(&mut self, now: TimeUs, role: ReaderRole, request_id: LogRequestId) -> bool {
        let running = self.asked.is_some_and(|asked| now.ms_since(asked.at) < READ_TIMEOUT_MS);
        if running || (now < self.not_before && !self.wanted) {
            return false;
        }
        let is_stale = role.log_age_ms.is_none_or(|age_ms| age_ms >= READ_ALONE_AFTER_MS);
        if !role.is_tailer && !is_stale && !self.wanted {
            return false;
        }
        self.wanted = false;
        self.has_failed |= self.asked.is_some();
        self.asked = Some(Asked { request_id, at: now });
        true
    }

    /// Notes an answer and returns when the read was asked for, unless it was given up.
    pub(super) fn finish(&mut self, request_id: LogRequestId) -> Option<TimeUs> {
        let asked = self.asked.filter(|asked| asked.request_id == request_id)?;
        self.asked = None;
        Some(asked.at)
    }

    pub(super) fn pause_at_end(&mut self, now: TimeUs, role: ReaderRole, rng: &mut ChaCha8Rng) {
        self.backoff_ms = TAIL_INTERVAL_MS;
        let interval_ms = if role.is_tailer { TAIL_INTERVAL_MS } else { alone_interval_ms(role.member_count) };
        self.not_before = now.plus_ms(jittered(interval_ms, rng));
    }

    /// Returns whether a read has ever failed or gone unanswered.
    pub(super) fn has_failed(&self) -> bool {
        self.has_failed
    }

    pub(super) fn pause_after_failure(&mut self, now: TimeUs, role: ReaderRole, rng: &mut ChaCha8Rng) {
        self.has_failed = true;
        let alone_ms = if role.is_tailer { 0 } else { alone_interval_ms(role.member_count) };
        self.not_before = now.plus_ms(jittered(self.backoff_ms.max(alone_ms), rng));
        self.backoff_ms = (2 * self.backoff_ms).min(MAX_READ_BACKOFF_MS);
    }
}

/// Returns the time between reads of one node when all nodes read for themselves.
fn alone_interval_ms(member_count: usize) -> u64 {
    (member_count as u64 * 1_000 / MAX_FLEET_READS_PER_S).max(READ_ALONE_AFTER_MS)
}

/// Returns a time between three quarters and five quarters of `interval_ms`, so that nodes that
/// start together drift apart.
fn jittered(interval_ms: u64, rng: &mut ChaCha8Rng) -> u64 {
    interval_ms - interval_ms / 4 + rng.random_range(0..=interval_ms / 2)
}
