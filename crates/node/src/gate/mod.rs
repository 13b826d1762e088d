//! The gate in front of the own target: admission, the connections to it, and its calls.

mod adaptive_timeout;
mod admission_slot;
mod local_target;
mod target_client;
mod target_gate;

pub use local_target::{LocalTarget, TargetAnnouncement, TargetProtocol};
pub use target_gate::TargetGate;
