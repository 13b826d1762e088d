//! Counters of the stand-in.

use fulmartrestle_derive::record;

/// What the stand-in was asked to do so far. Tests use it to check the load put on the platform.
#[record]
#[derive(Copy, Default)]
pub struct LogStats {
    /// Append requests that took effect.
    pub appends: u64,
    /// Records written by them.
    pub records: u64,
    /// Append requests that were refused, with nothing written.
    pub refused_appends: u64,
    /// Append requests whose answer was lost after they took effect.
    pub lost_answers: u64,
    /// Read requests.
    pub reads: u64,
}
