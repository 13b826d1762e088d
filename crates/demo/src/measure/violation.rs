//! Broken invariants.

use fulmartrestle_derive::{record, value};

/// What must hold in every run, as far as it can be seen from outside.
#[value]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// A whole answer is the answer to the caller's own request.
    OwnAnswer,
    /// A refusal that says "not run" is true.
    NotRunIsTrue,
    /// A request that must not be repeated runs at most once.
    AtMostOnce,
    /// No target sees a caller's key.
    NoKeyAtTargets,
    /// A withdrawn key stops working within seconds.
    WithdrawnKeyStops,
    /// No tenant gets more than its rate and burst.
    RateAndBurst,
    /// Retries for one request stay bounded across the chain.
    BoundedRetries,
    /// A leaving target gets no new work after a few seconds.
    LeavingTargetIsLeftAlone,
    /// A planned stop cuts off no request.
    GracefulStop,
    /// A confirmed configuration is in force everywhere within seconds.
    ConfigurationInForce,
}

/// An invariant that did not hold, and how often.
#[record]
#[derive(Copy)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// Number of requests, or of excess milliseconds, tries or tenants where that says more.
    pub count: u64,
}
