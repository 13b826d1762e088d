//! HTTP/2 connection to another node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use h2::SendStream;
use h2::client::{ResponseFuture, SendRequest};
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Limited};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::body::ByteBody;
use crate::stream::{receive_head, send_head_and_body, send_initial_data, stream_body, stream_error};
use crate::{PeerError, decode_exact, encode_head, set_tcp_timeouts};

/// Timeout for the TCP and HTTP/2 handshakes together, in milliseconds. Peers are in the same region or a few
/// hops away.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Interval between the answer to a ping and the next ping, in milliseconds.
const PING_INTERVAL_MS: u64 = 500;

/// Timeout for the answer to a ping, in milliseconds. The latency between zones is about a millisecond,
/// but a timeout of 250 ms closed connections to peers that paused under load.
const PING_TIMEOUT_MS: u64 = 1_000;

/// Time for which the streams of an observed connection go on after a ping was not answered, in milliseconds. A VM that was
/// paused for 3 s has completed its work, and its response was given up after 1 s.
const SILENT_STREAMS_MS: u64 = 5_000;

/// Flow-control window of a stream, in bytes. Smaller windows stalled responses of 64 KiB; larger ones hold more of each
/// response that its caller does not read.
const STREAM_WINDOW_BYTES: u32 = 128 * 1024;

/// Flow-control window of a connection, in bytes. Unread responses share it: with room for 8 of them, callers that did not
/// read their downloads stopped all calls between two nodes. Memory is bounded by the number of callers' connections.
const CONNECTION_WINDOW_BYTES: u32 = 64 * 1024 * 1024;

/// Is told the address of a peer whenever it answers a ping, also when the answer comes late. The streams of an observed
/// connection go on for a while after a ping was not answered, because the observer decides which requests leave a peer.
pub type PongObserver = Arc<dyn Fn(SocketAddr) + Send + Sync>;

/// An HTTP/2 connection to a node. It counts as closed once the peer closes it or stops answering pings.
#[derive(Clone)]
pub struct PeerConnection {
    sender: SendRequest<Bytes>,
    closed: Arc<AtomicBool>,
    ping_due: Arc<Notify>,
}

/// A stream to a peer on which nothing has been sent yet.
pub struct PeerStream {
    response: ResponseFuture,
    stream: SendStream<Bytes>,
}

impl PeerConnection {
    /// Connects to a peer and spawns the task that drives the connection and sends pings.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Connect`] when the connection fails or is not established in time.
    pub async fn connect(address: SocketAddr) -> Result<Self, PeerError> {
        Self::connect_observed(address, None).await
    }

