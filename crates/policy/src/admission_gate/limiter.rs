//! Adaptive concurrency limit of one target.

use fulmartrestle_core::TimeUs;

use super::{AdmissionGateSettings, Completion, TargetHints};
use crate::BasisPoints;

/// Shortest time over which latencies are averaged. Shorter windows hold too few calls to distinguish a
/// trend from random variation.
const MIN_WINDOW_US: u64 = 100_000;
/// Longest time over which latencies are averaged when calls are rare.
const MAX_WINDOW_US: u64 = 2_000_000;
/// Minimum number of calls in a window that closes before [`MAX_WINDOW_US`].
const MIN_WINDOW_CALLS: u64 = 32;
/// Ratio of latency to baseline above which calls are assumed to queue inside the target. Lower ratios
/// mistake the normal spread of service times for overload.
const QUEUEING_RATIO: f64 = 1.5;
/// Ratio of latency to baseline up to which the target counts as unloaded.
const UNLOADED_RATIO: f64 = 1.2;
/// Lower bound of the factor by which one decrease because of latency reduces the limit.
const MIN_LATENCY_DECREASE_FACTOR: f64 = 0.7;
/// Factor of a decrease when latency rose far more than the number of calls. Most likely the target is slow
/// for another reason, and a small step is enough to find out.
const TRIAL_DECREASE_FACTOR: f64 = 0.9;
/// Factor of the limit after the target refused calls itself.
const REFUSAL_DECREASE_FACTOR: f64 = 0.9;
/// Factor of the limit after a window with many timeouts.
const TIMEOUT_DECREASE_FACTOR: f64 = 0.8;
/// Share of timeouts in a window above which the limit is decreased.
const MAX_TIMEOUT_SHARE: f64 = 0.1;
/// Minimum latency reduction, relative to the decrease of the limit, without which the decrease is undone.
const MIN_RELATIVE_LATENCY_GAIN: f64 = 0.5;
/// Time constant in microseconds with which the baseline follows higher latencies while the limit isn't
/// reached. It is longer than a surge, so that a surge does not become the baseline.
const BASELINE_RISE_TIME_US: f64 = 60_000_000.0;
/// Weight of a window whose latency is slightly below the baseline. It is small, so that random variation
/// doesn't pull the baseline down.
const BASELINE_FALL_WEIGHT: f64 = 0.1;
/// Weight of a window whose latency is far below the baseline.
const BASELINE_DROP_WEIGHT: f64 = 0.5;
/// Ratio of latency to baseline below which the latency counts as far below the baseline.
const BASELINE_DROP_RATIO: f64 = 0.6;
/// Minimum length of a window, and of the pause after a change of the limit, as a multiple of the mean
/// latency. A shorter window would contain mostly the fast calls.
const MIN_WINDOW_LATENCIES: f64 = 2.0;
/// Weight of a window whose fastest call is slower than the known minimum.
const MIN_LATENCY_RISE_WEIGHT: f64 = 0.1;
/// Share of the limit at which a cold target starts.
const COLD_LIMIT_SHARE: f64 = 0.2;
/// Reported load from which on the limit is not increased.
const FULL_REPORTED_LOAD: BasisPoints = BasisPoints(950);

/// Estimates how many calls a target can process concurrently.
///
/// A decrease of the limit because of latency is evaluated by its effect: if calls got faster, they had
/// been queueing inside the target; if not, the target is slow for another reason, the previous limit is
/// restored and the present latency becomes the baseline. Without this check, a target whose own back end
/// is slow would be throttled to the minimum, which helps no caller.
#[derive(Debug)]
pub(super) struct Limiter {
    limit: f64,
    min_limit: f64,
    max_limit: f64,
    hinted_limit: f64,
    warm_up_us: u64,
    first_used_at: Option<TimeUs>,
    reports_full_load: bool,
    baseline_us: Option<f64>,
    /// Mean latency without child calls in the last window.
    mean_own_us: f64,
    /// Mean and minimum time that a call occupies a slot, including the time that it waits for child calls.
    mean_total_us: f64,
    min_total_us: f64,
    window: Window,
    /// Maximum concurrency in the last window with a latency of at most [`UNLOADED_RATIO`] times the baseline.
    unloaded_in_flight: f64,
    pending_decrease: Option<Decrease>,
    /// End of the measuring pause after the last change of the limit.
    settled_at: TimeUs,
}

/// Latency of a completed call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Latency {
    /// Time without waiting for child calls.
    pub own_us: u64,
    /// Time from the start of the call to its end.
    pub total_us: u64,
}

