//! The operators' API, and the announcements of the own target.

mod api;
mod burn;
mod error;
mod pending_plans;
mod plans;
mod status;
mod targets;

pub use api::{AdminState, serve_admin};
