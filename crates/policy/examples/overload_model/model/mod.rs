//! A small self-contained model in virtual time: clients that retry aggressively, chains of services, and one node
//! in front of each target. The example prints its results, and the randomised tests run it with faults.

mod client;
pub mod deployment;
mod event;
mod faults;
mod fleet;
mod hops;
mod in_flight;
mod node;
pub mod settings;
pub mod stats;
mod targets;

pub use fleet::Model;
