//! The admin API for operators, which also receives the announcements of the local target.

mod api;
mod burn;
mod error;
mod pending_plans;
mod plans;
mod status;
mod targets;

pub use api::{AdminState, serve_admin};
