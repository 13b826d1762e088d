//! Results of certifying confirmed plans.

use fulmartrestle_core::Version;
use fulmartrestle_derive::record;

use crate::plan::PlanId;

/// The result of certifying a confirmed plan. Every reader of the log comes to the same result.
#[record]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum CertificationResult {
    /// The plan is committed and active from this version on.
    Committed {
        /// The version that the plan created.
        version: Version,
    },
    /// Another plan changed rows that this one reads or writes. The operator must create a new plan.
    Conflict {
        /// The conflicting plan, which committed first.
        lost_to: PlanId,
    },
    /// The plan is based on a version so old that conflicts can't be ruled out. The operator must create a new
    /// plan.
    BaseTooOld {
        /// The oldest base version that is still accepted.
        oldest: Version,
    },
    /// The plan's document was modified after its creation, or the plan is not valid.
    Invalid,
}

impl CertificationResult {
    /// Returns the name used in logs and in the hash over all records.
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
            Self::Conflict { lost_to } => write!(formatter, "conflicts with plan {lost_to}, which committed first"),
            Self::BaseTooOld { oldest } => write!(formatter, "based on a version before {oldest}"),
            Self::Invalid => formatter.write_str("not a valid plan"),
        }
    }
}
