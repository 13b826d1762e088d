//! Service-level burn: objectives, multi-window burn rates and the report.
//!
//! A node records how each call that it took in ended. From that it says how fast each route burns its
//! error budget, what burned it and for which tenants. Summaries of nodes merge into one of the fleet.
//! Nothing here does I/O or reads a clock. Choices and figures are in `docs/BURN.md`.

mod burn_table;
mod call_sample;
mod cause;
mod counts;
mod error;
mod html;
mod objective;
mod report;
mod ring;
mod route_burn;
mod settings;
mod summary;
mod svg;
mod tenant_top;
mod text;

pub use burn_table::BurnTable;
pub use call_sample::{CallOutcome, CallSample};
pub use cause::Cause;
pub use counts::Counts;
pub use error::BurnError;
pub use objective::{Objective, ShareMillionths};
pub use report::{BurnReport, BurnStatus, CauseShare, MissingNode, RouteReport, TenantReport};
pub use settings::BurnSettings;
pub use summary::{BurnSummary, RouteSummary, SeriesPoint};
pub use tenant_top::TenantBurn;
