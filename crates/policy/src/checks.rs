//! The properties that must always hold, as counters of their violations.
//!
//! Tests, randomised runs and the demo fail when a counter is above zero. In production a violation
//! is counted and reported, because stopping the node would cut off calls that are well.

mod counters;
mod invariant;

pub use counters::InvariantCounters;
pub use invariant::Invariant;
