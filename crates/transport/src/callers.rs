//! Accepting callers' connections with bounded memory.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use hyper::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::{ByteBody, set_tcp_timeouts};

/// An answer on its way to a caller.
pub type CallerResponse = hyper::Response<ByteBody>;

/// First bytes of an HTTP/2 connection with prior knowledge; no HTTP/1.1 method begins so.
const H2_PREFACE_START: &[u8; 4] = b"PRI ";

/// Pause between looks at a connection that has sent less than four bytes.
const PEEK_PAUSE_MS: u64 = 5;

/// Pause after a failed accept, in milliseconds: connections that close free descriptors.
const ACCEPT_PAUSE_MS: u64 = 10;

/// Time for a caller to take sent bytes, in milliseconds. Callers may read slowly, but not for longer than
/// their usual deadlines.
const CALLER_SILENCE_MS: u64 = 15_000;

/// Streams that one h2c caller may have open.
const MAX_STREAMS_PER_CALLER: u32 = 1_024;

/// Pause between pings on callers' h2c connections, so that silent ones are closed.
const CALLER_PING_INTERVAL_MS: u64 = 10_000;

/// Smallest read buffer that `hyper` accepts for HTTP/1.1 heads, in bytes.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// Bounds on what callers can make the node hold.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Longest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Time to send a head, in milliseconds. A connection may be idle for as long.
    pub head_timeout_ms: u64,
}

/// Answers one request of a caller. Dropping the future means that the caller went away.
#[async_trait]
pub trait CallerService: Send + Sync + 'static {
    /// Returns the answer; refusals are answers too.
    async fn handle(&self, caller: SocketAddr, request: Request<Incoming>) -> CallerResponse;
}

/// Accepts callers until `stopping` turns true, then lets open connections finish their requests. Each
/// connection holds one of `places`; `limits` is asked for each of them, because a configuration may
/// change them.
pub async fn serve_callers(
    listener: TcpListener,
    service: Arc<dyn CallerService>,
    limits: impl Fn() -> ListenerLimits + Send,
    places: Arc<Semaphore>,
    mut stopping: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stopping| *stopping) => return,
        };
        let Ok((tcp, caller)) = accepted else {
            // Out of descriptors: connections that close free some.
            tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            continue;
        };
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            // Dropping the connection is the only refusal that costs no memory.
            continue;
        };
        let service = Arc::clone(&service);
        let stopping = stopping.clone();
        let limits = limits();
        tokio::spawn(async move {
            serve_connection(tcp, caller, service, limits, stopping).await;
            drop(place);
        });
    }
}

async fn serve_connection(
    tcp: TcpStream,
    caller: SocketAddr,
    service: Arc<dyn CallerService>,
    limits: ListenerLimits,
    mut stopping: watch::Receiver<bool>,
) {
    // Without it small answers wait for the delayed acknowledgement; failing to set it only costs time.
    let _ = tcp.set_nodelay(true);
    if let Err(error) = set_tcp_timeouts(&tcp, CALLER_SILENCE_MS) {
        log::warn!("callers: can't bound the silence of a connection: {error}");
    }
    let head_timeout = Duration::from_millis(limits.head_timeout_ms);
    let Ok(Ok(is_h2)) = tokio::time::timeout(head_timeout, starts_as_h2(&tcp)).await else {
        return;
    };
    let io = TokioIo::new(tcp);
    let handler = service_fn(move |request| {
        let service = Arc::clone(&service);
        async move { Ok::<_, Infallible>(service.handle(caller, request).await) }
    });
    if is_h2 {
        let mut builder = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
        builder.timer(TokioTimer::new()).max_header_list_size(limits.max_header_bytes as u32);
        builder.max_concurrent_streams(MAX_STREAMS_PER_CALLER);
        builder.keep_alive_interval(Duration::from_millis(CALLER_PING_INTERVAL_MS));
        let connection = builder.serve_connection(io, handler);
        tokio::pin!(connection);
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = stopping.wait_for(|stopping| *stopping) => connection.as_mut().graceful_shutdown(),
        }
        // An error here is the caller's: it closed or broke the protocol.
        let _ = connection.await;
    } else {
        let mut builder = hyper::server::conn::http1::Builder::new();
        builder.timer(TokioTimer::new()).header_read_timeout(head_timeout);
        builder.max_buf_size(limits.max_header_bytes.max(MIN_HEAD_BYTES));
        let connection = builder.serve_connection(io, handler);
        tokio::pin!(connection);
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = stopping.wait_for(|stopping| *stopping) => connection.as_mut().graceful_shutdown(),
        }
        // An error here is the caller's: it closed or broke the protocol.
        let _ = connection.await;
    }
}

/// Looks at the first bytes without taking them. A connection that never speaks ends in the
/// timeout around this.
async fn starts_as_h2(tcp: &TcpStream) -> std::io::Result<bool> {
    let mut start = [0; H2_PREFACE_START.len()];
    loop {
        let seen = tcp.peek(&mut start).await?;
        if seen == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        if start[..seen] != H2_PREFACE_START[..seen] {
            return Ok(false);
        }
        if seen == start.len() {
            return Ok(true);
        }
        tokio::time::sleep(Duration::from_millis(PEEK_PAUSE_MS)).await;
    }
}
