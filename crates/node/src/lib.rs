//! The node process as a library: the entry for callers, the gate in front of the local target, and the admin API.
//!
//! A node receives requests from callers, sends each one to the gate of a target, and runs the calls for its local
//! target. All decisions are made by the crates `policy`, `quota`, `claims`, `membership` and `config`, which do no
//! I/O; this crate does the I/O and calls them. `docs/DESIGN.md` describes how a request is processed.

mod admin;
mod burn;
mod call;
mod claims_io;
mod clock;
mod config;
mod config_io;
pub mod context;
mod control;
mod counters;
mod directory;
mod drains;
mod entry;
mod explain;
mod fleet_query;
mod gate;
mod http;
mod join;
mod keys;
mod link_faults;
mod logging;
mod metrics;
mod node;
pub mod peer;
mod rate_limiter;
mod state;
mod traffic;
pub mod wire;

// Names under which this crate imports the body types of the transport crate.
pub(crate) use fulmartrestle_transport as body;
pub(crate) use fulmartrestle_transport as replay_body;

pub use counters::{Counter, Counters};
pub use gate::{TargetAnnouncement, TargetProtocol};
pub use link_faults::{LinkFaults, NoLinkFaults};
pub use logging::init_logging;
pub use node::{Node, NodeHandle, NodeOptions};
pub use state::NodeState;