#[derive(Debug, Default)]
struct Window {
    start: TimeUs,
    calls: u64,
    own_sum_us: u64,
    total_sum_us: u64,
    min_total_us: Option<u64>,
    refused: u64,
    timed_out: u64,
    max_in_flight: usize,
}

/// State before a decrease because of latency that has not been evaluated yet.
#[derive(Debug)]
struct Decrease {
    limit_before: f64,
    mean_own_us_before: f64,
}

impl Limiter {
    pub fn new(settings: &AdmissionGateSettings) -> Self {
        Self {
            limit: f64::from(settings.initial_limit.clamp(settings.min_limit, settings.max_limit)),
            min_limit: f64::from(settings.min_limit),
            max_limit: f64::from(settings.max_limit),
            hinted_limit: f64::INFINITY,
            warm_up_us: settings.warm_up_ms * 1_000,
            first_used_at: None,
            reports_full_load: false,
            baseline_us: None,
            mean_own_us: 0.0,
            mean_total_us: 0.0,
            min_total_us: 0.0,
            window: Window::default(),
            unloaded_in_flight: 0.0,
            pending_decrease: None,
            settled_at: TimeUs::default(),
        }
    }

    pub fn set_hints(&mut self, hints: TargetHints, now: TimeUs) {
        let had_no_slots = self.hinted_limit.is_infinite();
        let connections = hints.connections.filter(|connections| *connections > 0).map_or(f64::INFINITY, f64::from);
        let slots = hints.slots.filter(|slots| *slots > 0).map_or(f64::INFINITY, f64::from);
        self.hinted_limit = slots.min(connections);
        if had_no_slots && slots.is_finite() && self.baseline_us.is_none() {
            self.limit = slots;
        }
        if let Some(warm_up_ms) = hints.warm_up_ms {
            self.warm_up_us = warm_up_ms * 1_000;
        }
        self.start_warm_up(now);
        self.reports_full_load = hints.reported_load.is_some_and(|load| load >= FULL_REPORTED_LOAD);
        self.clamp_limit();
    }

    /// Starts the warm-up when the target is used for the first time.
    pub fn start_warm_up(&mut self, now: TimeUs) {
        self.first_used_at.get_or_insert(now);
    }

    /// Returns the limit of the warmed-up target.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Returns the limit at time `now`; it rises while the target warms up.
    pub fn limit_at(&self, now: TimeUs) -> usize {
        let age_us = now.us_since(self.first_used_at.unwrap_or(now));
        if age_us >= self.warm_up_us {
            return self.limit as usize;
        }
        let warm_limit_share = COLD_LIMIT_SHARE + (1.0 - COLD_LIMIT_SHARE) * age_us as f64 / self.warm_up_us as f64;
        (self.limit * warm_limit_share).max(self.min_limit) as usize
    }

    /// Returns the minimum service time in microseconds; hardly any call is faster.
    pub fn min_service_us(&self) -> u64 {
        self.min_total_us as u64
    }

    /// Returns the expected wait in microseconds of a call with `calls_ahead` calls before it.
    pub fn expected_wait_us(&self, calls_ahead: usize) -> u64 {
        (self.mean_total_us * (calls_ahead + 1) as f64 / self.limit.max(1.0)) as u64
    }

    /// Updates the window with a completed call and adjusts the limit when the window is complete.
    pub fn record_completion(&mut self, completion: Completion, latency: Latency, in_flight: usize, now: TimeUs) {
        if self.window.is_empty() {
            self.window.start = self.settled_at.max(now);
        }
        self.window.max_in_flight = self.window.max_in_flight.max(in_flight);
        match completion {
            Completion::Answered if now >= self.settled_at => self.window.add_latency(latency),
            Completion::TargetRefused => self.window.refused += 1,
            Completion::TimedOut => self.window.timed_out += 1,
            Completion::Answered | Completion::Failed | Completion::Cancelled => {}
        }
        if self.window.is_complete(now) {
            self.close_window(now);
        }
    }

    fn close_window(&mut self, now: TimeUs) {
        let window = std::mem::take(&mut self.window);
        self.window.start = now;
        let saturated = window.max_in_flight as f64 >= self.limit * 0.9;
        if window.calls > 0 {
            self.update_latency(&window, saturated, now);
        }
        if window.refused > 0 {
            self.set_limit((window.max_in_flight as f64).min(self.limit) * REFUSAL_DECREASE_FACTOR, now);
            return;
        }
        if window.timed_out as f64 > MAX_TIMEOUT_SHARE * (window.calls + window.timed_out) as f64 && saturated {
            self.set_limit(self.limit * TIMEOUT_DECREASE_FACTOR, now);
            return;
        }
        if window.calls > 0 && saturated {
            self.adjust_limit_to_latency(window.max_in_flight as f64, now);
        }
    }

