//! Serving callers over HTTP/1.1 and h2c, and the answers that the node gives itself.

mod listener;
mod problem;

pub use listener::{CallerService, ListenerLimits, serve_callers};
pub use problem::{problem_answer, request_id_header};

/// An answer on its way to a caller.
pub type CallerAnswer = hyper::Response<crate::body::ByteBody>;
