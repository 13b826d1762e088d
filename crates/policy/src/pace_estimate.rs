//! Pace of a target's work, from the figures in its responses. See `docs/design/load-metrics.md`.
//!
//! Load pattern: the speed of a target drops by a factor of two or three for about half a second, many times a minute.
//! The mean hold time follows too late and stays high after the target has recovered.

use fulmartrestle_core::TimeUs;

use crate::slot_queue::HOLD_TIME_WEIGHT;

/// Time constant over which figures are smoothed, in milliseconds. Figures change many times a second; slow periods
/// last about 600 ms and should be seen within a quarter of that.
const SMOOTHING_MS: f64 = 150.0;

/// Age from which the last figure says nothing about the present, in milliseconds.
const MAX_FIGURE_AGE_MS: u64 = 1_000;

/// Range of figures that are taken over as they are, in percent. The slowest targets are expected at 1,300. A false
/// figure outside the range would dominate the means for seconds.
const MIN_FIGURE_PERCENT: u32 = 10;
const MAX_FIGURE_PERCENT: u32 = 2_000;

const US_PER_MS: f64 = 1e3;

/// Present pace of one target, and its mean over the calls that make up the mean hold time.
#[derive(Debug, Default)]
pub struct PaceEstimate {
    present_percent: f64,
    call_mean_percent: Option<f64>,
    last_figure: Option<TimeUs>,
}

impl PaceEstimate {
    /// Records a figure of the target.
    pub fn record_figure(&mut self, percent: u32, now: TimeUs) {
        let percent = f64::from(percent.clamp(MIN_FIGURE_PERCENT, MAX_FIGURE_PERCENT));
        match self.last_figure.filter(|_| self.is_fresh(now)) {
            Some(last) => {
                let weight = 1.0 - (-(now.us_since(last) as f64) / (SMOOTHING_MS * US_PER_MS)).exp();
                self.present_percent += (percent - self.present_percent) * weight;
            }
            None => self.present_percent = percent,
        }
        self.last_figure = Some(now);
    }

    /// Records that a call was answered. `started_percent` is the pace when it started. The mean has the weights of the
    /// mean hold time, so that the quotient of both does not depend on the pace.
    pub fn record_answered_call(&mut self, started_percent: Option<u32>, now: TimeUs) {
        let Some(ended_percent) = self.present_percent(now).map(f64::from) else { return };
        let call_percent = (started_percent.map_or(ended_percent, f64::from) + ended_percent) / 2.0;
        let mean = self.call_mean_percent.get_or_insert(call_percent);
        *mean += (call_percent - *mean) * HOLD_TIME_WEIGHT;
    }

    /// Discards the present pace, because another run of the target has started. The mean stays, like the mean hold time.
    pub fn discard_present(&mut self) {
        self.last_figure = None;
    }

    /// Returns the present pace in percent of what is normal on all targets, or `None` without a fresh figure.
    pub fn present_percent(&self, now: TimeUs) -> Option<u32> {
        self.is_fresh(now).then_some(self.present_percent.round() as u32)
    }

    /// Returns the present pace in percent of its mean over the calls that make up the mean hold time, or `None` without
    /// a fresh figure.
    pub fn relative_percent(&self, now: TimeUs) -> Option<u32> {
        let present_percent = f64::from(self.present_percent(now)?);
        Some((100.0 * present_percent / self.call_mean_percent?).round() as u32)
    }

    fn is_fresh(&self, now: TimeUs) -> bool {
        self.last_figure.is_some_and(|last| now.ms_since(last) <= MAX_FIGURE_AGE_MS)
    }
}