    fn update_latency(&mut self, window: &Window, saturated: bool, now: TimeUs) {
        self.mean_own_us = window.own_sum_us as f64 / window.calls as f64;
        self.mean_total_us = window.total_sum_us as f64 / window.calls as f64;
        self.update_min_latency(window.min_total_us.unwrap_or(0) as f64);
        let baseline_us = self.baseline_us.unwrap_or(self.mean_own_us);
        let weight = if self.mean_own_us < baseline_us * BASELINE_DROP_RATIO {
            BASELINE_DROP_WEIGHT
        } else if self.mean_own_us < baseline_us {
            BASELINE_FALL_WEIGHT
        } else if saturated {
            0.0
        } else {
            (now.us_since(window.start) as f64 / BASELINE_RISE_TIME_US).min(1.0)
        };
        let new_baseline_us = baseline_us + (self.mean_own_us - baseline_us) * weight;
        self.baseline_us = Some(new_baseline_us);
        if self.mean_own_us <= new_baseline_us * UNLOADED_RATIO {
            self.unloaded_in_flight = window.max_in_flight as f64;
        }
    }

    fn update_min_latency(&mut self, min_us: f64) {
        let weighted_rise = (min_us - self.min_total_us).max(0.0) * MIN_LATENCY_RISE_WEIGHT;
        self.min_total_us = min_us.min(self.min_total_us + weighted_rise);
    }

    fn adjust_limit_to_latency(&mut self, in_flight: f64, now: TimeUs) {
        self.evaluate_decrease(now);
        let Some(baseline_us) = self.baseline_us else { return };
        let ratio = self.mean_own_us / baseline_us.max(1.0);
        if ratio <= QUEUEING_RATIO {
            self.increase_limit();
            return;
        }
        let expected_ratio = (in_flight / self.unloaded_in_flight.max(1.0)).max(1.0) * QUEUEING_RATIO;
        let proportional_factor = ratio.sqrt().recip().max(MIN_LATENCY_DECREASE_FACTOR);
        let factor = if ratio > expected_ratio { TRIAL_DECREASE_FACTOR } else { proportional_factor };
        self.pending_decrease = Some(Decrease { limit_before: self.limit, mean_own_us_before: self.mean_own_us });
        self.set_limit(self.limit * factor, now);
    }

    /// Undoes the last decrease if it did not reduce the latency.
    fn evaluate_decrease(&mut self, now: TimeUs) {
        let Some(decrease) = self.pending_decrease.take() else { return };
        let limit_reduction = 1.0 - self.limit / decrease.limit_before;
        let latency_reduction = 1.0 - self.mean_own_us / decrease.mean_own_us_before;
        if latency_reduction < limit_reduction * MIN_RELATIVE_LATENCY_GAIN {
            self.baseline_us = Some(self.mean_own_us);
            self.set_limit(decrease.limit_before, now);
        }
    }

    fn increase_limit(&mut self) {
        if !self.reports_full_load {
            self.limit += self.limit.sqrt().max(1.0);
            self.clamp_limit();
        }
    }

    fn set_limit(&mut self, limit: f64, now: TimeUs) {
        self.limit = limit;
        self.clamp_limit();
        self.settled_at = now.plus_us((self.mean_total_us * MIN_WINDOW_LATENCIES) as u64);
        self.window = Window { start: self.settled_at, ..Window::default() };
    }

    fn clamp_limit(&mut self) {
        let upper_bound = self.max_limit.min(self.hinted_limit).max(self.min_limit);
        self.limit = self.limit.clamp(self.min_limit, upper_bound);
    }
}

impl Window {
    fn add_latency(&mut self, latency: Latency) {
        self.calls += 1;
        self.own_sum_us += latency.own_us;
        self.total_sum_us += latency.total_us;
        let min_us = self.min_total_us.unwrap_or(latency.total_us);
        self.min_total_us = Some(min_us.min(latency.total_us));
    }

    fn is_empty(&self) -> bool {
        self.calls + self.refused + self.timed_out == 0
    }

    fn is_complete(&self, now: TimeUs) -> bool {
        let age_us = now.us_since(self.start);
        let calls = self.calls + self.refused + self.timed_out;
        let mean_total_us = self.total_sum_us as f64 / self.calls.max(1) as f64;
        let has_enough_calls = calls >= MIN_WINDOW_CALLS && age_us as f64 >= mean_total_us * MIN_WINDOW_LATENCIES;
        age_us >= MAX_WINDOW_US || (age_us >= MIN_WINDOW_US && has_enough_calls)
    }
}