    /// Like [`Self::connect`], with an observer of the answers to pings.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Connect`] when the connection fails or is not established in time.
    pub async fn connect_observed(address: SocketAddr, observer: Option<PongObserver>) -> Result<Self, PeerError> {
        let handshake = Self::handshake(address, observer);
        let handshake = tokio::time::timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), handshake);
        handshake.await.map_err(|_| PeerError::Connect(format!("{address}: timeout")))?
    }

    async fn handshake(address: SocketAddr, observer: Option<PongObserver>) -> Result<Self, PeerError> {
        let connect_error = |detail: String| PeerError::Connect(format!("{address}: {detail}"));
        let tcp = TcpStream::connect(address).await.map_err(|error| connect_error(error.to_string()))?;
        tcp.set_nodelay(true).map_err(|error| connect_error(error.to_string()))?;
        set_tcp_timeouts(&tcp, PING_TIMEOUT_MS).map_err(|error| connect_error(error.to_string()))?;
        let handshake = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(tcp)
            .await;
        let (sender, mut connection) = handshake.map_err(|error| connect_error(error.to_string()))?;
        let closed = Arc::new(AtomicBool::new(false));
        let pinger = connection.ping_pong();
        let closed_by_task = Arc::clone(&closed);
        let ping_due: Arc<Notify> = Arc::default();
        let next_ping = Arc::clone(&ping_due);
        tokio::spawn(async move {
            let pinging = async {
                match pinger {
                    Some(pinger) => {
                        let on_pong = || {
                            if let Some(observer) = &observer {
                                observer(address);
                            }
                        };
                        ping_until_unanswered(pinger, &next_ping, on_pong).await;
                    }
                    None => std::future::pending().await,
                }
            };
            let is_silent = tokio::select! {
                _ = &mut connection => false,
                () = pinging => true,
            };
            closed_by_task.store(true, Ordering::Release);
            if is_silent {
                log::warn!("peer: connection to {address} did not answer a ping; closing it");
            }
            if is_silent && observer.is_some() {
                // Ends early if no stream is left.
                let _ = tokio::time::timeout(Duration::from_millis(SILENT_STREAMS_MS), &mut connection).await;
            }
        });
        Ok(Self { sender, closed, ping_due })
    }

    /// Returns whether the connection is closed, so that it accepts no more streams.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Sends the next ping at once, unless one has not been answered yet.
    pub fn ping_now(&self) {
        self.ping_due.notify_one();
    }

    /// Opens a stream to `path` with these headers. The peer has received no message before [`PeerStream::exchange`].
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::NotSent`] when the connection is closed.
    pub async fn open(&self, path: &str, headers: HeaderMap) -> Result<PeerStream, PeerError> {
        let (response, stream) = self.open_stream(path, headers).await?;
        Ok(PeerStream { response, stream })
    }

    /// Opens a stream and exchanges messages on it, see [`PeerStream::exchange`].
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::NotSent`] when it is certain that the peer did not receive the head, and another
    /// [`PeerError`] when the exchange failed later.
    pub async fn exchange<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        head: &Q,
        body: ByteBody,
    ) -> Result<(A, ByteBody), PeerError> {
        self.open(path, HeaderMap::new()).await?.exchange(head, body).await
    }

    /// Sends headers without a message, and waits for the response.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when no response arrived.
    pub async fn notify(&self, path: &str, headers: HeaderMap) -> Result<http::StatusCode, PeerError> {
        let (response, mut stream) = self.open_stream(path, headers).await?;
        send_initial_data(&mut stream, Bytes::new(), true)?;
        Ok(response.await.map_err(stream_error)?.status())
    }

    /// Sends a message and returns the status of the response.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when no response arrived.
    pub async fn post(&self, path: &str, message: Bytes) -> Result<http::StatusCode, PeerError> {
        let (response, mut stream) = self.open_stream(path, HeaderMap::new()).await?;
        send_initial_data(&mut stream, message, true)?;
        Ok(response.await.map_err(stream_error)?.status())
    }

    /// Sends a message and decodes the body of the response, which may have at most `limit_bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when the response is incomplete, too long or malformed.
    pub async fn request<T: DeserializeOwned>(
        &self,
        path: &str,
        message: Bytes,
        limit_bytes: usize,
    ) -> Result<T, PeerError> {
        let (response, mut stream) = self.open_stream(path, HeaderMap::new()).await?;
        send_initial_data(&mut stream, message, true)?;
        let response = response.await.map_err(stream_error)?;
        let body = Limited::new(stream_body(response.into_body()), limit_bytes).collect().await;
        let bytes = body.map_err(|error| PeerError::StreamFailed(error.to_string()))?.to_bytes();
        Ok(decode_exact(&bytes)?)
    }

    async fn open_stream(
        &self,
        path: &str,
        headers: HeaderMap,
    ) -> Result<(ResponseFuture, SendStream<Bytes>), PeerError> {
        let not_sent = |error: h2::Error| PeerError::NotSent(error.to_string());
        let mut sender = self.sender.clone().ready().await.map_err(not_sent)?;
        let mut request = Request::post(format!("http://peer{path}"))
            .body(())
            .map_err(|error| PeerError::NotSent(error.to_string()))?;
        *request.headers_mut() = headers;
        sender.send_request(request, false).map_err(not_sent)
    }
}

impl PeerStream {
    /// Sends a head and a body, and waits for the head of the response. Dropping the future resets the
    /// stream, which cancels the request at the peer.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::NotSent`] when it is certain that the peer did not receive the head, and another
    /// [`PeerError`] when the exchange failed later.
    pub async fn exchange<Q: Serialize, A: DeserializeOwned>(
        self,
        head: &Q,
        body: ByteBody,
    ) -> Result<(A, ByteBody), PeerError> {
        let Self { response, mut stream } = self;
        let sending = send_head_and_body(&mut stream, encode_head(head)?, body);
        let receiving = async {
            let response = response.await.map_err(response_error)?;
            receive_head::<A>(response.into_body()).await
        };
        join_exchange(sending, receiving).await
    }
}

/// Sends the request and receives the response concurrently. When the response arrives before the whole
/// request body is sent, the rest of the body is not sent.
async fn join_exchange<T>(
    sending: impl Future<Output = Result<(), PeerError>>,
    receiving: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    tokio::pin!(sending, receiving);
    tokio::select! {
        received = &mut receiving => received,
        sent = &mut sending => {
            // The peer may reset the request stream after a refusal whose head can still be read.
            let received = receiving.await;
            if received.is_err() { sent?; }
            received
        }
    }
}

/// Converts an error of a stream whose response has not arrived. A peer that is stopping refuses new streams
/// before it reads them.
fn response_error(error: h2::Error) -> PeerError {
    if error.reason() == Some(h2::Reason::REFUSED_STREAM) {
        PeerError::NotSent(error.to_string())
    } else {
        stream_error(error)
    }
}

/// Sends pings until one is not answered in time. A peer can disappear without closing its connections.
async fn ping_until_unanswered(mut pinger: h2::PingPong, next_ping: &Notify, on_pong: impl Fn()) {
    loop {
        // The ping is due at the end of the interval, or as soon as somebody asks for it.
        let _ = tokio::time::timeout(Duration::from_millis(PING_INTERVAL_MS), next_ping.notified()).await;
        let pong = pinger.ping(h2::Ping::opaque());
        match tokio::time::timeout(Duration::from_millis(PING_TIMEOUT_MS), pong).await {
            Ok(Ok(_)) => on_pong(),
            Ok(Err(_)) | Err(_) => return,
        }
    }
}
