//! Bodies of requests and answers, streamed with back pressure.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Frame;
use quick_error::quick_error;

quick_error! {
    /// A body that broke off. The stream that carries it onward is reset, so that nobody takes the
    /// part for the whole.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BodyError {
        /// The sender of the body failed.
        Aborted(detail: String) {
            display("body broke off: {}", detail)
        }
        /// The body is longer than allowed.
        TooLong(limit_bytes: u64) {
            display("body is longer than {} bytes", limit_bytes)
        }
    }
}

/// A streamed body.
pub type ByteBody = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body that is all there.
pub fn full_body(bytes: Bytes) -> ByteBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body without bytes.
pub fn empty_body() -> ByteBody {
    full_body(Bytes::new())
}

/// Returns `hyper`'s body with the project's error.
pub fn incoming_body(body: hyper::body::Incoming) -> ByteBody {
    body.map_err(|error| BodyError::Aborted(error.to_string())).boxed_unsync()
}

/// Returns the data of a frame, or `None` for trailers, which are not forwarded.
pub fn frame_data(frame: Frame<Bytes>) -> Option<Bytes> {
    frame.into_data().ok()
}
