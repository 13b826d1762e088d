//! HTTP/2 server for connections from other nodes.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::Request;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::{PeerError, set_tcp_timeouts};

/// Maximum number of concurrent streams on the connection of a peer. The calls that one node forwards to
/// another stay far below it.
const MAX_STREAMS_PER_PEER: u32 = 4_096;

/// Flow-control window of a stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Flow-control window of a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 2 * 1024 * 1024;

/// Time within which a peer has to acknowledge sent bytes, in milliseconds. It is twice the ping timeout of the
/// connecting side.
const TCP_USER_TIMEOUT_MS: u64 = 2_000;

/// Delay after a failed accept, in milliseconds, until closing connections have released file descriptors.
const ACCEPT_RETRY_DELAY_MS: u64 = 10;

/// Handles the streams that peers open.
#[async_trait]
pub trait StreamHandler: Send + Sync + 'static {
    /// Reads the request and sends the response on one stream. Each stream runs in its own task, which continues
    /// when the connection ends; sending then fails.
    ///
    /// # Errors
    ///
    /// Returns an error when the stream has to be reset.
    async fn handle(&self, request: Request<RecvStream>, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError>;
}

/// Accepts connections from peers until `closing` becomes true, and returns once all streams have ended and what was sent on
/// them has left. `new_handler` returns the handler of a connection's streams.
pub async fn serve_streams(
    listener: TcpListener,
    new_handler: impl Fn() -> Arc<dyn StreamHandler>,
    mut closing: watch::Receiver<bool>,
) {
    let is_closing = closing.clone();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((tcp, _)) => drop(connections.spawn(serve_peer(tcp, new_handler(), is_closing.clone()))),
                Err(error) => {
                    log::warn!("peer: accept failed: {error}");
                    tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = wait_until_closing(&mut closing) => break,
        }
    }
    while connections.join_next().await.is_some() {}
}

/// Waits until `closing` becomes true. Does not return if its sender is gone before.
async fn wait_until_closing(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        std::future::pending().await
    }
}

async fn serve_peer(tcp: TcpStream, handler: Arc<dyn StreamHandler>, mut closing: watch::Receiver<bool>) {
    // Without TCP_NODELAY, small heads wait for the delayed acknowledgement of the peer. A failure to set it only
    // adds latency.
    let _ = tcp.set_nodelay(true);
    if let Err(error) = set_tcp_timeouts(&tcp, TCP_USER_TIMEOUT_MS) {
        log::warn!("peer: cannot set the TCP timeouts of a connection: {error}");
    }
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS_PER_PEER)
        .handshake::<_, Bytes>(tcp);
    let mut connection = match handshake.await {
        Ok(connection) => connection,
        Err(error) => {
            log::debug!("peer: handshake failed: {error}");
            return;
        }
    };
    let mut is_closing = false;
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = wait_until_closing(&mut closing), if !is_closing => {
                // Streams that the peer has opened by now are still served.
                connection.graceful_shutdown();
                is_closing = true;
                continue;
            }
        };
        let Some(accepted) = accepted else { return };
        match accepted {
            Ok((request, respond)) => {
                tokio::spawn(serve_stream(request, respond, Arc::clone(&handler)));
            }
            Err(error) => {
                log::debug!("peer: connection failed: {error}");
                return;
            }
        }
    }
}

async fn serve_stream(request: Request<RecvStream>, mut respond: SendResponse<Bytes>, handler: Arc<dyn StreamHandler>) {
    if let Err(error) = handler.handle(request, &mut respond).await {
        log::debug!("peer: stream failed: {error}");
        respond.send_reset(Reason::INTERNAL_ERROR);
    }
}
