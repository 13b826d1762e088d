//! A small fleet in one process: both first deployments, load, faults and a summary.
//!
//! [`run_demo`] starts targets and what stands between them and callers, drives load, plays a scenario
//! and measures at the callers and the stand-in targets. See `docs/DEMO.md`.

mod args;
mod deployment;
mod error;
mod events;
mod fleet;
mod load;
mod measure;
mod names;
mod phase;
mod report;
mod run;
mod scenario;
mod speed;
mod stage;

pub use args::{DemoArgs, DeploymentName, PolicyName};
pub use deployment::{Deployment, RouteSpec, ServiceSpec, TenantSpec, ZoneSpec};
pub use error::DemoError;
pub use measure::{Invariant, Violation};
pub use report::{ClassShare, DemoReport, OutcomeCount, PhaseGoodput};
pub use run::{run_demo, scenario_list};
pub use scenario::ScenarioName;

/// The load and the measuring, as functions over tables.
pub mod tables {
    pub use crate::events::Events;
    pub use crate::fleet::SendOutcome;
    pub use crate::load::{Arrival, LoadProfile, arrivals, request_id};
    pub use crate::measure::{
        Admission, RateLimit, RunRecord, SendRow, TargetView, TenantGoodput, conforming, late_admissions, recovery_ms,
        summarize, worst_share,
    };
    pub use crate::phase::{Phase, Trigger};
    pub use crate::speed::Speed;
}
