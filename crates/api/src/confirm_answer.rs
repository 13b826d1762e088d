//! Response to a confirmation.

use fulmartrestle_config::plan::PlanId;
use fulmartrestle_config::replica::CertificationResult;
use fulmartrestle_derive::record;

/// Result of a confirmed plan. All nodes reach the same result.
#[record]
pub struct ConfirmAnswer {
    /// Identifier of the plan.
    pub plan: PlanId,
    /// Whether the plan committed, and if not, why.
    pub result: CertificationResult,
}
