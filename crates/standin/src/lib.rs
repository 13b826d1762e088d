//! Stand-in targets with scripted faults, for tests and the demo.
//!
//! A [`StandinTarget`] is an HTTP server (HTTP/1.1 and h2c on one port) that works like a target: it has
//! slots, takes time, calls other services through its node and announces itself. Its
//! [`TargetBehaviour`] changes at run time, and it records what reached it, so that tests judge a fleet by
//! what targets saw and not by what nodes report. See `docs/STANDIN.md`.

mod announcer;
mod behaviour;
mod call_key;
mod call_runs;
mod child;
mod connection_io;
mod daemon;
mod recorder;
mod response;
mod server;
mod service_time;
mod settings;
mod shared;
mod sidecar;
mod silence;
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

/// Header in which nodes hand a call's context to targets, and targets hand it back with their own calls.
pub const CONTEXT_HEADER: &str = "fulmartrestle-context";

/// Header that names one send of a request. Stand-ins pass it on to the calls that they make.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header with which callers name a request that must run at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Header whose presence, with the marker of [`TargetBehaviour::crash_marker`], crashes a target.
pub const MARKER_HEADER: &str = "x-standin-marker";
