//! Claim nodes, a log and callers in virtual time, with faults.
#![allow(dead_code, missing_docs)]

pub mod fleet;
pub mod log;

pub use fleet::{Faults, Fleet};
pub use log::{LogFaults, SimLog};

/// Reads a number from the environment, so that runs can be widened and repeated.
pub fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}
