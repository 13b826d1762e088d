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
    LogDown,
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
    from: f64,
    until: f64,
    pub(crate) trigger: Trigger,
}

impl Phase {
    /// Returns a trigger that begins and ends at these shares of the run.
    pub const fn new(from: f64, until: f64, trigger: Trigger) -> Self {
        Self { from, until, trigger }
    }

    /// Returns the beginning in a run of this length.
    pub fn begin_us(&self, run_us: u64) -> u64 {
        (self.from * run_us as f64) as u64
    }

    /// Returns the end in a run of this length.
    pub fn end_us(&self, run_us: u64) -> u64 {
        (self.until * run_us as f64) as u64
    }

    /// Returns whether the trigger is in force. One without an end stays in force.
    pub fn is_in_force(&self, now_us: u64, run_us: u64) -> bool {
        let begun = now_us >= self.begin_us(run_us);
        let lasting = matches!(self.trigger, Trigger::PeakShift | Trigger::KeyWithdrawn);
        begun && (lasting || now_us < self.end_us(run_us))
    }
}
