//! Messages that two nodes exchange for one request.

use fulmartrestle_core::{Fingerprint, Reason, Refusal, RouteId, Service, Tenant};
use fulmartrestle_derive::record;
use fulmartrestle_policy::{Origin, Rank, TargetNotices, TargetReport};
use fulmartrestle_transport::ForwardedHeaders;

/// Head of a request that a node sends to the gate of a target. It never contains the caller's API key.
#[record]
pub struct CallRequestHead {
    /// The caller's ID of the request.
    pub request_id: Option<String>,
    /// Identifies further tries of the same request, whose IDs differ.
    pub fingerprint: Fingerprint,
    /// The route that the request matched.
    pub route: RouteId,
    /// The service that must run the request.
    pub service: Service,
    /// The target instance that was selected; empty if any may run the request.
    pub instance: String,
    /// What the sender knows of the run of that instance.
    pub noticed: Option<NoticedRun>,
    /// Priority in the gate's queue.
    pub rank: Rank,
    /// The external request that this one belongs to, if known.
    pub origin: Option<Origin>,
    /// Whether the request was sent to another gate before.
    pub is_retry: bool,
    /// The tenant that the request's key belongs to.
    pub tenant: Option<Tenant>,
    /// The service of the node that received the request from its caller.
    pub caller: Service,
    /// Time left until the deadline, in microseconds. A duration is sent because the clocks of two nodes cannot
    /// be compared.
    pub deadline_left_us: u64,
    /// Whether the request may be sent again after an unknown outcome.
    pub repeatable: bool,
    /// HTTP method.
    pub method: String,
    /// Path and query of the URI.
    pub path: String,
    /// End-to-end headers; hop-by-hop headers are removed.
    pub headers: ForwardedHeaders,
}

/// What a node knows of a run of a target that it sends a call to.
#[record]
pub struct NoticedRun {
    /// Start of the run, in milliseconds since the Unix epoch.
    pub started_unix_ms: i64,
    /// What the run has said about itself.
    pub notices: TargetNotices,
}

/// How a call ended at a gate.
#[record]
pub enum CallOutcome {
    /// The target responded. The body follows on the stream.
    Answered {
        /// HTTP status code.
        status: u16,
        /// End-to-end headers; hop-by-hop headers are removed.
        headers: ForwardedHeaders,
    },
    /// No target has run the request.
    NotRun {
        /// The reason and the Retry-After time.
        refusal: Refusal,
        /// Whether the target itself refused the request, as opposed to the gate.
        reached_target: bool,
    },
    /// The target may have run the request.
    Unknown {
        /// The failure that left the outcome unknown.
        reason: Reason,
        /// Whether the target ended while it ran the request.
        crashed: bool,
    },
}

/// State of a gate's target, attached to every response; `None` without a target.
pub type GateReport = Option<TargetReport>;

/// Head of the response to a call.
#[record]
pub struct CallResponseHead {
    /// How the call ended.
    pub outcome: CallOutcome,
    /// Current state of the gate's target.
    pub report: GateReport,
}
