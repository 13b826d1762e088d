//! How one call ended.

use fulmartrestle_core::{RouteId, Tenant};
use fulmartrestle_derive::{record, value};

/// The end of one call as its caller saw it.
#[value]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// A whole answer.
    Complete {
        /// Time from the call's arrival to the end of its answer, in microseconds.
        latency_us: u64,
    },
    /// Refused because the service was overloaded.
    Shed,
    /// Refused because the tenant sent more than its rate and burst. It does not count against the
    /// route's objective: the tenant had agreed to its rate.
    OverRate,
    /// The answer was an error or broke off.
    Failed,
    /// The deadline passed.
    Late,
    /// Refused for another reason without having run.
    NotRun,
}

/// One call to record.
#[record]
pub struct CallSample {
    /// The route that was called.
    pub route: RouteId,
    /// Who called; absent on routes open to all.
    pub tenant: Option<Tenant>,
    /// How it ended.
    pub outcome: CallOutcome,
}
