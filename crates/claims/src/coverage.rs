//! How far back a reader knows a stream without holes.

use fulmartrestle_core::TimeUs;

/// A reader knows every record that was appended within this time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Coverage {
    /// Nothing was read yet.
    Unknown,
    /// The stream was read from its very first record.
    Whole,
    /// All records appended after `known_ms` before `since` were read.
    Since { since: TimeUs, known_ms: u64 },
}

impl Coverage {
    /// Returns whether every record of the last `age_ms` milliseconds is known.
    pub(crate) fn reaches_back(&self, age_ms: u64, now: TimeUs) -> bool {
        match self {
            Self::Unknown => false,
            Self::Whole => true,
            Self::Since { since, known_ms } => age_ms <= now.ms_since(*since).saturating_add(*known_ms),
        }
    }
}
