//! What nodes say to each other about one request.

use fulmartrestle_core::{Reason, Refusal, RouteId, Service, Tenant};
use fulmartrestle_derive::record;
use fulmartrestle_policy::{Origin, Rank, TargetReport};
use fulmartrestle_transport::HeaderPair;

/// The head of a request on its way to a gate. The caller's key is not part of it.
#[record]
pub struct CallRequestHead {
    /// The caller's id of the request.
    pub request_id: Option<String>,
    /// The route.
    pub route: RouteId,
    /// The service that is meant.
    pub service: Service,
    /// The run of the target that was chosen; empty for any.
    pub instance: String,
    /// Urgency at the gate.
    pub rank: Rank,
    /// The request from outside that this one serves, if it is known.
    pub origin: Option<Origin>,
    /// Whether another gate had the request before.
    pub is_repeat: bool,
    /// Whose key came with the request.
    pub tenant: Option<Tenant>,
    /// The service beside which the request began.
    pub caller: Service,
    /// Time left until the deadline, in microseconds. Clocks of two nodes can't be compared.
    pub deadline_left_us: u64,
    /// Whether the request may be sent again when its outcome is unknown.
    pub repeatable: bool,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<HeaderPair>,
}

/// How a gate ended a request.
#[record]
pub enum CallOutcome {
    /// The target answered; the body follows.
    Answered {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<HeaderPair>,
    },
    /// No target ran the request.
    NotRun {
        /// Why, and when to come back.
        refusal: Refusal,
        /// Whether the request reached the target, which refused it itself.
        reached_target: bool,
    },
    /// The target may have run the request.
    Unknown {
        /// What went wrong.
        reason: Reason,
    },
}

/// State of a gate, which rides on every answer.
pub type GateReport = Option<TargetReport>;

/// The head of the answer to a request.
#[record]
pub struct CallResponseHead {
    /// How it ended.
    pub reply: CallOutcome,
    /// The gate's target.
    pub report: GateReport,
}
