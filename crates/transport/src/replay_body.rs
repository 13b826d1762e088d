//! Request bodies that are buffered for retries when they are small.

use bytes::{Bytes, BytesMut};
use futures_util::stream::{self, StreamExt};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame};

use crate::body::{BodyError, ByteBody, frame_data, full_body};
use crate::held_end_body::HeldEndBody;

/// Maximum size of a body that is buffered for retries, in bytes. Buffering larger bodies would exhaust the
/// memory budget of the node with a few hundred calls in flight; such calls get a single attempt.
pub const REPLAY_LIMIT_BYTES: usize = 64 * 1024;

/// A request body that can be sent repeatedly when it is small, and once otherwise.
pub enum ReplayBody {
    /// The complete body.
    Buffered(Bytes),
    /// The buffered beginning of a large body, and the stream that yields the rest.
    Streamed {
        /// The bytes that were read into memory.
        head: Bytes,
        /// The remaining stream, or `None` after an attempt took it.
        rest: Option<ByteBody>,
    },
}

impl ReplayBody {
    /// Reads a body into memory, up to a little more than [`REPLAY_LIMIT_BYTES`].
    ///
    /// # Errors
    ///
    /// Returns [`BodyError`] when the body is aborted while it is read, or exceeds `limit_bytes` by its announced
    /// length or by the bytes read.
    pub async fn read(mut body: ByteBody, limit_bytes: u64) -> Result<Self, BodyError> {
        // Rejects a body that is too long by its announced length before a target receives any of it.
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
                let rest = limit_body(body, limit_bytes - head.len() as u64, limit_bytes);
                return Ok(Self::Streamed { head: head.freeze(), rest: Some(rest) });
            }
        }
        Ok(Self::Buffered(head.freeze()))
    }

    /// Returns the buffered bytes, which are part of the fingerprint of the request.
    pub fn leading_bytes(&self) -> &[u8] {
        match self {
            Self::Buffered(bytes) => bytes,
            Self::Streamed { head, .. } => head,
        }
    }

    /// Returns whether a part of the body is forwarded while it arrives.
    pub fn is_streamed(&self) -> bool {
        matches!(self, Self::Streamed { .. })
    }

    /// Withholds the end of a body that is forwarded while it arrives until `may_end` returns true, see [`HeldEndBody`].
    /// `announced_bytes` is the length of the whole body, if it is known. Returns the body as it is if it has arrived.
    pub fn hold_end(
        self,
        announced_bytes: Option<u64>,
        may_end: impl FnMut() -> bool + Send + Unpin + 'static,
    ) -> Self {
        match self {
            Self::Streamed { head, rest: Some(rest) } if announced_bytes != Some(head.len() as u64) => {
                let left_bytes = announced_bytes.map(|bytes| bytes.saturating_sub(head.len() as u64));
                let rest = HeldEndBody::new(rest, left_bytes, may_end).boxed();
                Self::Streamed { head, rest: Some(rest) }
            }
            body => body,
        }
    }

    /// Returns whether the whole body has arrived, if it has `announced_bytes` bytes.
    pub fn has_arrived(&self, announced_bytes: Option<u64>) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed { head, .. } => announced_bytes == Some(head.len() as u64),
        }
    }

    /// Returns whether the body can be sent again.
    pub fn has_next_attempt(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed { rest, .. } => rest.is_some(),
        }
    }

    /// Returns the body for the next attempt, or `None` when it cannot be sent again.
    pub fn next_attempt(&mut self) -> Option<ByteBody> {
        match self {
            Self::Buffered(bytes) => Some(full_body(bytes.clone())),
            Self::Streamed { head, rest } => rest.take().map(|rest| prepend(head.clone(), rest)),
        }
    }
}

/// Returns a body that yields `head` and then `rest`.
fn prepend(head: Bytes, rest: ByteBody) -> ByteBody {
    let first = stream::iter([Ok(Frame::data(head))]);
    let frames = first.chain(rest.into_data_stream().map(|data| data.map(Frame::data)));
    StreamBody::new(frames).boxed_unsync()
}

/// Returns a body that fails with [`BodyError::TooLong`] once `body` yields more than `remaining_bytes`.
fn limit_body(body: ByteBody, remaining_bytes: u64, limit_bytes: u64) -> ByteBody {
    let mut remaining_bytes = remaining_bytes;
    let frames = body.into_data_stream().map(move |data| {
        let data = data?;
        remaining_bytes = remaining_bytes.checked_sub(data.len() as u64).ok_or(BodyError::TooLong(limit_bytes))?;
        Ok(Frame::data(data))
    });
    StreamBody::new(frames).boxed_unsync()
}
