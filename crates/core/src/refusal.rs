//! Refusals, which a node sends to a caller in place of a target's response.

use fulmartrestle_derive::{record, value};

/// Whether a request without a complete response may have run.
#[value]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No target received the request.
    NotRun,
    /// A target may have run the request, partly or fully.
    Unknown,
}

/// Why a request was refused.
#[value]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request is malformed or lacks a required header.
    BadRequest,
    /// The request body exceeds the size limit.
    TooLarge,
    /// The key is missing, unknown or withdrawn.
    Unauthorized,
    /// The tenant may not use this route.
    Forbidden,
    /// No route matches the path.
    NoRoute,
    /// The tenant exceeded its rate and burst.
    OverRate,
    /// The service is overloaded and this request is among those with the lowest priority.
    Shed,
    /// No target of the service is available.
    NoTarget,
    /// The target is draining or the node is stopping.
    Draining,
    /// The deadline has passed or can no longer be met.
    Deadline,
    /// The idempotency key is already claimed, and this node does not hold the first request's response.
    Claimed,
    /// The idempotency key can't be claimed because the platform's log is unavailable.
    LogUnavailable,
    /// This node has no up-to-date configuration.
    NotReady,
    /// Requests with the same fingerprint crashed targets and are blocked temporarily.
    Blocked,
    /// The target's connection failed while it ran the request.
    TargetFailed,
    /// The target sent an invalid response.
    BadAnswer,
    /// The caller disconnected.
    Cancelled,
}

impl Reason {
    /// Returns the HTTP status code of responses with this reason.
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

    /// Returns the reason's name in responses.
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

/// Final refusal of a request or of one attempt.
#[record]
#[derive(Copy, Eq)]
pub struct Refusal {
    /// Whether a target may have run the request.
    pub outcome: Outcome,
    /// Why the request was refused.
    pub reason: Reason,
    /// Retry-After in milliseconds; absent if a later retry would not help.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Returns a refusal of a request that no target received.
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
