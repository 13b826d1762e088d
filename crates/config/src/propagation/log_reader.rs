//! Schedules this node's reads of the log.

use fulmartrestle_core::TimeUs;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::LogRequestId;
use super::timing::{
    DIRECT_READ_AFTER_MS, MAX_FLEET_DIRECT_READS_PER_S, MAX_READ_BACKOFF_MS, READ_TIMEOUT_MS, TAIL_INTERVAL_MS,
};

/// What decides whether and how often a node reads the log itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReaderRole {
    /// Whether the node reads continuously: as a tailer, or because a confirmation waits for the log.
    pub(super) is_tailing: bool,
    /// Age of the node's view of the log, in milliseconds; absent when it has none.
    pub(super) log_age_ms: Option<u64>,
    pub(super) member_count: usize,
}

#[derive(Clone, Copy, Debug)]
struct InFlightRead {
    request_id: LogRequestId,
    started_at: TimeUs,
}

/// Decides when this node reads the log, at most one read at a time.
#[derive(Clone, Debug)]
pub(super) struct LogReader {
    in_flight: Option<InFlightRead>,
    next_read_at: TimeUs,
    backoff_ms: u64,
    read_requested: bool,
    has_failed: bool,
}

impl LogReader {
    pub(super) fn new(now: TimeUs) -> Self {
        Self {
            in_flight: None,
            next_read_at: now,
            backoff_ms: TAIL_INTERVAL_MS,
            read_requested: false,
            has_failed: false,
        }
    }

    /// Delays the first read of a node that is not a tailer by a random time, so that a zone whose nodes
    /// all start at once stays within the fleet's read rate. By then most nodes have a response from
    /// a peer.
    pub(super) fn delay_first_read(&mut self, now: TimeUs, member_count: usize, rng: &mut ChaCha8Rng) {
        let max_delay_ms = member_count as u64 * 1_000 / MAX_FLEET_DIRECT_READS_PER_S;
        self.next_read_at = now.plus_ms(rng.random_range(0..=max_delay_ms));
    }

    /// Requests a read as soon as none is in flight.
    pub(super) fn request_read(&mut self) {
        self.read_requested = true;
    }

    /// Returns whether a read is due, and if so records it as in flight under `request_id`.
    pub(super) fn start_if_due(&mut self, now: TimeUs, role: ReaderRole, request_id: LogRequestId) -> bool {
        let has_read_in_flight =
            self.in_flight.is_some_and(|in_flight| now.ms_since(in_flight.started_at) < READ_TIMEOUT_MS);
        if has_read_in_flight || (now < self.next_read_at && !self.read_requested) {
            return false;
        }
        let is_stale = role.log_age_ms.is_none_or(|age_ms| age_ms >= DIRECT_READ_AFTER_MS);
        if !role.is_tailing && !is_stale && !self.read_requested {
            return false;
        }
        self.read_requested = false;
        self.has_failed |= self.in_flight.is_some();
        self.in_flight = Some(InFlightRead { request_id, started_at: now });
        true
    }

    /// Completes a read whose response arrived. Returns when it was started, or `None` when it had timed
    /// out and was replaced.
    pub(super) fn complete_read(&mut self, request_id: LogRequestId) -> Option<TimeUs> {
        let in_flight = self.in_flight.filter(|in_flight| in_flight.request_id == request_id)?;
        self.in_flight = None;
        Some(in_flight.started_at)
    }

    /// Schedules the next read after one that reached the end of the log.
    pub(super) fn schedule_after_log_end(&mut self, now: TimeUs, role: ReaderRole, rng: &mut ChaCha8Rng) {
        self.backoff_ms = TAIL_INTERVAL_MS;
        let interval_ms = if role.is_tailing { TAIL_INTERVAL_MS } else { direct_read_interval_ms(role.member_count) };
        self.next_read_at = now.plus_ms(with_jitter(interval_ms, rng));
    }

    /// Returns whether any read has failed or timed out.
    pub(super) fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Schedules the next read after a failed one, with exponential backoff.
    pub(super) fn schedule_after_failure(&mut self, now: TimeUs, role: ReaderRole, rng: &mut ChaCha8Rng) {
        self.has_failed = true;
        let direct_interval_ms = if role.is_tailing { 0 } else { direct_read_interval_ms(role.member_count) };
        self.next_read_at = now.plus_ms(with_jitter(self.backoff_ms.max(direct_interval_ms), rng));
        self.backoff_ms = (2 * self.backoff_ms).min(MAX_READ_BACKOFF_MS);
    }
}

/// Returns the interval between reads of one node, in milliseconds, when all nodes read the log directly.
fn direct_read_interval_ms(member_count: usize) -> u64 {
    (member_count as u64 * 1_000 / MAX_FLEET_DIRECT_READS_PER_S).max(DIRECT_READ_AFTER_MS)
}

/// Returns a random time between three quarters and five quarters of `interval_ms`, so that nodes that
/// start together do not stay in step.
fn with_jitter(interval_ms: u64, rng: &mut ChaCha8Rng) -> u64 {
    interval_ms - interval_ms / 4 + rng.random_range(0..=interval_ms / 2)
}
