//! Propagation of configuration between the nodes, as a pure state machine per node.
//!
//! Two tailers per zone read the log. All other nodes learn of new versions from digests, pull the records they lack
//! from the peer that sent the digest, and push a digest of their own: rumor mongering backed by anti-entropy, as in
//! Demers et al., "Epidemic Algorithms for Replicated Database Maintenance" (PODC 1987). To catch up after lost
//! digests, the relays of a zone pull from its tailers at regular intervals, and its other members from the relays.
//! See `docs/CONFIGURATION.md`.

mod confirmations;
mod contacts;
mod digest;
mod effect;
mod isolation;
mod log_reader;
mod log_result;
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

pub use digest::ConfigDigest;
pub use effect::ConfigEffect;
pub use isolation::Isolation;
pub use log_result::{AppendResult, ConfirmOutcome, LogRequestId, ReadResult};
pub use member::ConfigMember;
pub use message::{ConfigMessage, PullId};
pub use node::{ConfigNode, ConfigNodeSettings};
pub use reports::{AgedReport, ZoneReport};
pub use status::ConfigStatus;
pub use urgent::UrgentChange;
