//! Count of the runs of one call.

use std::time::Instant;

use fulmartrestle_derive::local;

/// How often one target started the work of the same call, and when first.
#[local]
#[derive(Copy, Eq)]
pub struct CallRuns {
    /// Number of runs that started.
    pub count: u32,
    /// Start of the first run.
    pub first_start: Instant,
}
