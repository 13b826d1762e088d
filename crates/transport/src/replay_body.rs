//! A request's body, kept for retries while it is small.

use bytes::{Bytes, BytesMut};
use futures_util::stream::{self, StreamExt};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame};

use crate::body::{BodyError, ByteBody, frame_data, full_body};

/// Bodies up to this size can be sent again. Longer ones would cost the node's memory budget with a
/// few hundred calls in flight; they get one attempt.
pub const REPLAY_LIMIT_BYTES: usize = 64 * 1024;

/// A request's body that is replayable when it is small, and sent once otherwise.
pub enum ReplayBody {
    /// The whole body.
    Buffered(Bytes),
    /// The beginning that was read, and the rest while it was not sent.
    Streamed {
        /// The bytes read so far.
        head: Bytes,
        /// The rest; `None` once an attempt took it.
        rest: Option<ByteBody>,
    },
}

impl ReplayBody {
    /// Reads the beginning of a body.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError`] when the body breaks off within its first [`REPLAY_LIMIT_BYTES`] or
    /// announces more than `limit_bytes`.
    pub async fn read(mut body: ByteBody, limit_bytes: u64) -> Result<Self, BodyError> {
        // A body that says that it is too long is refused before a target gets any of it.
        if body.size_hint().lower() > limit_bytes {
            return Err(BodyError::TooLong(limit_bytes));
        }
        let mut head = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Some(data) = frame_data(frame?) {
                head.extend_from_slice(&data);
            }
            if head.len() as u64 > limit_bytes {
                return Err(BodyError::TooLong(limit_bytes));
            }
            if head.len() > REPLAY_LIMIT_BYTES {
                let rest = limited(body, limit_bytes - head.len() as u64, limit_bytes);
                return Ok(Self::Streamed { head: head.freeze(), rest: Some(rest) });
            }
        }
        Ok(Self::Buffered(head.freeze()))
    }

    /// Returns the leading bytes, which are part of the request's fingerprint.
    pub fn leading_bytes(&self) -> &[u8] {
        match self {
            Self::Buffered(bytes) => bytes,
            Self::Streamed { head, .. } => head,
        }
    }

    /// Returns the body for one attempt, or `None` when it can't be sent again.
    pub fn next_attempt(&mut self) -> Option<ByteBody> {
        match self {
            Self::Buffered(bytes) => Some(full_body(bytes.clone())),
            Self::Streamed { head, rest } => rest.take().map(|rest| chained(head.clone(), rest)),
        }
    }
}

/// Returns `head` followed by `rest`.
fn chained(head: Bytes, rest: ByteBody) -> ByteBody {
    let first = stream::iter([Ok(Frame::data(head))]);
    let frames = first.chain(rest.into_data_stream().map(|data| data.map(Frame::data)));
    StreamBody::new(frames).boxed_unsync()
}

/// Returns `body`, broken off once it passes `left_bytes`.
fn limited(body: ByteBody, left_bytes: u64, limit_bytes: u64) -> ByteBody {
    let mut left_bytes = left_bytes;
    let frames = body.into_data_stream().map(move |data| {
        let data = data?;
        left_bytes = left_bytes.checked_sub(data.len() as u64).ok_or(BodyError::TooLong(limit_bytes))?;
        Ok(Frame::data(data))
    });
    StreamBody::new(frames).boxed_unsync()
}
