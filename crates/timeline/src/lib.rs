//! Timeline of lost requests from the nodes' structured logs.
//!
//! Each node logs once a second how the requests that entered there ended (`outcomes`) and how full its target was
//! (`target_use`). This crate adds the lines of all nodes into steps of time and says in which of them requests were
//! lost, on which routes and in which zones, for which reasons, and which services were full. With the capacity of a
//! deployment it calculates what could have been served at most. See `docs/OPERATIONS.md`.

mod bound;
mod log_event;
mod losses;
mod step;
mod text;
mod timeline;

pub use bound::{BoundError, Deployment, Outage, RouteWork, ServiceCapacity, StepBound, bounds};
pub use losses::Losses;
pub use step::{ServiceUse, TimeStep};
pub use text::{render, render_bounds};
pub use timeline::{Timeline, TimelineError};
