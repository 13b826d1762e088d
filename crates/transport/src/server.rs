//! Accepting links of other nodes.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::Request;
use tokio::net::{TcpListener, TcpStream};

use crate::{PeerError, set_tcp_timeouts};

/// Streams that one peer may have open. One node's share of the fleet's calls stays far below.
const MAX_STREAMS_PER_PEER: u32 = 4_096;

/// Flow-control window of a stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Flow-control window of a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 2 * 1024 * 1024;

/// Time for a peer to take sent bytes, in milliseconds. Twice what the other end waits for a ping.
const SILENCE_TIMEOUT_MS: u64 = 2_000;

/// Pause after a failed accept, in milliseconds: connections that close free descriptors.
const ACCEPT_PAUSE_MS: u64 = 10;

/// What a node does with the streams that its peers open.
#[async_trait]
pub trait StreamHandler: Send + Sync + 'static {
    /// Answers one stream. The future is dropped when the connection ends.
    ///
    /// # Errors
    ///
    /// Returns why the stream has to be reset.
    async fn handle(&self, request: Request<RecvStream>, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError>;
}

/// Accepts peers until the task is aborted.
pub async fn serve_streams(listener: TcpListener, handler: Arc<dyn StreamHandler>) {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                tokio::spawn(serve_peer(tcp, Arc::clone(&handler)));
            }
            Err(error) => {
                log::warn!("peer: accept failed: {error}");
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

async fn serve_peer(tcp: TcpStream, handler: Arc<dyn StreamHandler>) {
    // Without it small heads wait for the delayed acknowledgement; failing to set it only costs time.
    let _ = tcp.set_nodelay(true);
    if let Err(error) = set_tcp_timeouts(&tcp, SILENCE_TIMEOUT_MS) {
        log::warn!("peer: can't bound the silence of a connection: {error}");
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
    while let Some(accepted) = connection.accept().await {
        match accepted {
            Ok((request, respond)) => {
                tokio::spawn(serve_stream(request, respond, Arc::clone(&handler)));
            }
            Err(error) => {
                log::debug!("peer: connection ended: {error}");
                return;
            }
        }
    }
}

async fn serve_stream(request: Request<RecvStream>, mut respond: SendResponse<Bytes>, handler: Arc<dyn StreamHandler>) {
    if let Err(error) = handler.handle(request, &mut respond).await {
        log::debug!("peer: stream ended: {error}");
        respond.send_reset(Reason::INTERNAL_ERROR);
    }
}
