//! The gate in front of the local target: admission, connections to the target, and its running calls.

mod adaptive_timeout;
mod admission_slot;
mod crashes;
mod local_target;
mod target_client;
mod target_gate;

pub use local_target::{LocalTarget, TargetAnnouncement, TargetProtocol};
pub use target_gate::TargetGate;
