//! Simulation of claim nodes, a log and callers in virtual time, with fault injection.
#![allow(dead_code, missing_docs)]

pub mod fleet;
pub mod log;

pub use fleet::{Faults, Fleet};
pub use log::{LogFaults, SimLog};

/// Returns a number from the environment, so that a simulation can be lengthened or repeated with
/// another seed.
pub fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}
