//! Refusals: what a caller is told when it gets no answer from a target.

use fulmartrestle_derive::{record, value};

/// What is known about the work of a request that got no whole answer.
#[value]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No target was handed the request.
    NotRun,
    /// A target may have run the request, in part or in full.
    Unknown,
}

/// Why a request was refused.
#[value]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request can't be understood or lacks a needed header.
    BadRequest,
    /// The request's body is longer than allowed.
    TooLarge,
    /// The key is missing, unknown or withdrawn.
    Unauthorized,
    /// The route is not open to this tenant.
    Forbidden,
    /// No route has this path.
    NoRoute,
    /// The tenant sent more than its rate and burst.
    OverRate,
    /// The service is overloaded and this request is among those that matter least.
    Shed,
    /// No target of the service is available.
    NoTarget,
    /// The target is leaving or the node is stopping.
    Draining,
    /// The deadline passed, or can no longer be met.
    Deadline,
    /// An idempotency key was claimed before and the first answer is not held here.
    Claimed,
    /// The claim can't be made because the platform's log is out of reach.
    LogUnavailable,
    /// This node has no current configuration.
    NotReady,
    /// Requests like this one crashed targets and are blocked for a while.
    Blocked,
    /// The target's connection failed while it ran the request.
    TargetFailed,
    /// The target sent something that is not a valid answer.
    BadAnswer,
    /// The caller went away.
    Cancelled,
}

impl Reason {
    /// Returns the HTTP status that callers see for this reason.
    pub const fn http_status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::NoRoute => 404,
            Self::Claimed => 409,
            Self::TooLarge => 413,
            Self::Blocked => 422,
            Self::OverRate => 429,
            Self::Cancelled => 499,
            Self::TargetFailed | Self::BadAnswer => 502,
            Self::Shed | Self::NoTarget | Self::Draining | Self::LogUnavailable | Self::NotReady => 503,
            Self::Deadline => 504,
        }
    }

    /// Returns the reason's name as callers see it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::TooLarge => "too_large",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden => "forbidden",
            Self::NoRoute => "no_route",
            Self::OverRate => "over_rate",
            Self::Shed => "shed",
            Self::NoTarget => "no_target",
            Self::Draining => "draining",
            Self::Deadline => "deadline",
            Self::Claimed => "claimed",
            Self::LogUnavailable => "log_unavailable",
            Self::NotReady => "not_ready",
            Self::Blocked => "blocked",
            Self::TargetFailed => "target_failed",
            Self::BadAnswer => "bad_answer",
            Self::Cancelled => "cancelled",
        }
    }
}

/// A final refusal of one request or of one attempt.
#[record]
#[derive(Copy, Eq)]
pub struct Refusal {
    /// Whether a target may have run the request.
    pub outcome: Outcome,
    /// Why it was refused.
    pub reason: Reason,
    /// When the caller should come back, in milliseconds; absent where waiting doesn't help.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Returns a refusal of a request that no target was handed.
    pub const fn not_run(reason: Reason, retry_after_ms: Option<u64>) -> Self {
        Self { outcome: Outcome::NotRun, reason, retry_after_ms }
    }

    /// Returns a refusal of a request that a target may have run.
    pub const fn unknown(reason: Reason) -> Self {
        Self { outcome: Outcome::Unknown, reason, retry_after_ms: None }
    }
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let outcome = match self.outcome {
            Outcome::NotRun => "not run",
            Outcome::Unknown => "unknown",
        };
        write!(formatter, "{} ({outcome})", self.reason.as_str())
    }
}
