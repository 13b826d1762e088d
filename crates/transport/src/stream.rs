//! Sends and receives heads and bodies on `h2` streams, subject to flow control.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use h2::{Reason, RecvStream, SendStream};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use serde::de::DeserializeOwned;

use crate::body::{BodyError, ByteBody, frame_data};
use crate::{PeerError, decode_head};

/// Sends `data`, waiting until the flow-control window of the receiver allows it.
///
/// # Errors
///
/// Returns [`PeerError::StreamFailed`] when the stream is closed or reset.
async fn send_data(stream: &mut SendStream<Bytes>, mut data: Bytes, end: bool) -> Result<(), PeerError> {
    while !data.is_empty() {
        stream.reserve_capacity(data.len());
        let granted = poll_fn(|context| stream.poll_capacity(context)).await;
        let granted =
            granted.ok_or_else(|| PeerError::StreamFailed("stream closed".to_owned()))?.map_err(stream_error)?;
        let chunk = data.split_to(granted.min(data.len()));
        let last = end && data.is_empty();
        stream.send_data(chunk, last).map_err(stream_error)?;
        if last {
            return Ok(());
        }
    }
    if end { stream.send_data(Bytes::new(), true).map_err(stream_error) } else { Ok(()) }
}

/// Sends the first data of a stream without waiting for flow-control capacity; `h2` buffers what exceeds the
/// window of the receiver. A new stream has no capacity before its headers are written, and waiting for it would
/// cost both ends a wake-up and a system call.
///
/// # Errors
///
/// Returns [`PeerError::StreamFailed`] when the stream is closed or reset.
pub fn send_initial_data(stream: &mut SendStream<Bytes>, data: Bytes, end: bool) -> Result<(), PeerError> {
    stream.send_data(data, end).map_err(stream_error)
}

/// Sends a head and a body. Body data that is available immediately is sent in the same frame as the head,
/// because each further frame costs both ends a wake-up.
///
/// # Errors
///
/// Returns [`PeerError::BodyAborted`] when the body is aborted, and [`PeerError::StreamFailed`] when the stream fails.
pub async fn send_head_and_body(
    stream: &mut SendStream<Bytes>,
    head: Bytes,
    mut body: ByteBody,
) -> Result<(), PeerError> {
    let mut first = BytesMut::from(head);
    if !body.is_end_stream()
        && let Some(frame) = body.frame().now_or_never()
    {
        match frame {
            Some(Ok(frame)) => first.extend_from_slice(&frame_data(frame).unwrap_or_default()),
            Some(Err(error)) => {
                stream.send_reset(Reason::INTERNAL_ERROR);
                return Err(PeerError::BodyAborted(error.to_string()));
            }
            None => return send_initial_data(stream, first.freeze(), true),
        }
    }
    let end = body.is_end_stream();
    send_initial_data(stream, first.freeze(), end)?;
    if end { Ok(()) } else { send_body(stream, body).await }
}

/// Sends a body to its end. Resets the stream when the body is aborted, so that the receiver does not mistake
/// a partial body for a complete one.
///
/// # Errors
///
/// Returns [`PeerError::BodyAborted`] when the body is aborted, and [`PeerError::StreamFailed`] when the stream fails.
async fn send_body(stream: &mut SendStream<Bytes>, mut body: ByteBody) -> Result<(), PeerError> {
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                if let Some(data) = frame_data(frame) {
                    send_data(stream, data, false).await?;
                }
            }
            Err(error) => {
                stream.send_reset(Reason::INTERNAL_ERROR);
                return Err(PeerError::BodyAborted(error.to_string()));
            }
        }
    }
    send_data(stream, Bytes::new(), true).await
}

/// Reads the head at the start of a stream, and returns it with the rest of the stream as a body.
///
/// # Errors
///
/// Returns [`PeerError::StreamFailed`] when the stream fails or ends within the head, and [`PeerError::Head`] for
/// a malformed head.
pub async fn receive_head<T: DeserializeOwned>(mut stream: RecvStream) -> Result<(T, ByteBody), PeerError> {
    let mut buffer = BytesMut::new();
    loop {
        if let Some(head) = decode_head(&mut buffer)? {
            let body = RecvStreamBody { first: Some(buffer.freeze()).filter(|rest| !rest.is_empty()), stream };
            return Ok((head, body.boxed_unsync()));
        }
        let data =
            stream.data().await.ok_or_else(|| PeerError::StreamFailed("stream ended within the head".to_owned()))?;
        let data = data.map_err(stream_error)?;
        // This fails when the stream was reset; the next read reports that.
        let _ = stream.flow_control().release_capacity(data.len());
        buffer.extend_from_slice(&data);
    }
}

/// Returns a stream without a head as a body.
pub fn stream_body(stream: RecvStream) -> ByteBody {
    RecvStreamBody { first: None, stream }.boxed_unsync()
}

/// A body that yields `first` and then the data of `stream`.
struct RecvStreamBody {
    first: Option<Bytes>,
    stream: RecvStream,
}

impl Body for RecvStreamBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        match self.stream.poll_data(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Ready(Some(Err(error))) => Poll::Ready(Some(Err(BodyError::Aborted(error.to_string())))),
            Poll::Ready(Some(Ok(data))) => {
                // This fails when the stream was reset; the next read reports that.
                let _ = self.stream.flow_control().release_capacity(data.len());
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.stream.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let first_bytes = self.first.as_ref().map_or(0, Bytes::len) as u64;
        match self.stream.is_end_stream() {
            true => SizeHint::with_exact(first_bytes),
            false => SizeHint::default(),
        }
    }
}

/// Converts an error of a stream whose request the peer may have received.
pub fn stream_error(error: h2::Error) -> PeerError {
    PeerError::StreamFailed(error.to_string())
}
