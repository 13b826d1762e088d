//! Starts the processes and sends the requests of the end-to-end tests.

#![allow(dead_code, unused_imports, reason = "each test target uses only part of this module")]

mod client;
mod fleet;
mod process;
mod sidecar;

pub use client::{Client, Request, Response};
pub use fleet::{Fleet, FleetSpec, TargetSpec, wait_until};
pub use process::Process;
pub use sidecar::{
    Announced, COLD_OVERAGE, COLD_SLACK, CallerRequest, EndOfConnections, EndOfPort, Ending, FIRST_START_UNIX_MS,
    HEALTH_PATH, LastWords, RawResponse, RecordedRun, ScriptStep, SidecarFleet, SidecarVm, TargetBehaviour,
    serve_raw_target,
};
