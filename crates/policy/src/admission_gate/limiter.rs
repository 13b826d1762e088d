//! The adaptive concurrency limit of one target.

use fulmartrestle_core::TimeUs;

use super::{AdmissionGateSettings, Completion, TargetHints};
use crate::BasisPoints;

/// Shortest time over which latencies are averaged. Shorter windows hold too few calls to tell a
/// trend from chance.
const WINDOW_US: u64 = 100_000;
/// Longest time over which latencies are averaged when calls are rare.
const MAX_WINDOW_US: u64 = 2_000_000;
/// Fewest calls in a window that closes before the longest time.
const MIN_WINDOW_CALLS: u64 = 32;
/// Latency above the baseline that counts as waiting inside the target. Tighter bounds take the
/// normal spread of service times for overload.
const QUEUEING_RATIO: f64 = 1.5;
/// Latency above the baseline that counts as none.
const CALM_RATIO: f64 = 1.2;
/// Smallest factor of one lowering because of latency.
const MIN_LATENCY_FACTOR: f64 = 0.7;
/// Factor of one lowering when latency rose far more than the number of calls. Most likely the target
/// is slow for another reason, and a small step is enough to find out.
const TRIAL_FACTOR: f64 = 0.9;
/// Factor of the limit after the target refused calls itself.
const REFUSED_FACTOR: f64 = 0.9;
/// Factor of the limit after a window with many timeouts.
const TIMEOUT_FACTOR: f64 = 0.8;
/// Share of timeouts in a window that lowers the limit.
const TIMEOUT_SHARE: f64 = 0.1;
/// Part of a limit's lowering that must show in the latency, or the lowering is undone.
const EXPECTED_EFFECT: f64 = 0.5;
/// Time constant with which the baseline follows higher latencies while the limit isn't reached, in
/// microseconds. It outlasts surges, so that a surge is not taken for the normal state.
const BASELINE_RISE_US: f64 = 60_000_000.0;
/// Weight of a window whose latency is a little below the baseline, so that chance doesn't pull the
/// baseline down.
const BASELINE_FALL: f64 = 0.1;
/// Weight of a window whose latency is far below the baseline.
const BASELINE_DROP: f64 = 0.5;
/// Ratio of latency to baseline that counts as far below.
const DROP_RATIO: f64 = 0.6;
/// Length of a window, and of the pause after a change of the limit, as a multiple of the mean
/// latency. In a shorter one mostly the fast calls would have ended.
const WINDOW_LATENCIES: f64 = 2.0;
/// Weight of a window whose fastest call is slower than the fastest known one.
const LEAST_RISE: f64 = 0.1;
/// Share of the limit that a target starts with when it is cold.
const COLD_SHARE: f64 = 0.2;
/// Load from which on a report stops the limit from rising.
const FULL_LOAD: BasisPoints = BasisPoints(950);

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
    /// Mean time of the target's own work in the last window.
    mean_us: f64,
    /// Mean and least time that a call occupied a place, with the calls that it waited for.
    mean_total_us: f64,
    least_total_us: f64,
    window: Window,
    /// Most calls that ran at once in the last window with the baseline's latency.
    calm_in_flight: f64,
    lowering: Option<Lowering>,
    /// End of the pause after the last change of the limit.
    settled: TimeUs,
}

/// How long a call took.
#[derive(Clone, Copy, Debug)]
pub(super) struct Latency {
    /// Without the time in which it waited for calls of its own.
    pub own_us: u64,
    /// From its start to its end.
    pub total_us: u64,
}

#[derive(Debug, Default)]
struct Window {
    start: TimeUs,
    calls: u64,
    own_sum_us: u64,
    total_sum_us: u64,
    least_total_us: Option<u64>,
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
    pub fn new(settings: &AdmissionGateSettings) -> Self {
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
            mean_total_us: 0.0,
            least_total_us: 0.0,
            window: Window::default(),
            calm_in_flight: 0.0,
            lowering: None,
            settled: TimeUs::default(),
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
        self.least_total_us as u64
    }

