//! Simulation of quota nodes in virtual time, with fault injection and a strict rate meter.
#![allow(dead_code, missing_docs)]

pub mod fleet;
pub mod meter;

pub use fleet::{Faults, Fleet, Load};
pub use meter::RateMeter;

/// Returns a number from the environment, so that a simulation can be lengthened or repeated with
/// another seed.
pub fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}
