//! Causes of error budget consumption.

use fulmartrestle_derive::value;

/// Why a call counts as bad.
#[value]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Refused because the service was overloaded.
    Shed,
    /// The response was an error or incomplete.
    Failed,
    /// The response was complete but slower than the objective, or the deadline passed.
    Late,
    /// Refused for another reason without having run, for example because no target was available.
    NotRun,
}

impl Cause {
    /// All causes, in the order of [`Cause::index`].
    pub const ALL: [Self; 4] = [Self::Shed, Self::Failed, Self::Late, Self::NotRun];

    /// Returns the index of the cause in [`Cause::ALL`] and in [`CallCounts::bad`](crate::CallCounts::bad).
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the name of the cause in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Shed => "shed",
            Self::Failed => "failed",
            Self::Late => "late",
            Self::NotRun => "not run",
        }
    }
}

impl std::fmt::Display for Cause {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}
