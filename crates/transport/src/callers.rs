//! HTTP server for callers, with bounds on the memory that connections use.

mod pipeline;
mod request_scanner;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http::request::Parts;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::{BodyWatcher, ByteBody, REPLAY_LIMIT_BYTES, WatchedBody, empty_body, incoming_body, set_tcp_timeouts};

use pipeline::{NextRequest, Pipeline, PipelinedIo, Unanswered};
pub use request_scanner::{RequestScanner, ScannedRequest};

/// The HTTP response to a caller.
pub type CallerResponse = hyper::Response<ByteBody>;

/// First bytes of an HTTP/2 connection with prior knowledge. No HTTP/1.1 method starts with them.
const H2_PREFACE_START: &[u8; 4] = b"PRI ";

/// Interval between peeks at a connection that has sent less than four bytes, in milliseconds.
const PEEK_INTERVAL_MS: u64 = 5;

/// Delay after a failed accept, in milliseconds, until closing connections have released file descriptors.
const ACCEPT_RETRY_DELAY_MS: u64 = 10;

/// Time within which a caller has to acknowledge sent bytes, in milliseconds. Slow readers are tolerated up
/// to the usual deadline of a call.
const CALLER_TCP_USER_TIMEOUT_MS: u64 = 15_000;

/// Maximum number of concurrent streams on the h2c connection of a caller.
const MAX_STREAMS_PER_CALLER: u32 = 1_024;

/// Largest part of a response that is buffered for an HTTP/2 caller, in bytes. The default of `hyper` is six times that,
/// and each response that its caller does not read fills it.
const STREAM_BUFFER_BYTES: usize = 64 * 1024;

/// Interval between pings on h2c connections of callers, in milliseconds. Connections that do not answer are
/// closed.
const CALLER_PING_INTERVAL_MS: u64 = 10_000;

/// Smallest HTTP/1.1 read buffer that `hyper` accepts, in bytes.
const HYPER_MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Longest time for which the rest of a body is read whose request was answered before, in milliseconds.
const DISCARD_MS: u64 = 2_000;

/// Time that connections have to send a first request when the server stops, in milliseconds. It covers what waits unread
/// in the kernel, and requests that callers send before they learn that the connection closes.
const LAST_REQUEST_MS: u64 = 200;

/// Limits that bound the memory which callers can make the node allocate.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Time within which a request head has to arrive, in milliseconds. It is also the idle timeout of a
    /// connection.
    pub head_timeout_ms: u64,
}

/// Handles the requests of callers.
#[async_trait]
pub trait CallerService: Send + Sync + 'static {
    /// Returns the response to a request, which may be a refusal. The future is dropped when the caller
    /// disconnects.
    async fn handle(&self, caller: SocketAddr, request: Request<ByteBody>) -> CallerResponse;

    /// Returns whether a request without a body may run at the same time as the requests before and after it on its
    /// connection. Such requests may run although their responses are never sent.
    fn may_overtake(&self, _request: &Parts) -> bool {
        false
    }
}

/// Accepts connections of callers until `stopping` becomes true, then lets open connections finish their
/// requests. Connections that the kernel has already accepted by then are served too. Each connection holds one
/// of `connection_permits`. `limits` is evaluated for each connection, because a new configuration may change it.
pub async fn serve_callers(
    listener: TcpListener,
    service: Arc<dyn CallerService>,
    limits: impl Fn() -> ListenerLimits + Send,
    connection_permits: Arc<Semaphore>,
    mut stopping: watch::Receiver<bool>,
) {
    let stopped = stopping.clone();
    let start = |tcp: TcpStream, caller: SocketAddr| {
        let Ok(permit) = Arc::clone(&connection_permits).try_acquire_owned() else {
            // Closes the connection without a response, because any response would need memory.
            return;
        };
        let service = Arc::clone(&service);
        let stopping = stopped.clone();
        let limits = limits();
        tokio::spawn(async move {
            serve_connection(tcp, caller, service, limits, stopping).await;
            drop(permit);
        });
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stopping| *stopping) => break,
        };
        let Ok((tcp, caller)) = accepted else {
            // Usually out of file descriptors; closing connections release some.
            tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
            continue;
        };
        start(tcp, caller);
    }
    for (tcp, caller) in take_waiting_connections(listener) {
        start(tcp, caller);
    }
}

/// Closes a listener and returns the connections that wait in its queue. The kernel would reset them, although their
/// callers may have sent requests already.
fn take_waiting_connections(listener: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let mut waiting = Vec::new();
    // The runtime may not have noticed yet that connections wait, so the system is asked directly.
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!("callers: cannot take the waiting connections of the listener: {error}");
            return waiting;
        }
    };
    while let Ok((tcp, caller)) = listener.accept() {
        if let Ok(tcp) = tcp.set_nonblocking(true).and_then(|()| TcpStream::from_std(tcp)) {
            waiting.push((tcp, caller));
        }
    }
    waiting
}

async fn serve_connection(
    tcp: TcpStream,
    caller: SocketAddr,
    service: Arc<dyn CallerService>,
    limits: ListenerLimits,
    stopping: watch::Receiver<bool>,
) {
    // Without TCP_NODELAY, small responses wait for the delayed acknowledgement of the caller. A failure to set
    // it only adds latency.
    let _ = tcp.set_nodelay(true);
    if let Err(error) = set_tcp_timeouts(&tcp, CALLER_TCP_USER_TIMEOUT_MS) {
        log::warn!("callers: cannot set the TCP timeouts of a connection: {error}");
    }
    let head_timeout = Duration::from_millis(limits.head_timeout_ms);
    let is_h2 = tokio::select! {
        is_h2 = tokio::time::timeout(head_timeout, has_h2_preface(&tcp)) => is_h2,
        () = wait_for_last_request(stopping.clone()) => return,
    };
    let Ok(Ok(is_h2)) = is_h2 else { return };
    if is_h2 {
        serve_h2(tcp, caller, service, limits, stopping).await
    } else {
        serve_http1(tcp, caller, service, limits, stopping).await
    }
}

