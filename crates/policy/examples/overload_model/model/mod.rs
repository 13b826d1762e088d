//! A small closed model: clients that retry hard, chains of services, and one node in front of each
//! target, all in virtual time. The example prints its figures, and the randomised tests run it with
//! faults.

mod client;
pub mod deployment;
mod event;
mod faults;
mod fleet;
mod hops;
mod node;
pub mod settings;
pub mod stats;
mod table;
mod targets;

pub use fleet::Model;
