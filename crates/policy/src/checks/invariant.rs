//! Names of the invariants.

use fulmartrestle_derive::value;

/// A property of the system that must always hold.
#[value]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// Retries for one request stay bounded across the whole chain.
    BoundedRetries,
    /// Browsing and lookups are shed before protected calls.
    SheddingOrder,
    /// A request runs only for the tenant whose key it carries, except on open routes.
    TenantIsolation,
    /// No target sees a caller's key.
    KeyConfidentiality,
    /// A withdrawn key stops working within seconds.
    KeyRevocation,
    /// No tenant gets more than its rate and burst across all VMs.
    TenantRate,
    /// A caller receives the complete response to its own request.
    AnswerIntegrity,
    /// A refusal with the outcome "not run" is true.
    HonestRefusal,
    /// A request that must not be repeated runs at most once.
    AtMostOnce,
    /// A leaving target receives no new calls after a few seconds.
    LeavingTarget,
    /// A planned stop aborts no request.
    GracefulShutdown,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    MonotonicConfiguration,
}

impl Invariant {
    /// All invariants, in the order of their indexes.
    pub const ALL: [Self; 12] = [
        Self::BoundedRetries,
        Self::SheddingOrder,
        Self::TenantIsolation,
        Self::KeyConfidentiality,
        Self::KeyRevocation,
        Self::TenantRate,
        Self::AnswerIntegrity,
        Self::HonestRefusal,
        Self::AtMostOnce,
        Self::LeavingTarget,
        Self::GracefulShutdown,
        Self::MonotonicConfiguration,
    ];

    /// Returns the invariant's index in [`Invariant::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the invariant's name in reports and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BoundedRetries => "bounded_retries",
            Self::SheddingOrder => "shedding_order",
            Self::TenantIsolation => "tenant_isolation",
            Self::KeyConfidentiality => "key_confidentiality",
            Self::KeyRevocation => "key_revocation",
            Self::TenantRate => "tenant_rate",
            Self::AnswerIntegrity => "answer_integrity",
            Self::HonestRefusal => "honest_refusal",
            Self::AtMostOnce => "at_most_once",
            Self::LeavingTarget => "leaving_target",
            Self::GracefulShutdown => "graceful_shutdown",
            Self::MonotonicConfiguration => "monotonic_configuration",
        }
    }
}

impl std::fmt::Display for Invariant {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}
