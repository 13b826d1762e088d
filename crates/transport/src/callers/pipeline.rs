//! Concurrent handling of pipelined requests.
//!
//! Load pattern: callers send further requests before the first one is answered. `hyper` handles the requests of a
//! connection one after the other, so that each waits for those before it although other targets are free, and its
//! caller gives up a request that was not even read. Here requests that may run at any time are started as soon as their
//! heads have arrived; `hyper` still frames the connection and sends the responses in the order of the requests.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker, ready};

use bytes::{Buf, BytesMut};
use fulmartrestle_core::lock;
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderMap, Method, Uri};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::CallerResponse;
use super::request_scanner::{RequestScanner, ScannedRequest};

/// Maximum number of bytes that are read ahead of `hyper`. Further ones wait in the kernel.
const MAX_UNREAD_BYTES: usize = 16 * 1024;

/// Size of one read, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// Maximum number of requests of one connection that run at the same time. Further ones wait for their turn.
const MAX_STARTED_REQUESTS: usize = 16;

/// A request that runs in a task of its own. Dropping it cancels the request.
#[derive(Debug)]
pub struct StartedRequest {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    response: JoinHandle<CallerResponse>,
}

impl StartedRequest {
    /// Returns a request that `response` is running.
    pub fn new(parts: Parts, response: JoinHandle<CallerResponse>) -> Self {
        Self { method: parts.method, uri: parts.uri, headers: parts.headers, response }
    }

    /// Waits for the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the handler panicked.
    pub async fn response(mut self) -> io::Result<CallerResponse> {
        (&mut self.response).await.map_err(io::Error::other)
    }

    fn is_same(&self, parts: &Parts) -> bool {
        self.method == parts.method && self.uri == parts.uri && self.headers == parts.headers
    }
}

impl Drop for StartedRequest {
    fn drop(&mut self) {
        self.response.abort();
    }
}

/// A request that was read and that `hyper` has not reached yet.
#[derive(Debug)]
enum ReadRequest {
    /// No other one was unanswered when it was read, so that `hyper` handles it at once.
    Alone,
    Started(Box<StartedRequest>),
    /// It is handled when `hyper` reaches it, and later requests do not overtake it.
    Waiting(Barrier),
}

/// Prevents that later requests of its connection are started. Dropping it ends that.
#[derive(Debug)]
pub struct Barrier(Arc<AtomicUsize>);

impl Barrier {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for Barrier {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// How a request that `hyper` has reached is answered.
#[derive(Debug)]
pub enum NextRequest {
    /// It runs already.
    Started(Box<StartedRequest>),
    /// It has to be handled now; the barrier, if any, is dropped afterwards.
    Handle(Option<Barrier>),
}

/// A request that was read and is not answered yet. Dropping it ends that.
#[derive(Debug)]
pub struct Unanswered(Pipeline);

impl Drop for Unanswered {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.unanswered = state.unanswered.saturating_sub(1);
        if state.unanswered == 0 {
            state.alone = None;
        }
    }
}

/// The request that no other one was unanswered before, while it is unanswered itself.
#[derive(Debug)]
struct AloneRequest {
    request: ScannedRequest,
    /// Whether later requests may overtake it; `None` until one arrives.
    may_be_overtaken: Option<bool>,
}

#[derive(Debug, Default)]
struct PipelineState {
    unread: BytesMut,
    ended: bool,
    /// Wakes `hyper` when there are bytes.
    reader: Option<Waker>,
    requests: VecDeque<ReadRequest>,
    alone: Option<AloneRequest>,
    /// Number of requests that were read and are not answered yet.
    unanswered: usize,
    /// Number of requests that must not be overtaken.
    barriers: Arc<AtomicUsize>,
    stopped: bool,
    /// Whether the body of the last request has not arrived to its end.
    is_within_body: bool,
    /// Whether what arrives is dropped, because all responses have been sent.
    discards: bool,
}

impl PipelineState {
    fn started(&self) -> usize {
        let is_started = |request: &&ReadRequest| matches!(request, ReadRequest::Alone | ReadRequest::Started(_));
        self.requests.iter().filter(is_started).count()
    }

    /// Returns whether a request may be started before those that were read before it are answered.
    fn may_start(&mut self, request: &ScannedRequest, may_overtake: impl Fn(&Parts) -> bool) -> bool {
        if request.has_body || self.stopped || self.barriers.load(Ordering::Relaxed) > 0 {
            return false;
        }
        if self.started() >= MAX_STARTED_REQUESTS {
            return false;
        }
        self.alone.as_mut().is_none_or(|alone| {
            let is_repeatable =
                || !alone.request.has_body && alone.request.parts().is_some_and(|parts| may_overtake(&parts));
            *alone.may_be_overtaken.get_or_insert_with(is_repeatable)
        })
    }
}

/// The requests of one connection that were read ahead.
#[derive(Clone, Debug, Default)]
pub struct Pipeline {
    state: Arc<Mutex<PipelineState>>,
    /// Signals that bytes were consumed, or that a request was reached.
    progress: Arc<Notify>,
}

impl Pipeline {
    /// Reads the connection and starts requests, until the caller closes it while requests are unanswered or the
    /// connection fails. `may_overtake` returns false for a request that must not overtake others and must not be
    /// overtaken; `start` starts one.
    pub async fn read_ahead(
        &self,
        mut reader: OwnedReadHalf,
        mut scanner: RequestScanner,
        may_overtake: impl Fn(&Parts) -> bool,
        start: impl Fn(&Parts) -> JoinHandle<CallerResponse>,
    ) {
        loop {
            while lock(&self.state).unread.len() >= MAX_UNREAD_BYTES {
                self.progress.notified().await;
            }
            let read = poll_fn(|context| self.poll_read(context, &mut reader, &mut scanner, &may_overtake, &start));
            match read.await {
                Ok(1..) => {}
                Ok(0) | Err(_) => break,
            }
        }
        let has_unanswered = {
            let mut state = lock(&self.state);
            state.ended = true;
            self.progress.notify_waiters();
            if let Some(reader) = state.reader.take() {
                reader.wake();
            }
            !state.requests.is_empty() || !state.unread.is_empty()
        };
        if !has_unanswered {
            // `hyper` sees the end itself.
            std::future::pending::<()>().await;
        }
    }

