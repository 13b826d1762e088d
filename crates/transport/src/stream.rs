//! Sending and receiving bodies on `h2` streams with flow control.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use h2::{Reason, RecvStream, SendStream};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use serde::de::DeserializeOwned;

use crate::body::{BodyError, ByteBody, frame_data};
use crate::{PeerError, decode_head};

/// Sends `data`, waiting for the receiver's window.
///
/// # Errors
///
/// Returns [`PeerError::StreamFailed`] when the stream was reset.
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

/// Sends the first data of a stream, which `h2` buffers if the receiver's window is smaller. A new stream has
/// no window before its headers are written: waiting for it would cost both ends a wake-up and a system call.
///
/// # Errors
///
/// Returns [`PeerError::StreamFailed`] when the stream was reset.
pub fn send_initial_data(stream: &mut SendStream<Bytes>, data: Bytes, end: bool) -> Result<(), PeerError> {
    stream.send_data(data, end).map_err(stream_error)
}

/// Sends a head and a body. What the body has ready goes out in the same frame as the head, because
/// each frame of its own costs both ends a wake-up.
///
/// # Errors
///
/// Returns [`PeerError::StreamFailed`] when either side broke off.
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
                return Err(PeerError::StreamFailed(error.to_string()));
            }
            None => return send_initial_data(stream, first.freeze(), true),
        }
    }
    let end = body.is_end_stream();
    send_initial_data(stream, first.freeze(), end)?;
    if end { Ok(()) } else { send_body(stream, body).await }
}

/// Sends a body to its end. A body that breaks off resets the stream, so that the receiver does not
/// take the part for the whole.
///
/// # Errors
///
/// Returns [`PeerError::StreamFailed`] when either side broke off.
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
                return Err(PeerError::StreamFailed(error.to_string()));
            }
        }
    }
    send_data(stream, Bytes::new(), true).await
}

/// Reads the head off the front of a stream, and returns the rest as a body.
///
/// # Errors
///
/// Returns [`PeerError::StreamFailed`] when the stream ends early and [`PeerError::Head`] for a bad head.
pub async fn receive_head<T: DeserializeOwned>(mut stream: RecvStream) -> Result<(T, ByteBody), PeerError> {
    let mut buffer = BytesMut::new();
    loop {
        if let Some(head) = decode_head(&mut buffer)? {
            let body = StreamBytes { first: Some(buffer.freeze()).filter(|rest| !rest.is_empty()), stream };
            return Ok((head, body.boxed_unsync()));
        }
        let data =
            stream.data().await.ok_or_else(|| PeerError::StreamFailed("stream ended within its head".to_owned()))?;
        let data = data.map_err(stream_error)?;
        // A stream that was reset meanwhile reports that with its next data.
        let _ = stream.flow_control().release_capacity(data.len());
        buffer.extend_from_slice(&data);
    }
}

/// Returns a whole stream as a body.
pub fn stream_body(stream: RecvStream) -> ByteBody {
    StreamBytes { first: None, stream }.boxed_unsync()
}

/// The rest of a stream as a body.
struct StreamBytes {
    first: Option<Bytes>,
    stream: RecvStream,
}

impl Body for StreamBytes {
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
                // A stream that was reset meanwhile reports that with its next data.
                let _ = self.stream.flow_control().release_capacity(data.len());
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.stream.is_end_stream()
    }
}

/// Converts an error of a stream that carried a call.
pub fn stream_error(error: h2::Error) -> PeerError {
    PeerError::StreamFailed(error.to_string())
}
