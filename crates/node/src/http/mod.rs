//! Serving callers over HTTP/1.1 and h2c, and the answers that the node gives itself.

mod problem;

pub use fulmartrestle_transport::{CallerResponse, CallerService, ListenerLimits, serve_callers};
pub use problem::{problem_response, request_id_header};
