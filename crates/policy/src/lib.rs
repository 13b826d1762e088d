//! Admission control, load balancing, retry decisions and blocking of requests that crash targets.
//!
//! Everything here is pure and synchronous: the current time and random numbers are arguments, and nothing
//! does I/O. Some decisions have two implementations: the `node` crate uses [`TargetTable`],
//! [`IngressAdmission`] and [`AdmissionGate`], the `mesh` crate [`LoadBalancer`], [`CapacityAdmission`] and
//! [`SlotQueue`]. The design is described in `docs/ADMISSION.md`, `docs/RETRIES.md`, `docs/TARGET-CHOICE.md`,
//! `docs/CRASH-REQUESTS.md`, `docs/DRAIN.md` and `docs/design/zone-evacuation.md`.

mod admission_gate;
mod admission_level;
mod arrivals;
mod arrived_request;
mod capacity_admission;
pub mod checks;
mod cold_limit;
mod cold_pacer;
mod crash;
mod demand;
mod evacuation_report;
mod evacuation_state;
mod failure_meter;
mod ingress_admission;
mod large_routes;
mod load_balancer;
mod load_metrics;
mod noticed_runs;
mod pace_estimate;
mod parents;
mod pause_guard;
mod peer_contact;
mod processor_use;
mod rank;
mod rate_pacer;
mod reported_load;
mod retry;
mod route_costs;
mod slot_queue;
mod stop_admission;
mod stop_schedule;
mod target;
mod target_notices;
mod tenant_demand;
mod tenant_division;
mod zone_traffic;

pub use admission_gate::{
    Admission, AdmissionGate, AdmissionGateSettings, Completion, OfferedCall, QueueEvent, TargetHints,
};
pub use admission_level::{
    AdmissionLevel, AdmissionLevelReport, BasisPoints, MAX_TENANT_SHARES, SheddableShares, TenantHash, TenantShares,
};
pub use arrivals::{ArrivalMeter, RouteArrivals};
pub use arrived_request::ArrivedRequest;
pub use capacity_admission::{BindingService, CapacityAdmission};
pub use cold_limit::ColdLimit;
pub use crash::{
    AnsweredRequests, CallLoss, CrashEvidence, CrashMark, CrashSettings, CrashTable, CrashVerdict, EndedCall,
    LossVerdict, ProbeResult, RunWatch, request_fingerprint,
};
pub use demand::{DemandMeter, DemandReport, Origin, ProcessorWork, RouteDemand};
pub use evacuation_report::EvacuationReport;
pub use evacuation_state::{EvacuationRecord, EvacuationState};
pub use failure_meter::{AttemptEnd, FailureMeter};
pub use ingress_admission::{IngressAdmission, IngressAdmissionSettings, IngressRequest};
pub use large_routes::LargeRoutes;
pub use load_balancer::{LoadBalancer, TargetReport};
pub use load_metrics::LoadMetrics;
pub use pace_estimate::PaceEstimate;
pub use parents::RunningParents;
pub use pause_guard::PauseGuard;
pub use peer_contact::{ContactChange, ContactCheck, ContactSubject, PeerContact};
pub use processor_use::{ProcessorUse, ProcessorWindow};
pub use rank::Rank;
pub use retry::{
    AttemptResult, FailedAttempt, FleetRetryBudgets, RetryAllowance, RetryBudgetSettings, RetryBudgets, RetryContext,
    RetryDecision, RetryReservation, decide_retry,
};
pub use route_costs::RouteCosts;
pub use slot_queue::{SlotLoad, SlotQueue, SlotRequest};
pub use stop_admission::{StopAdmission, StopTimes};
pub use stop_schedule::StopSchedule;
pub use target::{AnnouncedTarget, CallResult, CompletedCall, TargetRequirements, TargetSettings, TargetTable};
pub use target_notices::TargetNotices;
pub use tenant_division::TenantDivision;
pub use zone_traffic::{ZoneLoad, ZoneShare, ZoneTraffic, ZoneTrafficReason, ZoneTrafficSettings};
