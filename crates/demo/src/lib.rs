//! Demo of a small fleet in one process, with sample deployments, load, fault scenarios and measurements.
//!
//! [`run_demo`] starts stand-in targets and, depending on the policy, nodes. It sends load through them,
//! runs a scenario, and measures at the callers and the targets. See `docs/DEMO.md`.

mod args;
mod deployment;
mod error;
mod fleet;
mod latency_overhead;
mod load;
mod measure;
mod named_enum;
mod phase;
mod report;
mod run;
mod scenario;
mod scenario_events;
mod scenario_runner;

pub use args::{DemoArgs, DeploymentName, PolicyName};
pub use deployment::{Deployment, RouteSpec, ServiceSpec, TenantSpec, ZoneSpec};
pub use error::DemoError;
pub use measure::{Invariant, Violation};
pub use report::{ClassShare, DemoReport, OutcomeCount, PhaseGoodput};
pub use run::{list_scenarios, run_demo};
pub use scenario::ScenarioName;

/// Load generation and measurement as functions over plain tables, which tests call without a fleet.
pub mod measurement {
    pub use crate::fleet::SendOutcome;
    pub use crate::latency_overhead::LatencyOverhead;
    pub use crate::load::{Arrival, LoadProfile, draw_arrivals, request_id};
    pub use crate::measure::{
        Admission, RateLimit, RunRecord, SendRow, TargetRecords, TenantGoodput, check_conformance,
        count_rate_violations, recovery_ms, summarize, worst_tenant_share,
    };
    pub use crate::phase::{Phase, Trigger};
    pub use crate::scenario_events::ScenarioEvents;
}
