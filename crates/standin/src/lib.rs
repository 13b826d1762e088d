//! Stand-in targets with scripted faults, for tests and the demo.
//!
//! A [`StandinTarget`] is an HTTP server (HTTP/1.1 and h2c on one port) that simulates a target: it runs a
//! limited number of requests at a time, takes a service time, calls other services through its node and
//! announces itself. Its [`TargetBehaviour`] can change at run time. It records the requests that reach it, so
//! that tests check a fleet against the targets' records and not against what nodes report. See
//! `docs/STANDIN.md`.

mod announcer;
mod behaviour;
mod call_key;
mod call_runs;
mod child;
mod daemon;
mod recorder;
mod response;
mod server;
mod service_time;
mod settings;
mod shared_state;
mod sidecar;
mod silenceable_socket;
mod silenced_connections;
mod target;
mod target_stats;
mod work;

pub use behaviour::TargetBehaviour;
pub use call_key::CallKey;
pub use call_runs::CallRuns;
pub use child::{ChildCall, ChildCaller, ChildError, ChildRequest};
pub use daemon::{DaemonArgs, DaemonError, run_daemon};
pub use response::TargetResponse;
pub use service_time::ServiceTime;
pub use settings::{Protocol, StandinSettings};
pub use sidecar::SidecarCaller;
pub use target::StandinTarget;
pub use target_stats::{RecordedRequest, TargetStats};

/// Header that carries the context of a call from a node to a target. Targets pass it on with the calls that
/// they make.
pub const CONTEXT_HEADER: &str = "fulmartrestle-context";

/// Header with the id of one send of a request. Targets pass it on with the calls that they make.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header with which callers identify a request that must run at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Header that crashes a target if its value equals [`TargetBehaviour::crash_marker`].
pub const CRASH_MARKER_HEADER: &str = "x-standin-marker";