    /// Returns how long a call waits with `ahead` calls before it.
    pub fn wait_us(&self, ahead: usize) -> u64 {
        (self.mean_total_us * (ahead + 1) as f64 / self.limit.max(1.0)) as u64
    }

    /// Learns from a call that ended.
    pub fn completed(&mut self, how: Completion, latency: Latency, in_flight: usize, now: TimeUs) {
        if self.window.is_empty() {
            self.window.start = self.settled.max(now);
        }
        self.window.most_in_flight = self.window.most_in_flight.max(in_flight);
        match how {
            Completion::Answered if now >= self.settled => self.window.add(latency),
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
            self.learn_latency(&window, saturated, now);
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
            self.follow_latency(window.most_in_flight as f64, now);
        }
    }

    fn learn_latency(&mut self, window: &Window, saturated: bool, now: TimeUs) {
        self.mean_us = window.own_sum_us as f64 / window.calls as f64;
        self.mean_total_us = window.total_sum_us as f64 / window.calls as f64;
        self.learn_least(window.least_total_us.unwrap_or(0) as f64);
        let baseline_us = self.baseline_us.unwrap_or(self.mean_us);
        let weight = if self.mean_us < baseline_us * DROP_RATIO {
            BASELINE_DROP
        } else if self.mean_us < baseline_us {
            BASELINE_FALL
        } else if saturated {
            0.0
        } else {
            (now.us_since(window.start) as f64 / BASELINE_RISE_US).min(1.0)
        };
        let new_baseline_us = baseline_us + (self.mean_us - baseline_us) * weight;
        self.baseline_us = Some(new_baseline_us);
        if self.mean_us <= new_baseline_us * CALM_RATIO {
            self.calm_in_flight = window.most_in_flight as f64;
        }
    }

    fn learn_least(&mut self, least_us: f64) {
        let rise = (least_us - self.least_total_us).max(0.0) * LEAST_RISE;
        self.least_total_us = least_us.min(self.least_total_us + rise);
    }

    fn follow_latency(&mut self, in_flight: f64, now: TimeUs) {
        self.judge_lowering(now);
        let Some(baseline_us) = self.baseline_us else { return };
        let ratio = self.mean_us / baseline_us.max(1.0);
        if ratio <= QUEUEING_RATIO {
            self.raise();
            return;
        }
        let explained = (in_flight / self.calm_in_flight.max(1.0)).max(1.0) * QUEUEING_RATIO;
        let lowered = ratio.sqrt().recip().max(MIN_LATENCY_FACTOR);
        let factor = if ratio > explained { TRIAL_FACTOR } else { lowered };
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

    fn raise(&mut self) {
        if !self.load_is_full {
            self.limit += self.limit.sqrt().max(1.0);
            self.clamp();
        }
    }

    fn set_limit(&mut self, limit: f64, now: TimeUs) {
        self.limit = limit;
        self.clamp();
        self.settled = now.plus_us((self.mean_total_us * WINDOW_LATENCIES) as u64);
        self.window = Window { start: self.settled, ..Window::default() };
    }

    fn clamp(&mut self) {
        let highest = self.max_limit.min(self.hinted_limit).max(self.min_limit);
        self.limit = self.limit.clamp(self.min_limit, highest);
    }
}

impl Window {
    fn add(&mut self, latency: Latency) {
        self.calls += 1;
        self.own_sum_us += latency.own_us;
        self.total_sum_us += latency.total_us;
        let least_us = self.least_total_us.unwrap_or(latency.total_us);
        self.least_total_us = Some(least_us.min(latency.total_us));
    }

    fn is_empty(&self) -> bool {
        self.calls + self.refused + self.timed_out == 0
    }

    fn is_complete(&self, now: TimeUs) -> bool {
        let age_us = now.us_since(self.start);
        let calls = self.calls + self.refused + self.timed_out;
        let mean_total_us = self.total_sum_us as f64 / self.calls.max(1) as f64;
        let enough = calls >= MIN_WINDOW_CALLS && age_us as f64 >= mean_total_us * WINDOW_LATENCIES;
        age_us >= MAX_WINDOW_US || (age_us >= WINDOW_US && enough)
    }
}
