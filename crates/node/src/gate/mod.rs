//! The gate in front of the own target: admission, the connections to it, and its calls.

mod own_target;
mod place;
mod runner;
mod silence;
mod target_client;

pub use own_target::{OwnTarget, TargetAnnouncement, TargetProtocol};
pub use runner::GateRunner;