    fn poll_read(
        &self,
        context: &mut Context<'_>,
        reader: &mut OwnedReadHalf,
        scanner: &mut RequestScanner,
        may_overtake: &impl Fn(&Parts) -> bool,
        start: &impl Fn(&Parts) -> JoinHandle<CallerResponse>,
    ) -> Poll<io::Result<usize>> {
        let mut state = lock(&self.state);
        let known_bytes = state.unread.len();
        // What was read is copied, so that a connection that waits holds no buffer.
        let mut space = [MaybeUninit::uninit(); READ_BYTES];
        let mut buffer = ReadBuf::uninit(&mut space);
        ready!(Pin::new(reader).poll_read(context, &mut buffer))?;
        let read = buffer.filled().len();
        if state.discards {
            // Requests behind the body are not answered either, as after any response that closes its connection.
            scanner.scan(buffer.filled());
            state.is_within_body = scanner.is_within_body();
            self.progress.notify_waiters();
            return Poll::Ready(Ok(read));
        }
        state.unread.extend_from_slice(buffer.filled());
        for request in scanner.scan(&state.unread[known_bytes..]) {
            state.unanswered += 1;
            if state.unanswered == 1 {
                state.alone = Some(AloneRequest { request, may_be_overtaken: None });
                state.requests.push_back(ReadRequest::Alone);
                continue;
            }
            let parts = match state.may_start(&request, may_overtake) {
                true => request.parts().filter(|parts| may_overtake(parts)),
                false => None,
            };
            let request = match parts {
                Some(parts) => {
                    let response = start(&parts);
                    ReadRequest::Started(Box::new(StartedRequest::new(parts, response)))
                }
                None => ReadRequest::Waiting(Barrier::new(&state.barriers)),
            };
            state.requests.push_back(request);
        }
        state.is_within_body = scanner.is_within_body();
        if let Some(reader) = state.reader.take() {
            reader.wake();
        }
        Poll::Ready(Ok(read))
    }

    /// Removes the request that `hyper` has reached. It counts as unanswered until the second value is dropped.
    pub fn take_next(&self, parts: &Parts) -> (NextRequest, Unanswered) {
        let request = lock(&self.state).requests.pop_front();
        self.progress.notify_waiters();
        let next = match request {
            Some(ReadRequest::Started(request)) if request.is_same(parts) => NextRequest::Started(request),
            Some(ReadRequest::Waiting(barrier)) => NextRequest::Handle(Some(barrier)),
            Some(ReadRequest::Alone | ReadRequest::Started(_)) | None => NextRequest::Handle(None),
        };
        (next, Unanswered(self.clone()))
    }

    /// Keeps the connection open behind a response while requests that were sent after it are running, since closing it
    /// would lose their responses.
    pub fn keep_open_while_running(&self, response: &mut CallerResponse) {
        if lock(&self.state).started() > 0 {
            response.headers_mut().remove(CONNECTION);
        }
    }

    /// Drops what the caller still sends of a body whose request has been answered, until the body or the connection ends. A
    /// connection that is closed while bytes arrive is reset, and the caller may never read the answer.
    pub async fn discard_rest_of_body(&self) {
        {
            let mut state = lock(&self.state);
            state.discards = true;
            state.unread = BytesMut::new();
        }
        // Lets the connection be read again.
        self.progress.notify_waiters();
        loop {
            let progress = self.progress.notified();
            let is_over = {
                let state = lock(&self.state);
                !state.is_within_body || state.ended
            };
            if is_over {
                return;
            }
            progress.await;
        }
    }

    /// Starts no further requests, and waits until `hyper` has reached all that were started.
    pub async fn stop(&self) {
        lock(&self.state).stopped = true;
        while lock(&self.state).started() > 0 {
            self.progress.notified().await;
        }
    }
}

/// The connection as `hyper` sees it: what was read ahead, and the writing side of the socket.
#[derive(Debug)]
pub struct PipelinedIo {
    pipeline: Pipeline,
    writer: OwnedWriteHalf,
}

impl PipelinedIo {
    /// Returns the connection whose reading side `pipeline` reads.
    pub fn new(pipeline: Pipeline, writer: OwnedWriteHalf) -> Self {
        Self { pipeline, writer }
    }
}

impl AsyncRead for PipelinedIo {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut state = lock(&self.pipeline.state);
        if state.unread.is_empty() && !state.ended {
            state.reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        let bytes = state.unread.len().min(buffer.remaining());
        buffer.put_slice(&state.unread[..bytes]);
        state.unread.advance(bytes);
        if state.unread.is_empty() {
            // An idle connection holds no buffer.
            state.unread = BytesMut::new();
        }
        drop(state);
        self.pipeline.progress.notify_waiters();
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for PipelinedIo {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writer).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writer).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.writer.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_shutdown(context)
    }
}
