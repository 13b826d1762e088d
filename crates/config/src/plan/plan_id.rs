//! Identifiers of plans.

use crate::fleet::bytes_newtype;

bytes_newtype!(
    /// Identifies a plan by a hash over its content. Two plans with the same id are the same plan, so confirming one
    /// twice is harmless.
    PlanId,
    16,
    "plan id"
);
