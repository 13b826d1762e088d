//! The node beside a target on a platform that brings its own store, configuration and wire protocol.
//!
//! This crate moves bytes between callers, other nodes and the local target, and holds the node's local view
//! of the fleet. Decisions are made by the `policy` and `quota` crates. Everything specific to a platform is
//! behind the traits of [`platform`]. `docs/PLATFORM.md` describes the design.

mod attempt;
mod call_messages;
mod caller_connection_limit;
mod caller_handler;
mod clock;
mod completion_watcher;
mod config;
mod config_follower;
mod config_freshness;
mod config_position;
mod contact_watch;
mod crash_marks;
mod evacuation;
mod event_log;
mod gate;
mod handled_counts;
mod large_response_limit;
mod left_runs;
mod local_target;
mod metrics;
mod node;
mod node_messages;
mod node_start;
mod outcome_log;
mod outcome_meter;
mod peer_streams;
mod peer_table;
pub mod platform;
mod processor_watch;
mod registry;
mod settings;
mod settled_era;
mod state;
mod status_exchange;
mod status_message;
mod stop_notice;
mod stop_watch;
mod store_polling;
mod target_connection_pool;
mod target_verification;
mod tokens;
mod upload_end;
mod zone_traffic;

pub use call_messages::{CallOutcome, CallRequestHead, CallResponseHead, GateReport, NoticedRun};
pub use caller_connection_limit::CallerConnectionLimit;
pub use clock::BootClock;
pub use config::{ApiKey, Backend, CallerLimits, MeshConfig, Route, TenantConfig};
pub use config_freshness::ConfigFreshness;
pub use config_position::{ConfigPosition, KnownVersions};
pub use crash_marks::{CrashMarkLog, CrashNotice, CrashNotices};
pub use event_log::{EventLog, LogLine, write_blocks};
pub use large_response_limit::LargeResponseLimit;
pub use left_runs::wait_until_saved;
pub use local_target::{Announcement, AnnouncementResult, ColdState, ExpectedTarget, LocalTarget, TargetRun};
pub use metrics::Metrics;
pub use node::{MeshNode, MeshOptions};
pub use node_start::NodeStart;
pub use outcome_meter::{OutcomeMeter, RequestEnd, RequestRoute, RouteOutcomes};
pub use peer_table::{PeerTable, Registration, StatusEffect};
pub use settings::{DeploymentBounds, MeshSettings};
pub use state::MeshState;
pub use status_message::{
    IndexedArrivals, IndexedDemand, NodeIdentity, NodeStatus, StatusMessage, TargetLoad, TargetPhase, index_arrivals,
    index_demand,
};
pub use store_polling::{ReadReason, StoreBackoff, StoreBounds, StoreRole, StoreStep, StoreView};
