//! The identity of a plan.

use crate::fleet::bytes_newtype;

bytes_newtype!(
    /// Identifies a plan: a hash of everything it says. Two plans with the same id are the same
    /// plan, so that confirming one twice is harmless.
    PlanId,
    16,
    "plan id"
);
