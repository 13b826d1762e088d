//! Correction of a target's reported capacity by its queue.
//!
//! Load pattern: more is offered than the targets have capacity for, for many seconds. How many slots can be used on average
//! without a growing queue depends on how evenly calls arrive, which no setting says. The capacity is raised in small steps
//! while hardly any calls wait, and lowered while many do.

/// Waiting calls, as a share of the slots, above which the capacity is lowered unless demand exceeds it anyway.
const MAX_WAITING_SHARE: f64 = 0.5;

/// Waiting calls, as a share of the slots, up to which hardly any calls wait.
const FEW_WAITING_SHARE: f64 = 0.1;

/// Demand, as a share of the capacity, from which on it fills the capacity.
const FILLED_LOAD: f64 = 0.95;

/// Factors by which the correction changes in each window: down while too many calls wait, up to 1 otherwise, and above it
/// while demand fills the capacity and hardly any calls wait.
const DECREASE_FACTOR: f64 = 0.95;
const INCREASE_FACTOR: f64 = 1.04;
const PROBE_FACTOR: f64 = 1.02;

/// Lowest correction. Calls that still wait then have another cause than the capacity.
const MIN_CORRECTION: f64 = 0.6;

/// Highest correction: somewhat above all slots, because hold times are known to some percent only.
const MAX_CORRECTION: f64 = 1.12;

/// Factor of a target's capacity.
#[derive(Debug)]
pub(super) struct CapacityCorrection(f64);

impl Default for CapacityCorrection {
    fn default() -> Self {
        Self(1.0)
    }
}

impl CapacityCorrection {
    /// Returns the factor.
    pub fn factor(&self) -> f64 {
        self.0
    }

    /// Updates the factor at the end of a window. `demand_load` is the demand as a share of the corrected capacity,
    /// `waiting_share` the number of waiting calls as a share of the slots.
    pub fn update(&mut self, demand_load: f64, waiting_share: f64) {
        let has_long_queue = waiting_share > MAX_WAITING_SHARE;
        let has_few_waiting = waiting_share <= FEW_WAITING_SHARE;
        let factor = if has_long_queue && (demand_load <= 1.0 || self.0 > 1.0) {
            self.0 * DECREASE_FACTOR
        } else if self.0 < 1.0 {
            (self.0 * INCREASE_FACTOR).min(1.0)
        } else if has_few_waiting && demand_load >= FILLED_LOAD {
            self.0 * PROBE_FACTOR
        } else if has_few_waiting {
            (self.0 / PROBE_FACTOR).max(1.0)
        } else {
            self.0
        };
        self.0 = factor.clamp(MIN_CORRECTION, MAX_CORRECTION);
    }
}
