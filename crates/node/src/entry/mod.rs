//! Requests of callers, and child calls of the own target.

mod answer;
mod caller;
mod fingerprint;
mod request;
mod service;
mod sidecar;

pub use service::EntryService;