async fn serve_h2(
    tcp: TcpStream,
    caller: SocketAddr,
    service: Arc<dyn CallerService>,
    limits: ListenerLimits,
    stopping: watch::Receiver<bool>,
) {
    let handler = service_fn(move |request: Request<Incoming>| {
        let service = Arc::clone(&service);
        async move { Ok::<_, Infallible>(service.handle(caller, request.map(incoming_body)).await) }
    });
    let mut builder = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
    builder.timer(TokioTimer::new()).max_header_list_size(limits.max_header_bytes as u32);
    builder.max_concurrent_streams(MAX_STREAMS_PER_CALLER).max_send_buf_size(STREAM_BUFFER_BYTES);
    builder.keep_alive_interval(Duration::from_millis(CALLER_PING_INTERVAL_MS));
    let connection = builder.serve_connection(TokioIo::new(tcp), handler);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = wait_for_last_request(stopping) => connection.as_mut().graceful_shutdown(),
    }
    // An error means that the caller closed the connection or violated the protocol.
    let _ = connection.await;
}

async fn serve_http1(
    tcp: TcpStream,
    caller: SocketAddr,
    service: Arc<dyn CallerService>,
    limits: ListenerLimits,
    stopping: watch::Receiver<bool>,
) {
    let (reader, writer) = tcp.into_split();
    let pipeline = Pipeline::default();
    let may_overtake = |parts: &Parts| service.may_overtake(parts);
    let start = |parts: &Parts| {
        let request = Request::from_parts(parts.clone(), empty_body());
        let service = Arc::clone(&service);
        tokio::spawn(async move { service.handle(caller, request).await })
    };
    let reading = pipeline.read_ahead(reader, RequestScanner::new(limits.max_header_bytes), may_overtake, start);
    let handler = service_fn(|request: Request<Incoming>| {
        let (service, pipeline) = (Arc::clone(&service), pipeline.clone());
        async move {
            let (parts, body) = request.into_parts();
            let (next, unanswered) = pipeline.take_next(&parts);
            let mut response = match next {
                NextRequest::Started(started) => started.response().await?,
                NextRequest::Handle(_barrier) => {
                    service.handle(caller, Request::from_parts(parts, incoming_body(body))).await
                }
            };
            pipeline.keep_open_while_running(&mut response);
            Ok::<_, std::io::Error>(response.map(|body| hold_until_sent(body, unanswered)))
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(Duration::from_millis(limits.head_timeout_ms));
    builder.max_buf_size(limits.max_header_bytes.max(HYPER_MIN_BUFFER_BYTES));
    let connection = builder.serve_connection(TokioIo::new(PipelinedIo::new(pipeline.clone(), writer)), handler);
    let serving = async {
        {
            tokio::pin!(connection);
            let stopped = async {
                wait_for_last_request(stopping).await;
                pipeline.stop().await;
            };
            let closed = tokio::select! {
                _ = connection.as_mut() => true,
                () = stopped => false,
            };
            if !closed {
                connection.as_mut().graceful_shutdown();
                // An error means that the caller closed the connection or violated the protocol.
                let _ = connection.await;
            }
        }
        let _ = tokio::time::timeout(Duration::from_millis(DISCARD_MS), pipeline.discard_rest_of_body()).await;
    };
    tokio::select! {
        biased;
        () = reading => {}
        () = serving => {}
    }
}

/// Counts a request as unanswered until a response that may take long is sent, so that those behind it are started
/// meanwhile.
fn hold_until_sent(body: ByteBody, unanswered: Unanswered) -> ByteBody {
    match body.size_hint().exact().is_some_and(|bytes| bytes <= REPLAY_LIMIT_BYTES as u64) {
        true => body,
        false => WatchedBody::new(body, HeldUnanswered(Some(unanswered))).boxed_unsync(),
    }
}

struct HeldUnanswered(Option<Unanswered>);

impl BodyWatcher for HeldUnanswered {
    fn on_end(&mut self, _complete: bool) {
        self.0 = None;
    }
}

/// Waits until the server stops, and then for [`LAST_REQUEST_MS`]. A connection that is told to close while its request
/// is still unread closes without a response.
async fn wait_for_last_request(mut stopping: watch::Receiver<bool>) {
    // Waiting fails only if the sender is gone, which means that the server has stopped.
    let _ = stopping.wait_for(|stopping| *stopping).await;
    tokio::time::sleep(Duration::from_millis(LAST_REQUEST_MS)).await;
}

/// Returns whether a connection starts with the HTTP/2 preface, without consuming any bytes. The caller of
/// this function applies a timeout, because a connection may never send anything.
async fn has_h2_preface(tcp: &TcpStream) -> std::io::Result<bool> {
    let mut start = [0; H2_PREFACE_START.len()];
    loop {
        let peeked = tcp.peek(&mut start).await?;
        if peeked == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        if start[..peeked] != H2_PREFACE_START[..peeked] {
            return Ok(false);
        }
        if peeked == start.len() {
            return Ok(true);
        }
        tokio::time::sleep(Duration::from_millis(PEEK_INTERVAL_MS)).await;
    }
}
