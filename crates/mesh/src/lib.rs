//! The node beside a target on a platform that brings its own store, configuration and wire protocol.
//!
//! This crate moves bytes between callers, other nodes and the own target, and keeps what the node
//! believes. What it decides is decided by `policy` and `quota`. The platform's words stay behind the
//! traits of [`border`]. `docs/PLATFORM.md` describes the design.

mod attempt;
pub mod border;
mod caller_places;
mod clock;
mod config;
mod config_follow;
mod entry;
mod freshness;
mod gate;
mod journal;
mod metrics;
mod node;
mod own_target;
mod peer;
mod peers;
mod registry;
mod running;
mod settings;
mod state;
mod status;
mod status_io;
mod store_pace;
mod target_pool;
mod tokens;

pub use caller_places::CallerPlaces;
pub use clock::BootClock;
pub use config::{ApiKey, Backend, CallerLimits, MeshConfig, Route, TenantRow};
pub use freshness::Freshness;
pub use journal::{Journal, Line};
pub use metrics::Metrics;
pub use node::{MeshNode, MeshOptions};
pub use own_target::{Accepted, Announcement, OwnTarget};
pub use running::{GateLoad, RunAnswer, RunHead, RunReply};
pub use settings::{Bounds, MeshSettings};
pub use state::MeshState;
pub use store_pace::{StorePause, ask_age_ms, read_wait_ms};
