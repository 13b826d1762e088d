//! Count of the runs of one call.

use std::time::Instant;

use fulmartrestle_derive::local;

/// Number of times that one target started the work of a call, and the time of the first start.
#[local]
#[derive(Copy, Eq)]
pub struct CallRuns {
    /// Number of runs that started.
    pub count: u32,
    /// Start of the first run.
    pub first_start: Instant,
}
