//! Service-level objectives, multi-window burn rates and the burn report.
//!
//! A node records the outcome of each call that it accepted. From these it computes how fast each route burns
//! its error budget, for which causes and which tenants. The summaries of nodes can be merged into one of the
//! fleet. Nothing here does I/O or reads a clock. Design choices and measurements are in `docs/BURN.md`.

mod burn_table;
mod call_counts;
mod call_sample;
mod cause;
mod error;
mod html;
mod objective;
mod report;
mod ring;
mod route_burn;
mod settings;
mod summary;
mod svg;
mod text;
mod top_tenants;

pub use burn_table::BurnTable;
pub use call_counts::CallCounts;
pub use call_sample::{CallOutcome, CallSample};
pub use cause::Cause;
pub use error::BurnError;
pub use objective::{Objective, ShareMillionths};
pub use report::{BurnReport, BurnStatus, CauseShare, MissingNode, RouteReport, TenantReport};
pub use settings::BurnSettings;
pub use summary::{BurnSummary, RouteSummary, SeriesPoint};
pub use top_tenants::TenantCounts;
