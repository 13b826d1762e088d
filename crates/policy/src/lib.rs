//! Decisions of a node about admission, target choice, retries and requests that crash targets.
//!
//! Everything here is pure and synchronous: the present time and random draws are arguments, and
//! nothing does I/O. The design is described in `docs/ADMISSION.md`, `docs/RETRIES.md`,
//! `docs/TARGET-CHOICE.md`, `docs/CRASH-REQUESTS.md` and `docs/DRAIN.md`.

mod arrivals;
mod capacity_door;
pub mod checks;
mod crash;
mod door;
mod gate;
mod level;
mod parents;
mod placement;
mod rank;
mod retry;
mod route_costs;
mod slot_queue;
mod target;
mod usage;

pub use arrivals::{ArrivalMeter, RouteArrivals};
pub use capacity_door::CapacityDoor;
pub use crash::{CrashMark, CrashSettings, CrashTable, CrashVerdict};
pub use door::{Door, DoorCheck, DoorSettings};
pub use gate::{Admission, Completion, Gate, GateEvent, GateSettings, Offer, TargetHints};
pub use level::{
    AdmissionLevel, BasisPoints, LevelReport, MAX_TENANT_SHARES, SheddableShares, TenantHash, TenantShares,
};
pub use parents::RunningParents;
pub use placement::{Placement, TargetReport};
pub use rank::Rank;
pub use retry::{
    AttemptResult, FailedAttempt, Reservation, RetryAllowance, RetryBudgetSettings, RetryBudgets, RetryDecision,
    RetryQuestion, decide_retry,
};
pub use route_costs::RouteCosts;
pub use slot_queue::{SlotLoad, SlotQueue, SlotRequest};
pub use target::{CallEnd, ChooseRequest, EndResult, TargetRow, TargetSettings, TargetTable};
pub use usage::{Origin, RouteUse, UseMeter, UseReport};
