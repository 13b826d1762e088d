//! The spread of configuration between the nodes, as a pure state machine per node.
//!
//! Two tailers per zone read the log. Everybody else hears of new versions by digests, pulls the
//! records it lacks from the peer that had them, and pushes the news on: rumour spreading with
//! anti-entropy behind it, as in Demers et al., "Epidemic Algorithms for Replicated Database
//! Maintenance" (PODC 1987). See `docs/CONFIGURATION.md`.

mod append_result;
mod confirmations;
mod contacts;
mod digest;
mod effect;
mod isolation;
mod log_reader;
mod member;
mod message;
mod node;
mod node_messages;
mod node_timers;
mod puller;
mod readiness;
mod record_buffer;
mod reports;
mod snapshot_server;
mod snapshot_writer;
mod status;
mod timing;
mod urgent;

pub use append_result::{AppendResult, ConfirmOutcome, LogRequestId, ReadResult};
pub use digest::ConfigDigest;
pub use effect::ConfigEffect;
pub use isolation::Isolation;
pub use member::ConfigMember;
pub use message::{ConfigMessage, PullId};
pub use node::{ConfigNode, ConfigNodeSettings};
pub use reports::{AgedReport, ZoneReport};
pub use status::ConfigStatus;
pub use urgent::UrgentChange;
