//! Outcome of a call.

use fulmartrestle_core::{RouteId, Tenant};
use fulmartrestle_derive::{record, value};

/// Outcome of a call as its caller saw it.
#[value]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The response was complete.
    Complete {
        /// Time from the arrival of the call to the end of its response, in microseconds.
        latency_us: u64,
    },
    /// Refused because the service was overloaded.
    Shed,
    /// Refused because the tenant exceeded its rate and burst. It doesn't count against the objective of the
    /// route, because the tenant had agreed to its rate.
    OverRate,
    /// The response was an error or incomplete.
    Failed,
    /// The deadline passed.
    Late,
    /// Refused for another reason without having run.
    NotRun,
}

/// A call to record in a [`BurnTable`](crate::BurnTable).
#[record]
pub struct CallSample {
    /// The route that was called.
    pub route: RouteId,
    /// The calling tenant; `None` on routes that need no key.
    pub tenant: Option<Tenant>,
    /// The outcome of the call.
    pub outcome: CallOutcome,
}
