//! What uses up an error budget.

use fulmartrestle_derive::value;

/// Why a call did not count as good.
#[value]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Refused because the service was overloaded.
    Shed,
    /// The answer was an error or broke off.
    Failed,
    /// The answer was whole but slower than the objective, or the deadline passed.
    Late,
    /// Refused for another reason without having run, for example because no target was there.
    NotRun,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 4] = [Self::Shed, Self::Failed, Self::Late, Self::NotRun];

    /// Returns the cause's place in [`Cause::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the cause's name in reports.
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
