//! The period of a stream for which a reader has seen every record.

use fulmartrestle_core::TimeUs;

/// The period within which a reader has read every appended record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Coverage {
    /// No page has been read yet.
    Unknown,
    /// The stream has been read from its first record.
    Complete,
    /// All records appended later than `lookback_ms` before `since` have been read.
    Partial { since: TimeUs, lookback_ms: u64 },
}

impl Coverage {
    /// Returns whether every record of the last `age_ms` milliseconds has been read.
    pub(crate) fn covers_age(&self, age_ms: u64, now: TimeUs) -> bool {
        match self {
            Self::Unknown => false,
            Self::Complete => true,
            Self::Partial { since, lookback_ms } => age_ms <= now.ms_since(*since).saturating_add(*lookback_ms),
        }
    }
}
