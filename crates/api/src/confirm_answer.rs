//! The answer to a confirmation.

use fulmartrestle_config::plan::PlanId;
use fulmartrestle_config::replica::CertificationResult;
use fulmartrestle_derive::record;

/// What became of a confirmed plan; every node decides the same.
#[record]
pub struct ConfirmAnswer {
    /// The plan.
    pub plan: PlanId,
    /// What was decided.
    pub result: CertificationResult,
}
