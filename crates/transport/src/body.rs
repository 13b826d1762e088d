//! Request and response bodies, streamed with backpressure.

use bytes::Bytes;
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Frame;
use quick_error::quick_error;

quick_error! {
    /// A body that ended early. Whoever forwards it resets the outgoing stream, so that the receiver does
    /// not mistake a partial body for a complete one.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BodyError {
        /// The sender failed or reset its stream.
        Aborted(detail: String) {
            display("body was aborted: {}", detail)
        }
        /// The body exceeds the configured limit.
        TooLong(limit_bytes: u64) {
            display("body exceeds the limit of {} bytes", limit_bytes)
        }
    }
}

/// A body that yields its data as a stream of frames. It is boxed, so that every source has the same type.
pub type ByteBody = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body that consists of a single frame with `bytes`.
pub fn full_body(bytes: Bytes) -> ByteBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body without data.
pub fn empty_body() -> ByteBody {
    full_body(Bytes::new())
}

/// Converts a `hyper` body, mapping its errors to [`BodyError::Aborted`].
pub fn incoming_body(body: hyper::body::Incoming) -> ByteBody {
    body.map_err(|error| BodyError::Aborted(error.to_string())).boxed_unsync()
}

/// Returns the length that a message announces for its body, in bytes.
pub fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Returns the data of a frame, or `None` for trailers, which are not forwarded.
pub fn frame_data(frame: Frame<Bytes>) -> Option<Bytes> {
    frame.into_data().ok()
}
