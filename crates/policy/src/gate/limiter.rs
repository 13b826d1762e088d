//! The adaptive concurrency limit of one target.

use fulmartrestle_core::TimeUs;

use super::{Completion, GateSettings, TargetHints};
use crate::Permille;

/// Shortest time over which latencies are averaged. Shorter windows hold too few calls to tell a
/// trend from chance.
const WINDOW_US: u64 = 100_000;
/// Longest time over which latencies are averaged when calls are rare.
const MAX_WINDOW_US: u64 = 2_000_000;
/// Fewest calls in a window that closes before the longest time.
const MIN_WINDOW_CALLS: u64 = 16;
/// Latency above the baseline that counts as waiting inside the target. Tighter bounds take the
/// normal spread of service times for overload.
const QUEUEING_RATIO: f64 = 1.5;
/// Smallest factor of one lowering because of latency.
const MIN_LATENCY_FACTOR: f64 = 0.7;
/// Factor of the limit after the target refused calls itself.
const REFUSED_FACTOR: f64 = 0.9;
/// Factor of the limit after a window with many timeouts.
const TIMEOUT_FACTOR: f64 = 0.8;
/// Share of timeouts in a window that lowers the limit.
const TIMEOUT_SHARE: f64 = 0.1;
/// Part of a limit's lowering that must show in the latency, or the lowering is undone.
const EXPECTED_EFFECT: f64 = 0.5;
/// Time constant with which the baseline follows higher latencies, in microseconds. It outlasts
/// surges, so that a surge is not taken for the normal state.
const BASELINE_RISE_US: f64 = 60_000_000.0;
/// Weight of a window whose latency is below the baseline.
const BASELINE_FALL: f64 = 0.5;
/// Share of the limit that a target starts with when it is cold.
const COLD_SHARE: f64 = 0.2;
/// Load from which on a report stops the limit from rising.
const FULL_LOAD: Permille = Permille(950);

/// Finds how many calls a target can work on at once.
///
/// A limit that is lowered because of latency is judged by what the lowering did: if calls got
/// faster, they had waited inside the target; if not, the target is slow for another reason, the
/// limit is put back and the present latency becomes the baseline. Without this a target whose own
/// back end is slow would be throttled to nothing, which helps nobody.
#[derive(Debug)]
pub(super) struct Limiter {
    limit: f64,
    min_limit: f64,
    max_limit: f64,
    hinted_limit: f64,
    warm_up_us: u64,
    first_seen: Option<TimeUs>,
    load_is_full: bool,
    baseline_us: Option<f64>,
    mean_us: f64,
    least_us: f64,
    window: Window,
    lowering: Option<Lowering>,
    changed: TimeUs,
}

#[derive(Debug, Default)]
struct Window {
    start: TimeUs,
    calls: u64,
    latency_sum_us: u64,
    least_us: Option<u64>,
    refused: u64,
    timed_out: u64,
    most_in_flight: usize,
}

/// A lowering because of latency that is not judged yet.
#[derive(Debug)]
struct Lowering {
    limit: f64,
    mean_us: f64,
}

