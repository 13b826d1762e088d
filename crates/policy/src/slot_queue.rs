//! Slots of a target that announces their number, and the queue in front of them. See `docs/ADMISSION.md`.
//!
//! Load pattern: many callers send to one target at once, more than it has slots for. Waiting calls are
//! started in order of rank, and calls that can't end before their deadline are refused before they take a
//! slot. The calls of a target that names a maximum rate or is cold are paced as well, at the lower rate of both.

use std::collections::BTreeMap;

use fulmartrestle_core::{CallId, RateMilliPerS, Reason, Refusal, TimeUs};
use fulmartrestle_derive::local;
use rustc_hash::FxHashMap;

use crate::cold_limit::ColdLimit;
use crate::cold_pacer::ColdPacer;
use crate::rate_pacer::RatePacer;
use crate::{Admission, QueueEvent, Rank};

/// Weight of a new hold time in the running mean.
pub(crate) const HOLD_TIME_WEIGHT: f64 = 0.06;

/// Maximum expected wait, as a share of the time left until the deadline. A call that waits longer is
/// unlikely to be answered in time and is better refused while its caller can still try another target.
const MAX_WAIT_SHARE: f64 = 0.3;

/// Maximum number of waiting calls per slot. More could not start before usual deadlines, and each holds
/// memory for its body.
const MAX_WAITING_PER_SLOT: usize = 8;

/// Minimum Retry-After, in milliseconds. With a shorter one the caller would find the same queue again.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Maximum Retry-After, in milliseconds. Callers wait at most a third of the time until their deadline,
/// which is a few seconds away.
const MAX_RETRY_AFTER_MS: u64 = 2_000;

const US_PER_S: f64 = 1e6;
const MILLI: f64 = 1e3;

/// A call that is offered to the queue.
#[local]
#[derive(Copy)]
pub struct SlotRequest {
    /// Identifies the call until it ends.
    pub call: CallId,
    /// Rank of the call.
    pub rank: Rank,
    /// Time at which the caller stops waiting.
    pub deadline: TimeUs,
}

/// Load of the slots and their queue.
#[local]
#[derive(Copy)]
pub struct SlotLoad {
    /// Calls that may run concurrently.
    pub limit: u32,
    /// Slots that calls can use in the long run: fewer than the limit if the maximum rate does not fill them.
    pub usable: u32,
    /// Calls that are running.
    pub running: u32,
    /// Calls that are waiting.
    pub waiting: u32,
    /// Mean time for which a call holds its slot, in microseconds; zero until the first call ends.
    pub hold_us: u32,
    /// Slots in thousandths that calls at the rate of a cold target hold; `None` while the target is warm.
    pub cold_slots_milli: Option<u32>,
}

/// Slots of one target and the queue of calls that wait for them.
#[derive(Debug)]
pub struct SlotQueue {
    limit: usize,
    pacer: Option<RatePacer>,
    cold_pacer: Option<ColdPacer>,
    running: FxHashMap<CallId, TimeUs>,
    waiting: BTreeMap<(Rank, u64), SlotRequest>,
    positions: FxHashMap<CallId, (Rank, u64)>,
    next_sequence: u64,
    mean_hold_us: f64,
    min_hold_us: f64,
    queue_events: Vec<QueueEvent>,
}

