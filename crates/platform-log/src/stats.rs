//! Request counters of the in-memory log.

use fulmartrestle_derive::record;

/// Requests since the in-memory log was created. Tests use them to check the load on the platform.
#[record]
#[derive(Copy, Default)]
pub struct LogStats {
    /// Append requests that took effect.
    pub appends: u64,
    /// Records written by these appends.
    pub records: u64,
    /// Append requests that were refused, so that nothing was written.
    pub refused_appends: u64,
    /// Append requests whose response was dropped after they took effect.
    pub lost_answers: u64,
    /// Read requests of all kinds, including those that failed.
    pub reads: u64,
}