impl Limiter {
    pub fn new(settings: &GateSettings) -> Self {
        Self {
            limit: f64::from(settings.initial_limit.clamp(settings.min_limit, settings.max_limit)),
            min_limit: f64::from(settings.min_limit),
            max_limit: f64::from(settings.max_limit),
            hinted_limit: f64::INFINITY,
            warm_up_us: settings.warm_up_ms * 1_000,
            first_seen: None,
            load_is_full: false,
            baseline_us: None,
            mean_us: 0.0,
            least_us: 0.0,
            window: Window::default(),
            lowering: None,
            changed: TimeUs::default(),
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
        self.in_use(now);
        self.load_is_full = hints.reported_load.is_some_and(|load| load >= FULL_LOAD);
        self.clamp();
    }

    /// Notes that the target is in use, which starts its warm-up.
    pub fn in_use(&mut self, now: TimeUs) {
        self.first_seen.get_or_insert(now);
    }

    /// Returns the limit of a warm target.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Returns the limit at present, which rises while the target warms up.
    pub fn limit_at(&self, now: TimeUs) -> usize {
        let age_us = now.us_since(self.first_seen.unwrap_or(now));
        if age_us >= self.warm_up_us {
            return self.limit as usize;
        }
        let warmth = COLD_SHARE + (1.0 - COLD_SHARE) * age_us as f64 / self.warm_up_us as f64;
        (self.limit * warmth).max(self.min_limit) as usize
    }

    /// Returns a time that hardly any call is faster than.
    pub fn least_service_us(&self) -> u64 {
        self.least_us as u64
    }

    /// Returns how long a call waits with `ahead` calls before it.
    pub fn wait_us(&self, ahead: usize) -> u64 {
        (self.mean_us * (ahead + 1) as f64 / self.limit.max(1.0)) as u64
    }

    /// Learns from a call that ended after `own_us` microseconds of work of the target itself.
    pub fn completed(&mut self, how: Completion, started: TimeUs, own_us: u64, in_flight: usize, now: TimeUs) {
        self.window.most_in_flight = self.window.most_in_flight.max(in_flight);
        match how {
            Completion::Answered if started >= self.changed => self.window.add(own_us),
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
        let saturated = window.most_in_flight as f64 >= self.limit * 0.9;
        if window.calls > 0 {
            self.learn_latency(&window, now);
        }
        if window.refused > 0 {
            self.set_limit((window.most_in_flight as f64).min(self.limit) * REFUSED_FACTOR, now);
            return;
        }
        if window.timed_out as f64 > TIMEOUT_SHARE * (window.calls + window.timed_out) as f64 && saturated {
            self.set_limit(self.limit * TIMEOUT_FACTOR, now);
            return;
        }
        if window.calls > 0 && saturated {
            self.follow_latency(now);
        }
    }

    fn learn_latency(&mut self, window: &Window, now: TimeUs) {
        self.mean_us = window.latency_sum_us as f64 / window.calls as f64;
        let least_us = window.least_us.unwrap_or(0) as f64;
        self.least_us = if least_us < self.least_us { least_us } else { self.least_us * 0.9 + least_us * 0.1 };
        let baseline_us = self.baseline_us.unwrap_or(self.mean_us);
        let weight = if self.mean_us < baseline_us {
            BASELINE_FALL
        } else {
            (now.us_since(window.start) as f64 / BASELINE_RISE_US).min(1.0)
        };
        self.baseline_us = Some(baseline_us + (self.mean_us - baseline_us) * weight);
    }

    fn follow_latency(&mut self, now: TimeUs) {
        self.judge_lowering(now);
        let Some(baseline_us) = self.baseline_us else { return };
        let ratio = self.mean_us / baseline_us.max(1.0);
        if ratio <= QUEUEING_RATIO {
            self.raise(now);
            return;
        }
        let factor = ratio.sqrt().recip().max(MIN_LATENCY_FACTOR);
        self.lowering = Some(Lowering { limit: self.limit, mean_us: self.mean_us });
        self.set_limit(self.limit * factor, now);
    }

    /// Undoes a lowering that didn't make calls faster.
    fn judge_lowering(&mut self, now: TimeUs) {
        let Some(lowering) = self.lowering.take() else { return };
        let lowered_by = 1.0 - self.limit / lowering.limit;
        let faster_by = 1.0 - self.mean_us / lowering.mean_us;
        if faster_by < lowered_by * EXPECTED_EFFECT {
            self.baseline_us = Some(self.mean_us);
            self.set_limit(lowering.limit, now);
        }
    }

    fn raise(&mut self, now: TimeUs) {
        if !self.load_is_full {
            let changed = self.changed;
            self.set_limit(self.limit + self.limit.sqrt().max(1.0), now);
            self.changed = changed;
        }
    }

    fn set_limit(&mut self, limit: f64, now: TimeUs) {
        self.limit = limit;
        self.clamp();
        self.changed = now;
    }

    fn clamp(&mut self) {
        let highest = self.max_limit.min(self.hinted_limit).max(self.min_limit);
        self.limit = self.limit.clamp(self.min_limit, highest);
    }
}

impl Window {
    fn add(&mut self, own_us: u64) {
        self.calls += 1;
        self.latency_sum_us += own_us;
        self.least_us = Some(self.least_us.map_or(own_us, |least_us| least_us.min(own_us)));
    }

    fn is_complete(&self, now: TimeUs) -> bool {
        let age_us = now.us_since(self.start);
        let calls = self.calls + self.refused + self.timed_out;
        age_us >= MAX_WINDOW_US || (age_us >= WINDOW_US && calls >= MIN_WINDOW_CALLS)
    }
}
