//! A queue of messages between quota nodes in virtual time, with faults and a strict rate meter.
#![allow(dead_code, missing_docs)]

pub mod fleet;
pub mod meter;

pub use fleet::{Faults, Fleet, Load};
pub use meter::RateMeter;

/// Reads a number from the environment, so that runs can be widened and repeated.
pub fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}