impl SlotQueue {
    /// Returns an empty queue with `limit` free slots, at least one.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            pacer: None,
            cold_pacer: None,
            running: FxHashMap::default(),
            waiting: BTreeMap::new(),
            positions: FxHashMap::default(),
            next_sequence: 0,
            mean_hold_us: 0.0,
            min_hold_us: 0.0,
            queue_events: Vec::new(),
        }
    }

    /// Changes the number of slots. When it is lowered, running calls above the new number continue to
    /// their end.
    pub fn set_limit(&mut self, limit: usize, now: TimeUs) {
        self.limit = limit.max(1);
        self.start_waiting(now);
    }

    /// Changes the maximum rate at which calls start; `None` means that there is none.
    pub fn set_max_rate(&mut self, max_rate: Option<RateMilliPerS>, now: TimeUs) {
        match (&mut self.pacer, max_rate) {
            (Some(pacer), Some(max_rate)) => pacer.set_rate(max_rate, now),
            (_, max_rate) => self.pacer = max_rate.map(|max_rate| RatePacer::new(max_rate, now)),
        }
        self.start_waiting(now);
    }

    /// Changes the limit that holds while the target is cold, and whether it is; `None` means that there is no limit.
    pub fn set_cold_limit(&mut self, limit: Option<ColdLimit>, is_cold: bool, now: TimeUs) {
        match limit {
            Some(limit) => self.cold_pacer.get_or_insert_with(|| ColdPacer::new(limit, now)).set(limit, is_cold, now),
            None => self.cold_pacer = None,
        }
        self.start_waiting(now);
    }

    /// Returns whether a started call may be sent to the target now. Starts count at the moment of sending while the
    /// target is cold, so that a call that was held up, or that started while the target was warm, starts anew.
    pub fn confirm_start(&mut self, call: CallId, now: TimeUs) -> bool {
        let Some(cold_pacer) = self.cold_pacer.as_mut().filter(|cold_pacer| cold_pacer.is_cold()) else { return true };
        let Some(started_at) = self.running.get_mut(&call) else { return false };
        if cold_pacer.is_current(*started_at, now) {
            return true;
        }
        if !cold_pacer.may_start(now) {
            return false;
        }
        cold_pacer.record_start(now);
        *started_at = now;
        true
    }

    /// Returns when [`SlotQueue::confirm_start`] may succeed; `None` if nothing is known to prevent it.
    pub fn next_cold_start_at(&self) -> Option<TimeUs> {
        self.cold_pacer.as_ref().and_then(ColdPacer::next_start_at)
    }

    /// Returns the rate at which calls start, or `None` if it is not limited.
    pub fn paced_rate(&self) -> Option<RateMilliPerS> {
        self.paced_rate_per_s().map(|per_s| RateMilliPerS((per_s * MILLI).round() as u64))
    }

    /// Admits, queues or refuses a new call. The result for a queued call follows as an event of
    /// [`SlotQueue::take_events`].
    pub fn offer(&mut self, request: SlotRequest, now: TimeUs) -> Admission {
        if self.waiting.is_empty() && self.may_start(now) {
            self.start(request.call, now);
            return Admission::Run;
        }
        let calls_ahead = self.waiting.range(..=(request.rank, u64::MAX)).count();
        let expected_wait_us = self.expected_wait_us(calls_ahead, now);
        let remaining_us = request.deadline.us_since(now) as f64;
        if expected_wait_us > remaining_us * MAX_WAIT_SHARE
            || self.would_miss_deadline(expected_wait_us, request.deadline, now)
        {
            return Admission::Refused(self.refusal(now));
        }
        if self.waiting.len() >= self.limit * MAX_WAITING_PER_SLOT && !self.evict_below(request.rank, now) {
            return Admission::Refused(self.refusal(now));
        }
        let position = (request.rank, self.next_sequence);
        self.next_sequence += 1;
        self.waiting.insert(position, request);
        self.positions.insert(request.call, position);
        Admission::Queued
    }

    /// Frees the slot or the queue position of a call that ended. Only answered calls update the mean hold
    /// time.
    pub fn release(&mut self, call: CallId, answered: bool, now: TimeUs) {
        if let Some(started_at) = self.running.remove(&call) {
            if answered {
                self.update_hold_time(now.us_since(started_at) as f64);
            }
        } else if let Some(position) = self.positions.remove(&call) {
            self.waiting.remove(&position);
        }
        self.start_waiting(now);
    }

    /// Removes and returns the starts and drops of waiting calls.
    pub fn take_events(&mut self) -> Vec<QueueEvent> {
        std::mem::take(&mut self.queue_events)
    }

    /// Returns when a waiting call may start although no other one ends, if a rate is what it waits for.
    pub fn next_start_at(&self) -> Option<TimeUs> {
        if self.running.len() >= self.limit {
            return None;
        }
        self.pacer.as_ref().map(RatePacer::next_token_at).max(self.next_cold_start_at())
    }

    /// Returns the current load.
    pub fn load(&self) -> SlotLoad {
        SlotLoad {
            limit: self.limit as u32,
            usable: self.usable_slots() as u32,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            hold_us: self.mean_hold_us as u32,
            cold_slots_milli: self
                .cold_rate_per_s()
                .map(|per_s| (per_s * self.mean_hold_us / US_PER_S * MILLI).ceil() as u32),
        }
    }

    /// Returns whether no call is running or waiting.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns the expected wait in microseconds of a call with `calls_ahead` calls before it.
    fn expected_wait_us(&self, calls_ahead: usize, now: TimeUs) -> f64 {
        let paced_us = self.paced_rate_per_s().map_or(0.0, |per_s| US_PER_S / per_s);
        let wait_us = (self.mean_hold_us / self.limit as f64).max(paced_us) * (calls_ahead + 1) as f64;
        // A target that has just turned cold takes no call before its recent ones have left the window.
        let closed_us = self.next_cold_start_at().map_or(0.0, |next| next.us_since(now) as f64);
        wait_us.max(closed_us + paced_us * calls_ahead as f64)
    }

    /// Returns the lower one of the target's maximum rate and the rate while it is cold.
    fn paced_rate_per_s(&self) -> Option<f64> {
        let max_rate_per_s = self.pacer.as_ref().map(RatePacer::rate_per_s);
        max_rate_per_s.into_iter().chain(self.cold_rate_per_s()).reduce(f64::min)
    }

    fn cold_rate_per_s(&self) -> Option<f64> {
        self.cold_pacer.as_ref().and_then(ColdPacer::rate_per_s)
    }

    /// Returns the slots that calls at the rate in force hold, at least one.
    fn usable_slots(&self) -> usize {
        let Some(per_s) = self.paced_rate_per_s() else { return self.limit };
        if self.mean_hold_us == 0.0 {
            // Calls at the rate of a cold target hold few slots, however long each takes.
            return if self.cold_rate_per_s().is_some() { 1 } else { self.limit };
        }
        ((per_s * self.mean_hold_us / US_PER_S).round() as usize).clamp(1, self.limit)
    }

    fn may_start(&mut self, now: TimeUs) -> bool {
        self.running.len() < self.limit
            && self.pacer.as_mut().is_none_or(|pacer| pacer.has_token(now))
            && self.cold_pacer.as_mut().is_none_or(|cold_pacer| cold_pacer.may_start(now))
    }

    fn start(&mut self, call: CallId, now: TimeUs) {
        if let Some(pacer) = &mut self.pacer {
            pacer.take_token();
        }
        if let Some(cold_pacer) = &mut self.cold_pacer {
            cold_pacer.record_start(now);
        }
        self.running.insert(call, now);
    }

    fn would_miss_deadline(&self, expected_wait_us: f64, deadline: TimeUs, now: TimeUs) -> bool {
        now.plus_us((expected_wait_us + self.min_hold_us) as u64) >= deadline
    }

    fn refusal(&self, now: TimeUs) -> Refusal {
        let wait_ms = (self.expected_wait_us(self.waiting.len(), now) / 1e3) as u64;
        Refusal::not_run(Reason::Shed, Some(wait_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)))
    }

    /// Drops the least urgent waiting call if it is less urgent than `rank`.
    fn evict_below(&mut self, rank: Rank, now: TimeUs) -> bool {
        let Some((&position, &last)) = self.waiting.last_key_value() else { return false };
        if last.rank <= rank {
            return false;
        }
        self.waiting.remove(&position);
        self.positions.remove(&last.call);
        self.queue_events.push(QueueEvent::Drop(last.call, self.refusal(now)));
        true
    }

    /// Starts the waiting calls that may run now. Slots that become free do so by themselves; the owner of the queue calls
    /// this at [`SlotQueue::next_start_at`].
    pub fn start_waiting(&mut self, now: TimeUs) {
        while self.may_start(now) {
            let Some((_, next)) = self.waiting.pop_first() else { return };
            self.positions.remove(&next.call);
            if self.would_miss_deadline(0.0, next.deadline, now) {
                self.queue_events.push(QueueEvent::Drop(next.call, self.refusal(now)));
                continue;
            }
            self.start(next.call, now);
            self.queue_events.push(QueueEvent::Start(next.call));
        }
    }

    fn update_hold_time(&mut self, hold_us: f64) {
        if self.mean_hold_us == 0.0 {
            self.mean_hold_us = hold_us;
            self.min_hold_us = hold_us;
            return;
        }
        self.mean_hold_us += (hold_us - self.mean_hold_us) * HOLD_TIME_WEIGHT;
        let weighted_rise = (hold_us - self.min_hold_us).max(0.0) * HOLD_TIME_WEIGHT * HOLD_TIME_WEIGHT;
        self.min_hold_us = hold_us.min(self.min_hold_us + weighted_rise);
    }
}
