//! The HTTP/1.1 and h2c server for callers, and the responses that the node generates itself.

mod problem;

pub use fulmartrestle_transport::{CallerResponse, CallerService, ListenerLimits, serve_callers};
pub use problem::{problem_response, request_id_header};
