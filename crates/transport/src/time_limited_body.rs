//! A body that must end by a given time.
//!
//! Load pattern: a target sends a body without an end, as fast as it is read. Without a limit one such response uses the
//! link and a slot until the caller closes its connection.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Sleep;

use crate::{BodyError, ByteBody};

/// A body that fails with [`BodyError::Aborted`] if it has not ended within a time. The inner body is dropped then, which
/// cancels its source.
pub struct TimeLimitedBody {
    inner: Option<ByteBody>,
    expired: Pin<Box<Sleep>>,
}

impl TimeLimitedBody {
    /// Limits the time of `inner` from now on.
    pub fn new(inner: ByteBody, limit: Duration) -> Self {
        Self { inner: Some(inner), expired: Box::pin(tokio::time::sleep(limit)) }
    }

    /// Returns the body in the type that all bodies have.
    pub fn boxed(self) -> ByteBody {
        self.boxed_unsync()
    }
}

impl Body for TimeLimitedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        // The time is checked first, because a body without an end may always have a frame ready.
        if self.expired.as_mut().poll(context).is_ready() && self.inner.take().is_some() {
            return Poll::Ready(Some(Err(BodyError::Aborted("it did not end in time".to_owned()))));
        }
        match &mut self.inner {
            Some(inner) => Pin::new(inner).poll_frame(context),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.as_ref().map_or_else(SizeHint::default, Body::size_hint)
    }
}
