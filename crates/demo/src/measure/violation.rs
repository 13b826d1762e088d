//! Invariants and their violations.

use fulmartrestle_derive::{record, value};

/// Invariants of every run that callers and targets can observe.
#[value]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// A complete response belongs to the caller's own request.
    OwnAnswer,
    /// A request that is refused as not run was not started by any target.
    NotRunIsTrue,
    /// A request with an idempotency key runs at most once.
    AtMostOnce,
    /// No target receives a caller's API key.
    NoKeyAtTargets,
    /// A withdrawn key stops working within seconds.
    WithdrawnKeyStops,
    /// No tenant gets more requests admitted than its rate and burst.
    RateAndBurst,
    /// Retries of one request are bounded over the whole call chain.
    BoundedRetries,
    /// A draining target gets no new requests after a few seconds.
    LeavingTargetIsLeftAlone,
    /// A graceful stop interrupts no request.
    GracefulStop,
    /// A confirmed configuration is in force on all nodes within seconds.
    ConfigurationInForce,
}

/// A violated invariant with the extent of the violation.
#[record]
#[derive(Copy)]
pub struct Violation {
    /// Violated invariant.
    pub invariant: Invariant,
    /// Number of affected requests or keys; for limits on times and attempts, the excess over the limit in
    /// milliseconds or attempts.
    pub count: u64,
}
