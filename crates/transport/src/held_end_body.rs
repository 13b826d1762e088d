//! A request body whose end is withheld until it is certain that the request may run.
//!
//! Load pattern: long uploads of slow callers, of which the first part is forwarded while the rest arrives. A target begins to
//! work once a request is whole, so that one whose end was never sent has not run.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};

use crate::{BodyError, ByteBody};

/// A body that asks before it yields the last of its data and before it ends, and fails with [`BodyError::Aborted`] if it may
/// not. The data that completes the announced length counts as the last: its receiver needs no other sign of the end.
pub struct HeldEndBody<F> {
    inner: Option<ByteBody>,
    may_end: F,
    announced_bytes: Option<u64>,
    yielded_bytes: u64,
    is_released: bool,
}

impl<F: FnMut() -> bool + Send + Unpin + 'static> HeldEndBody<F> {
    /// Wraps `inner`. `announced_bytes` is the length that its receiver expects, if it is known; `may_end` is asked at most
    /// once.
    pub fn new(inner: ByteBody, announced_bytes: Option<u64>, may_end: F) -> Self {
        Self { inner: Some(inner), may_end, announced_bytes, yielded_bytes: 0, is_released: false }
    }

    /// Returns the body in the type that all bodies have.
    pub fn boxed(self) -> ByteBody {
        self.boxed_unsync()
    }

    /// Returns the error of a body that may not end. The inner body is dropped then.
    fn check_end(&mut self) -> Result<(), BodyError> {
        if !self.is_released && !(self.may_end)() {
            self.inner = None;
            return Err(BodyError::Aborted("its end was withheld".to_owned()));
        }
        self.is_released = true;
        Ok(())
    }
}

impl<F: FnMut() -> bool + Send + Unpin + 'static> Body for HeldEndBody<F> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Some(inner) = &mut self.inner else { return Poll::Ready(None) };
        let polled = Pin::new(inner).poll_frame(context);
        let is_last = match &polled {
            Poll::Ready(Some(Ok(frame))) => {
                self.yielded_bytes += frame.data_ref().map_or(0, Bytes::len) as u64;
                self.announced_bytes.is_some_and(|bytes| self.yielded_bytes >= bytes)
            }
            Poll::Ready(None) => true,
            Poll::Ready(Some(Err(_))) | Poll::Pending => false,
        };
        match if is_last { self.check_end() } else { Ok(()) } {
            Ok(()) => polled,
            Err(error) => Poll::Ready(Some(Err(error))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.is_released && self.inner.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.as_ref().map_or_else(SizeHint::default, Body::size_hint)
    }
}
