//! One row of the table of targets.

use fulmartrestle_core::{AvailabilityZone, Service, TimeUs};

use super::health::Health;
use super::{CallResult, CompletedCall, TargetRow, TargetSettings};

/// Weight of a new latency in the running mean.
const LATENCY_WEIGHT: f64 = 0.1;
/// Factor by which announced slots may differ between two targets that are compared. Announcements
/// may be wrong, and a wrong one must not empty a good target or flood a weak one.
const MAX_SLOTS_RATIO: f64 = 4.0;
/// Share of the calls that a cold target gets at first.
const COLD_SHARE: f64 = 0.1;
/// Factor of the score of a target that refused a call or lost a silent connection a moment ago.
const AVOIDED_FACTOR: f64 = 4.0;

/// A target with what this node knows of it.
#[derive(Debug)]
pub(super) struct Row {
    announced: TargetRow,
    added: TimeUs,
    pub in_flight: u32,
    latency_us: f64,
    refused_until: TimeUs,
    timeouts: u32,
    /// Answers of all the service's targets when this one answered last.
    answers_then: u64,
    pub health: Health,
}

impl Row {
    pub fn new(announced: TargetRow, latency_us: f64, now: TimeUs) -> Self {
        Self {
            announced,
            added: now,
            in_flight: 0,
            latency_us,
            refused_until: TimeUs::default(),
            timeouts: 0,
            answers_then: 0,
            health: Health::default(),
        }
    }

    pub fn same_place(&self, announced: &TargetRow) -> bool {
        self.announced.service == announced.service && self.announced.zone == announced.zone
    }

    pub fn update(&mut self, announced: TargetRow) {
        self.announced = announced;
    }

    pub fn service(&self) -> &Service {
        &self.announced.service
    }

    pub fn zone(&self) -> &AvailabilityZone {
        &self.announced.zone
    }

    pub fn is_available(&self, now: TimeUs) -> bool {
        !self.announced.leaving && self.health.is_available(now)
    }

    /// Returns whether calls should also consider other zones.
    pub fn is_busy(&self, settings: &TargetSettings, now: TimeUs) -> bool {
        let slots = f64::from(self.announced.slots.max(1)) * self.warmth(now);
        let full = self.announced.slots > 0 && f64::from(self.in_flight) >= slots * settings.busy_load;
        full || now < self.refused_until
    }

    /// Returns the load of this target in comparison with another one; less is better.
    pub fn score(&self, other: &Self, now: TimeUs) -> f64 {
        let slots = self.comparable_slots(other) * self.warmth(now);
        let avoided = now < self.refused_until || self.health.is_silent();
        let factor = if avoided { AVOIDED_FACTOR } else { 1.0 };
        f64::from(self.in_flight + 1) * self.latency_us.max(1.0) * factor / slots
    }

    /// Learns from the end of a call; `answers` counts those of all the service's targets.
    pub fn ended(&mut self, end: CompletedCall, answers: u64, settings: &TargetSettings, now: TimeUs) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match end.result {
            CallResult::Answered => {
                self.learn_latency(end.latency_us);
                self.timeouts = 0;
                self.answers_then = answers;
                self.health.answered();
            }
            CallResult::Refused => {
                self.refused_until = now.plus_ms(settings.refused_pause_ms);
                self.health.answered();
            }
            CallResult::ConnectionLost => self.health.lost(settings, now),
            CallResult::TimedOut => {
                self.learn_latency(end.latency_us);
                self.timed_out(answers, settings, now);
            }
            CallResult::Cancelled => self.health.undecided(now),
        }
    }

    /// Timeouts alone prove nothing, because in an overload every target has them. A target is
    /// suspected when it had nothing else while others answered.
    fn timed_out(&mut self, answers: u64, settings: &TargetSettings, now: TimeUs) {
        self.timeouts += 1;
        let others_answer = answers - self.answers_then >= u64::from(settings.timeouts_to_suspect);
        if self.timeouts >= settings.timeouts_to_suspect && others_answer {
            self.timeouts = 0;
            self.health.unresponsive(settings, now);
        } else {
            self.health.undecided(now);
        }
    }

    fn learn_latency(&mut self, latency_us: u64) {
        self.latency_us += (latency_us as f64 - self.latency_us) * LATENCY_WEIGHT;
    }

    fn comparable_slots(&self, other: &Self) -> f64 {
        if self.announced.slots == 0 || other.announced.slots == 0 {
            return 1.0;
        }
        let others = f64::from(other.announced.slots);
        (f64::from(self.announced.slots) / others).clamp(MAX_SLOTS_RATIO.recip(), MAX_SLOTS_RATIO) * others
    }

    fn warmth(&self, now: TimeUs) -> f64 {
        let age_ms = now.ms_since(self.added);
        let warm_up_ms = self.announced.warm_up_ms;
        if age_ms >= warm_up_ms {
            return 1.0;
        }
        COLD_SHARE + (1.0 - COLD_SHARE) * age_ms as f64 / warm_up_ms as f64
    }
}
