//! A call's place at the gate, given back however the call ends.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use fulmartrestle_core::CallId;
use fulmartrestle_policy::Completion;
use hyper::body::{Body, Frame, SizeHint};

use super::GateRunner;
use crate::body::{BodyError, ByteBody};

/// A queued or running call's place. Dropping it cancels the call, so that a caller that goes away
/// frees the place at once.
pub struct Place {
    runner: Arc<GateRunner>,
    call: CallId,
    finished: bool,
}

impl Place {
    /// Holds a place that the gate has given or will give to `call`.
    pub fn new(runner: Arc<GateRunner>, call: CallId) -> Self {
        Self { runner, call, finished: false }
    }

    /// Gives the place back with the call's result.
    pub fn finish(mut self, completion: Completion) {
        self.finish_once(completion);
    }

    fn finish_once(&mut self, completion: Completion) {
        if !self.finished {
            self.finished = true;
            self.runner.complete(self.call, completion);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.finished {
            self.runner.cancel(self.call);
        }
    }
}

/// An answer's body that holds its call's place until it ends.
pub struct PlacedBody {
    inner: ByteBody,
    place: Place,
}

impl PlacedBody {
    /// Returns `inner` with the place of its call.
    pub fn new(inner: ByteBody, place: Place) -> Self {
        Self { inner, place }
    }
}

impl Body for PlacedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        match &polled {
            Poll::Ready(None) => self.place.finish_once(Completion::Answered),
            Poll::Ready(Some(Err(_))) => self.place.finish_once(Completion::Failed),
            Poll::Ready(Some(Ok(_))) if self.inner.is_end_stream() => self.place.finish_once(Completion::Answered),
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
