//! How often the work of one call began.

use std::time::Instant;

use fulmartrestle_derive::local;

/// The starts of the work of one call at one target.
#[local]
#[derive(Copy, Eq)]
pub struct CallRuns {
    /// How often the work began.
    pub count: u32,
    /// When it first began.
    pub first_start: Instant,
}
