//! Intents of operators, the plans created from them, and the changes that plans contain.
//!
//! An operator submits an [`Intent`], from which [`create_plan`] creates a [`Plan`] that states what would change and
//! what is affected. Nothing takes effect until the plan is confirmed. See `docs/PLANS.md`.

mod affected;
mod change;
mod diff;
mod intent;
mod observed_fleet;
mod plan_document;
mod plan_error;
mod plan_id;
mod planner;
mod row_check;
mod row_key;
mod time_zones;
mod warning;
mod warnings;

pub use affected::Affected;
pub use change::Change;
pub use diff::{RowDiff, diff_plan};
pub use intent::{Intent, IntentChange, StopIntent};
pub use observed_fleet::{ObservedFleet, ObservedTarget, ObservedTraffic};
pub use plan_document::{MAX_PLAN_BYTES, MAX_PLAN_CHANGES, MAX_WHY_BYTES, Plan};
pub use plan_error::{PlanError, PlanErrorKind};
pub use plan_id::PlanId;
pub use planner::{CreatedPlan, GrantedKey, PlanRequest, create_plan};
pub use row_key::RowKey;
pub use time_zones::{ResolvedTime, TimeZones};
pub use warning::Warning;
