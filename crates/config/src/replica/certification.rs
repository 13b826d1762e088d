//! What became of a confirmed plan.

use fulmartrestle_core::Version;
use fulmartrestle_derive::record;

use crate::plan::PlanId;

/// What every reader of the log decides on a confirmed plan.
#[record]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum CertificationResult {
    /// The plan is in force from this version on.
    Committed {
        /// The version that the plan made.
        version: Version,
    },
    /// Another plan changed what this one read or writes; plan again.
    Conflict {
        /// The plan that committed first.
        lost_to: PlanId,
    },
    /// The plan was made so long ago that conflicts can't be ruled out; plan again.
    BaseTooOld {
        /// The oldest base that is still accepted.
        oldest: Version,
    },
    /// The plan's document was changed by hand or can't work.
    Invalid,
}

impl CertificationResult {
    /// Returns a name for logs and hashes.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Committed { .. } => "committed",
            Self::Conflict { .. } => "conflict",
            Self::BaseTooOld { .. } => "base_too_old",
            Self::Invalid => "invalid",
        }
    }
}

impl std::fmt::Display for CertificationResult {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Committed { version } => write!(formatter, "committed as version {version}"),
            Self::Conflict { lost_to } => write!(formatter, "lost to plan {lost_to}"),
            Self::BaseTooOld { oldest } => write!(formatter, "made from a version before {oldest}"),
            Self::Invalid => formatter.write_str("not a valid plan"),
        }
    }
}
