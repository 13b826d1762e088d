//! Phases of a scenario: triggers with their time span.

use fulmartrestle_derive::local;

/// Fault or load change that a scenario applies to the fleet.
#[local]
#[derive(Copy)]
pub enum Trigger {
    /// All tenants send more requests.
    Surge {
        /// Ratio to the usual load.
        factor: f64,
    },
    /// The targets of the leaf service are slow.
    SlowService {
        /// Ratio to the usual service time.
        factor: f64,
    },
    /// The deployment's noisy tenant sends more requests.
    NoisyTenant {
        /// Ratio to the tenant's usual load.
        factor: f64,
    },
    /// Traffic permanently moves to another zone and to routes with longer call chains.
    PeakShift,
    /// The platform's log is unavailable.
    LogOutage,
    /// One zone is isolated from the other zones and from the platform's log.
    ZoneCut,
    /// A key is permanently withdrawn.
    KeyWithdrawn,
    /// A target starts to drain at the beginning and stops at the end.
    TargetLeaves,
}

/// A trigger with its beginning and end as fractions of the run's duration.
#[local]
#[derive(Copy)]
pub struct Phase {
    begin_fraction: f64,
    end_fraction: f64,
    pub(crate) trigger: Trigger,
}

impl Phase {
    /// Returns a phase that begins and ends at these fractions of the run.
    pub const fn new(begin_fraction: f64, end_fraction: f64, trigger: Trigger) -> Self {
        Self { begin_fraction, end_fraction, trigger }
    }

    /// Returns the beginning of the phase in a run of this duration, in microseconds.
    pub fn begin_us(&self, run_us: u64) -> u64 {
        (self.begin_fraction * run_us as f64) as u64
    }

    /// Returns the end of the phase in a run of this duration, in microseconds.
    pub fn end_us(&self, run_us: u64) -> u64 {
        (self.end_fraction * run_us as f64) as u64
    }

    /// Returns whether the trigger is active at this time. Permanent triggers stay active after the end of
    /// the phase.
    pub fn is_active(&self, now_us: u64, run_us: u64) -> bool {
        let has_begun = now_us >= self.begin_us(run_us);
        let is_permanent = matches!(self.trigger, Trigger::PeakShift | Trigger::KeyWithdrawn);
        has_begun && (is_permanent || now_us < self.end_us(run_us))
    }
}
