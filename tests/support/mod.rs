//! Processes and requests for the end-to-end tests.

#![allow(dead_code, unused_imports, reason = "each test file uses a part of this module")]

mod client;
mod fleet;
mod process;
mod sidecar;

pub use client::{Answer, Client, Request};
pub use fleet::{Fleet, FleetPlan, TargetPlan, wait_until};
pub use process::Process;
pub use sidecar::{Behaviour, CallerRequest, SidecarFleet, SidecarVm};
