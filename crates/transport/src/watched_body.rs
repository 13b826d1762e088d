//! A body that tells how it ended.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::{BodyError, ByteBody};

/// Follows a body. A body that is dropped early drops its watcher without a word about its end.
pub trait BodyWatcher: Send + Unpin {
    /// Hears of a frame with so many bytes of data.
    fn on_frame(&mut self, _data_bytes: usize) {}

    /// Hears that the body has ended, whole or broken off. It may hear so more than once.
    fn on_end(&mut self, whole: bool);
}

/// A body with its watcher.
pub struct WatchedBody<W> {
    inner: ByteBody,
    watcher: W,
}

impl<W: BodyWatcher> WatchedBody<W> {
    /// Returns `inner`, followed by `watcher`.
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
                // Whoever reads may not poll again after the last frame.
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
