//! A body that reports its progress and its end to an observer.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::{BodyError, ByteBody};

/// Observes a body. When a body is dropped before its end, its watcher is dropped without a call to
/// [`Self::on_end`].
pub trait BodyWatcher: Send + Unpin {
    /// Called for each frame, with the number of data bytes in it.
    fn on_frame(&mut self, _data_bytes: usize) {}

    /// Called when the body has ended. `complete` is false when it ended with an error. It may be called more
    /// than once.
    fn on_end(&mut self, complete: bool);
}

/// A body that forwards the frames of `inner` and notifies a [`BodyWatcher`].
pub struct WatchedBody<W> {
    inner: ByteBody,
    watcher: W,
}

impl<W: BodyWatcher> WatchedBody<W> {
    /// Wraps `inner`, so that `watcher` observes it.
    pub fn new(inner: ByteBody, watcher: W) -> Self {
        Self { inner, watcher }
    }
}

impl<W: BodyWatcher> Body for WatchedBody<W> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        match &polled {
            Poll::Ready(None) => self.watcher.on_end(true),
            Poll::Ready(Some(Err(_))) => self.watcher.on_end(false),
            Poll::Ready(Some(Ok(frame))) => {
                let data_bytes = frame.data_ref().map_or(0, Bytes::len);
                self.watcher.on_frame(data_bytes);
                // The reader may not poll again after the last frame.
                if self.inner.is_end_stream() {
                    self.watcher.on_end(true);
                }
            }
            Poll::Pending => {}
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
