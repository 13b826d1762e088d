//! The operators' API, and the announcements of the own target.

mod api;
mod error;
mod pending_plans;
mod targets;

pub use api::{AdminState, serve_admin};
