//! Counters of violated invariants.
//!
//! Tests, randomised runs and the demo fail when a counter is above zero. In production a violation is
//! counted and reported, because stopping the node would abort calls that are unaffected.

mod counters;
mod invariant;

pub use counters::InvariantCounters;
pub use invariant::Invariant;
