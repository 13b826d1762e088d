//! Handling of requests from callers and of child calls from the local target.

mod at_most_once;
mod caller;
mod child_call;
mod request;
mod response;
mod service;

pub use at_most_once::{AtMostOnceOutcome, AtMostOnceRequests};
pub use service::EntryService;
