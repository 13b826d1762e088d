//! Places of a target that states its slots. See `docs/ADMISSION.md`.
//!
//! Load pattern: many callers send to one target at once, more than it has slots for. What waits is
//! started by urgency, and what can't end before its deadline is refused before it takes a slot.

use std::collections::{BTreeMap, HashMap};

use fulmartrestle_core::{CallId, Reason, Refusal, TimeUs};
use fulmartrestle_derive::local;

use crate::{Admission, QueueEvent, Rank};

/// Weight of a new hold time in the running mean.
const HOLD_WEIGHT: f64 = 0.06;

/// Share of the time that a call has left which it may be expected to wait. A call that waits longer has
/// little chance to be answered in time, and is better refused while its caller can still go elsewhere.
const MAX_WAIT_SHARE: f64 = 0.3;

/// Calls that may wait for each slot. More could not start before usual deadlines, and each holds
/// memory for its body.
const WAITING_PER_SLOT: usize = 8;

/// Shortest hint when to come back, in milliseconds. Sooner, the same queue is met again.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Longest hint when to come back, in milliseconds. Callers wait at most a third of the time they
/// have, which is seconds.
const MAX_RETRY_AFTER_MS: u64 = 2_000;

/// A call that asks for a slot.
#[local]
#[derive(Copy)]
pub struct SlotRequest {
    /// Identifies the call until it ends.
    pub call: CallId,
    /// The call's urgency.
    pub rank: Rank,
    /// When its caller stops waiting.
    pub deadline: TimeUs,
}

/// How busy the slots are.
#[local]
#[derive(Copy)]
pub struct SlotLoad {
    /// Calls that may run at one time.
    pub limit: u32,
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// Mean time for which a call holds its slot, in microseconds; zero before the first ended.
    pub hold_us: u32,
}

/// Slots of one target and the calls that wait for them.
#[derive(Debug)]
pub struct SlotQueue {
    limit: usize,
    running: HashMap<CallId, TimeUs>,
    waiting: BTreeMap<(Rank, u64), SlotRequest>,
    places: HashMap<CallId, (Rank, u64)>,
    next_place: u64,
    hold_us: f64,
    least_hold_us: f64,
    events: Vec<QueueEvent>,
}

impl SlotQueue {
    /// Returns free slots.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            running: HashMap::new(),
            waiting: BTreeMap::new(),
            places: HashMap::new(),
            next_place: 0,
            hold_us: 0.0,
            least_hold_us: 0.0,
            events: Vec::new(),
        }
    }

    /// Changes the number of slots; calls above a lower number end undisturbed.
    pub fn set_limit(&mut self, limit: usize, now: TimeUs) {
        self.limit = limit.max(1);
        self.start_waiting(now);
    }

    /// Decides about a new call. A queued call is settled later by an event of
    /// [`SlotQueue::take_events`].
    pub fn offer(&mut self, request: SlotRequest, now: TimeUs) -> Admission {
        if self.running.len() < self.limit && self.waiting.is_empty() {
            self.running.insert(request.call, now);
            return Admission::Run;
        }
        let ahead = self.waiting.range(..=(request.rank, u64::MAX)).count();
        let wait_us = self.wait_us(ahead);
        let left_us = request.deadline.us_since(now) as f64;
        if wait_us > left_us * MAX_WAIT_SHARE || self.ends_too_late(wait_us, request.deadline, now) {
            return Admission::Refused(self.refusal());
        }
        if self.waiting.len() >= self.limit * WAITING_PER_SLOT && !self.evict_below(request.rank) {
            return Admission::Refused(self.refusal());
        }
        let place = (request.rank, self.next_place);
        self.next_place += 1;
        self.waiting.insert(place, request);
        self.places.insert(request.call, place);
        Admission::Queued
    }

    /// Frees the slot of a call that ended. Only answers tell how long a call holds a slot.
    pub fn release(&mut self, call: CallId, answered: bool, now: TimeUs) {
        if let Some(started) = self.running.remove(&call) {
            if answered {
                self.learn_hold(now.us_since(started) as f64);
            }
        } else if let Some(place) = self.places.remove(&call) {
            self.waiting.remove(&place);
        }
        self.start_waiting(now);
    }

    /// Takes what became of waiting calls.
    pub fn take_events(&mut self) -> Vec<QueueEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns how busy the slots are.
    pub fn load(&self) -> SlotLoad {
        SlotLoad {
            limit: self.limit as u32,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            hold_us: self.hold_us as u32,
        }
    }

    /// Tells whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns the expected wait behind `ahead` calls, in microseconds.
    fn wait_us(&self, ahead: usize) -> f64 {
        self.hold_us * (ahead + 1) as f64 / self.limit as f64
    }

    fn ends_too_late(&self, wait_us: f64, deadline: TimeUs, now: TimeUs) -> bool {
        now.plus_us((wait_us + self.least_hold_us) as u64) >= deadline
    }

    fn refusal(&self) -> Refusal {
        let wait_ms = (self.wait_us(self.waiting.len()) / 1e3) as u64;
        Refusal::not_run(Reason::Shed, Some(wait_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)))
    }

    /// Drops the least urgent waiting call if it is less urgent than `rank`.
    fn evict_below(&mut self, rank: Rank) -> bool {
        let Some((&place, &last)) = self.waiting.last_key_value() else { return false };
        if last.rank <= rank {
            return false;
        }
        self.waiting.remove(&place);
        self.places.remove(&last.call);
        self.events.push(QueueEvent::Drop(last.call, self.refusal()));
        true
    }

    fn start_waiting(&mut self, now: TimeUs) {
        while self.running.len() < self.limit {
            let Some((_, next)) = self.waiting.pop_first() else { return };
            self.places.remove(&next.call);
            if self.ends_too_late(0.0, next.deadline, now) {
                self.events.push(QueueEvent::Drop(next.call, self.refusal()));
                continue;
            }
            self.running.insert(next.call, now);
            self.events.push(QueueEvent::Start(next.call));
        }
    }

    fn learn_hold(&mut self, hold_us: f64) {
        if self.hold_us == 0.0 {
            self.hold_us = hold_us;
            self.least_hold_us = hold_us;
            return;
        }
        self.hold_us += (hold_us - self.hold_us) * HOLD_WEIGHT;
        let rise = (hold_us - self.least_hold_us).max(0.0) * HOLD_WEIGHT * HOLD_WEIGHT;
        self.least_hold_us = hold_us.min(self.least_hold_us + rise);
    }
}
