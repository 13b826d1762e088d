//! One trigger and when it is in force.

use fulmartrestle_derive::local;

/// Something that makes life hard for the fleet.
#[local]
#[derive(Copy)]
pub enum Trigger {
    /// All tenants send this many times as much.
    Surge {
        /// Stretch of the load.
        factor: f64,
    },
    /// The deepest service takes this many times as long.
    SlowService {
        /// Stretch of the service time.
        factor: f64,
    },
    /// The deployment's noisy tenant sends this many times as much.
    NoisyTenant {
        /// Stretch of the tenant's load.
        factor: f64,
    },
    /// Traffic moves, for good.
    PeakShift,
    /// The platform's log is down.
    LogOutage,
    /// One zone is cut off.
    ZoneCut,
    /// A key is withdrawn, for good.
    KeyWithdrawn,
    /// A target leaves at the beginning and stops at the end.
    TargetLeaves,
}

/// A trigger with its beginning and end, as shares of the run's length.
#[local]
#[derive(Copy)]
pub struct Phase {
    begin_share: f64,
    end_share: f64,
    pub(crate) trigger: Trigger,
}

impl Phase {
    /// Returns a trigger that begins and ends at these shares of the run.
    pub const fn new(begin_share: f64, end_share: f64, trigger: Trigger) -> Self {
        Self { begin_share, end_share, trigger }
    }

    /// Returns the beginning in a run of this length.
    pub fn begin_us(&self, run_us: u64) -> u64 {
        (self.begin_share * run_us as f64) as u64
    }

    /// Returns the end in a run of this length.
    pub fn end_us(&self, run_us: u64) -> u64 {
        (self.end_share * run_us as f64) as u64
    }

    /// Returns whether the trigger is in force. One without an end stays in force.
    pub fn is_active(&self, now_us: u64, run_us: u64) -> bool {
        let has_begun = now_us >= self.begin_us(run_us);
        let is_permanent = matches!(self.trigger, Trigger::PeakShift | Trigger::KeyWithdrawn);
        has_begun && (is_permanent || now_us < self.end_us(run_us))
    }
}
