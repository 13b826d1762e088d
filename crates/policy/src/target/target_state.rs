//! State of one target.

use fulmartrestle_core::{AvailabilityZone, Service, TimeUs};

use super::health::Health;
use super::{AnnouncedTarget, CallResult, CompletedCall, TargetSettings};

/// Weight of a new latency in the running mean.
const LATENCY_WEIGHT: f64 = 0.1;
/// Maximum ratio of the announced slots of two targets that are compared. Announcements may be wrong, and a
/// wrong one must neither starve a good target nor overload a weak one.
const MAX_SLOTS_RATIO: f64 = 4.0;
/// Share of the calls that a cold target gets initially.
const COLD_CALL_SHARE: f64 = 0.1;
/// Factor of the load score of a target that recently refused a call or has a connection that stopped
/// responding.
const AVOIDED_LOAD_FACTOR: f64 = 4.0;

/// An announced target with the measurements of this node.
#[derive(Debug)]
pub(super) struct TargetState {
    announced: AnnouncedTarget,
    added_at: TimeUs,
    pub in_flight: u32,
    latency_us: f64,
    refusal_pause_until: TimeUs,
    consecutive_timeouts: u32,
    /// Response count of all the service's targets at this target's last response.
    service_responses_at_last_response: u64,
    pub health: Health,
}

impl TargetState {
    pub fn new(announced: AnnouncedTarget, latency_us: f64, now: TimeUs) -> Self {
        Self {
            announced,
            added_at: now,
            in_flight: 0,
            latency_us,
            refusal_pause_until: TimeUs::default(),
            consecutive_timeouts: 0,
            service_responses_at_last_response: 0,
            health: Health::default(),
        }
    }

    pub fn has_same_location(&self, announced: &AnnouncedTarget) -> bool {
        self.announced.service == announced.service && self.announced.zone == announced.zone
    }

    pub fn update(&mut self, announced: AnnouncedTarget) {
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
        let slots = f64::from(self.announced.slots.max(1)) * self.warm_share(now);
        let has_full_slots = self.announced.slots > 0 && f64::from(self.in_flight) >= slots * settings.busy_load;
        has_full_slots || now < self.refusal_pause_until
    }

    /// Returns the load of this target for a comparison with `other`; lower is better.
    pub fn load_score(&self, other: &Self, now: TimeUs) -> f64 {
        let slots = self.comparable_slots(other) * self.warm_share(now);
        let is_avoided = now < self.refusal_pause_until || self.health.is_replacing_silent_connection();
        let factor = if is_avoided { AVOIDED_LOAD_FACTOR } else { 1.0 };
        f64::from(self.in_flight + 1) * self.latency_us.max(1.0) * factor / slots
    }

    /// Updates the state with the result of a call; `service_responses` counts the responses of all the
    /// service's targets.
    pub fn record_call_end(
        &mut self,
        call: CompletedCall,
        service_responses: u64,
        settings: &TargetSettings,
        now: TimeUs,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match call.result {
            CallResult::Answered => {
                self.update_latency(call.latency_us);
                self.consecutive_timeouts = 0;
                self.service_responses_at_last_response = service_responses;
                self.health.record_response();
            }
            CallResult::Refused => {
                self.refusal_pause_until = now.plus_ms(settings.refused_pause_ms);
                self.health.record_response();
            }
            CallResult::ConnectionLost => self.health.record_lost_call(settings, now),
            CallResult::TimedOut => {
                self.update_latency(call.latency_us);
                self.record_timeout(service_responses, settings, now);
            }
            CallResult::Cancelled => self.health.record_inconclusive_probe(now),
        }
    }

    /// Counts a timeout and suspects the target if it only timed out while the other targets answered.
    /// Timeouts alone prove nothing, because every target has them in an overload.
    fn record_timeout(&mut self, service_responses: u64, settings: &TargetSettings, now: TimeUs) {
        self.consecutive_timeouts += 1;
        let others_answered =
            service_responses - self.service_responses_at_last_response >= u64::from(settings.timeouts_to_suspect);
        if self.consecutive_timeouts >= settings.timeouts_to_suspect && others_answered {
            self.consecutive_timeouts = 0;
            self.health.record_unresponsive(settings, now);
        } else {
            self.health.record_inconclusive_probe(now);
        }
    }

    fn update_latency(&mut self, latency_us: u64) {
        self.latency_us += (latency_us as f64 - self.latency_us) * LATENCY_WEIGHT;
    }

    fn comparable_slots(&self, other: &Self) -> f64 {
        if self.announced.slots == 0 || other.announced.slots == 0 {
            return 1.0;
        }
        let other_slots = f64::from(other.announced.slots);
        (f64::from(self.announced.slots) / other_slots).clamp(MAX_SLOTS_RATIO.recip(), MAX_SLOTS_RATIO) * other_slots
    }

    fn warm_share(&self, now: TimeUs) -> f64 {
        let age_ms = now.ms_since(self.added_at);
        let warm_up_ms = self.announced.warm_up_ms;
        if age_ms >= warm_up_ms {
            return 1.0;
        }
        COLD_CALL_SHARE + (1.0 - COLD_CALL_SHARE) * age_ms as f64 / warm_up_ms as f64
    }
}
