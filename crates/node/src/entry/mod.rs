//! Requests of callers, and child calls of the own target.

mod answer;
mod caller;
mod fingerprint;
mod once;
mod request;
mod service;
mod sidecar;

pub use once::{OnceOutcome, OnceTable};
pub use service::EntryService;
