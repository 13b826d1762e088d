//! The body of a long answer, which holds its call's place.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use fulmartrestle_transport::{BodyError, ByteBody};
use hyper::body::{Body, Frame, SizeHint};

use super::place::Place;
use crate::target_pool::TargetConnection;

/// A body with the place and the connection of its call, which are given up when the body ends or is
/// dropped.
pub struct HeldBody {
    inner: ByteBody,
    held: Option<(Place, TargetConnection)>,
}

impl HeldBody {
    /// Returns `inner` with what it holds.
    pub fn new(inner: ByteBody, place: Place, connection: TargetConnection) -> Self {
        Self { inner, held: Some((place, connection)) }
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        if let Poll::Ready(None | Some(Err(_))) = &polled {
            self.held = None;
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
