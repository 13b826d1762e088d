//! Connections to the local target.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use fulmartrestle_core::{TimeUs, lock};
use fulmartrestle_policy::ProbeResult;
use fulmartrestle_transport::{ByteBody, InterimResponses, set_tcp_timeouts};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Connect timeout, in milliseconds. The target is on the same VM, but a full accept queue drops the first
/// packet, which is retransmitted after a second.
const CONNECT_TIMEOUT_MS: u64 = 1_500;

/// Share of the time left within which a connection must be open, and its lower bound in milliseconds. A call that waits
/// for a connection has certainly not run, and another target may still answer it.
const CONNECT_TIME_SHARE: u64 = 2;
const MIN_CONNECT_TIME_MS: u64 = 50;

/// Timeout of a connection attempt that probes the target, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 250;

/// Time for the target to acknowledge sent bytes, in milliseconds.
const SEND_TIMEOUT_MS: u64 = 3_000;

/// Longest time that an idle connection is reused, in milliseconds, even if the target announces a longer one.
/// Targets that announce none close idle connections after ten seconds.
const IDLE_TIMEOUT_MS: u64 = 8_000;

/// Time for a connection to become ready after a response, in milliseconds. Its driver only needs to be polled
/// once.
const READY_TIMEOUT_MS: u64 = 5;

/// Largest read buffer of a connection, in bytes, which is also the largest head of a response. The default of `hyper` is
/// six times that, and each response that its caller does not read holds a full buffer.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Share of the announced keep-alive time for which a connection is reused, so that no request is sent while
/// the target closes the connection.
const KEEP_ALIVE_SHARE: f64 = 0.7;

/// Time after an invalid response for which requests that must not run twice use new connections, in
/// milliseconds. The target may have sent unsolicited bytes on its other connections too.
const SUSPECT_MS: u64 = 6_000;

quick_error! {
    /// Why the target did not respond to a request.
    #[derive(Debug)]
    pub enum TargetError {
        /// The target certainly did not receive the request.
        NotSent(detail: String) {
            display("not sent: {}", detail)
        }
        /// The target's port is closed.
        Refused(detail: String) {
            display("refused: {}", detail)
        }
        /// No connection was open in time, so the target did not receive the request. It may be reachable.
        NotConnected(waited_ms: u64) {
            display("not connected after {} ms", waited_ms)
        }
        /// The connection failed after the request was sent.
        Lost(detail: String) {
            display("lost: {}", detail)
        }
        /// The connection took so long that the request may not be sent any more. The target did not receive it.
        TooLate {
            display("not sent in time")
        }
        /// The target sent bytes that are not a response.
        Invalid(detail: String) {
            display("invalid response: {}", detail)
        }
    }
}

/// A connection that carries one request at a time. Dropping it closes the socket at once, also while the target is
/// still sending.
pub struct TargetConnection {
    sender: SendRequest<ByteBody>,
    usable_until: TimeUs,
    /// Whether a second copy of the last response would be recognised by the ID that it bears.
    is_identified: bool,
    /// Whether the connection has carried a request before the present one.
    is_reused: bool,
    driver: JoinHandle<()>,
}

impl TargetConnection {
    /// Returns whether bytes on the connection may belong to an earlier response.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Idle connections to the target. The one used last is reused first.
#[derive(Default)]
pub struct TargetConnectionPool {
    idle: Mutex<Vec<TargetConnection>>,
    suspect_until: Mutex<TimeUs>,
}

impl TargetConnectionPool {
    /// Sends a request and waits for the head of the response. Reuses an idle connection if there is one, unless
    /// the target is suspect and the request is not `repeatable`. Dropping the future closes the connection,
    /// which cancels the request at the target. `left_ms` is the time left until the deadline. `may_send` is asked
    /// each time before the request is handed to a connection.
    ///
    /// # Errors
    ///
    /// Returns [`TargetError::NotSent`], [`TargetError::Refused`], [`TargetError::NotConnected`] or
    /// [`TargetError::TooLate`] if the target certainly did not receive the request, otherwise [`TargetError::Lost`] or [`TargetError::Invalid`].
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<ByteBody>,
        repeatable: bool,
        left_ms: u64,
        now: TimeUs,
        may_send: impl Fn() -> bool,
    ) -> Result<(TargetConnection, Response<Incoming>), TargetError> {
        let mut request = request;
        let interim_responses = InterimResponses::watch(&mut request);
        let new_connection_only = !repeatable && now < *lock(&self.suspect_until);
        while !new_connection_only && let Some(mut connection) = self.take_idle(repeatable, now) {
            if !becomes_ready(&mut connection).await {
                continue;
            }
            if !may_send() {
                return Err(TargetError::TooLate);
            }
            match exchange(&mut connection, request, &interim_responses).await {
                Ok(response) => return Ok((connection, response)),
                // The connection was closed before the request was written.
                Err(ExchangeError::Unsent(unsent)) => request = *unsent,
                Err(ExchangeError::Failed(error)) => return Err(error),
            }
        }
        let mut connection = connect(address, left_ms).await?;
        if !may_send() {
            return Err(TargetError::TooLate);
        }
        match exchange(&mut connection, request, &interim_responses).await {
            Ok(response) => Ok((connection, response)),
            Err(ExchangeError::Unsent(_)) => {
                Err(TargetError::NotSent("the connection was closed before the request was sent".to_owned()))
            }
            Err(ExchangeError::Failed(error)) => Err(error),
        }
    }

    /// Returns a connection to the pool after a complete response. `keep_alive_s` is the idle time that the
    /// target announced, in seconds. `is_identified` is whether the response bore the ID of its request: a target may send
    /// a second copy of a response later, and one without an ID that says "not run" would be taken for the response to the
    /// next request, which would be sent elsewhere although it runs. Such a connection carries repeatable requests only.
    pub fn return_connection(
        &self,
        mut connection: TargetConnection,
        keep_alive_s: Option<u64>,
        is_identified: bool,
        now: TimeUs,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        let keep_alive_ms = keep_alive_s.map(|seconds| (seconds as f64 * 1e3 * KEEP_ALIVE_SHARE) as u64);
        connection.is_identified &= is_identified;
        connection.is_reused = true;
        connection.usable_until = now.plus_ms(keep_alive_ms.unwrap_or(IDLE_TIMEOUT_MS).min(IDLE_TIMEOUT_MS));
        lock(&self.idle).push(connection);
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self, now: TimeUs) {
        lock(&self.idle).retain(|connection| now < connection.usable_until && !connection.sender.is_closed());
    }

    /// Closes all idle connections, because a new run of the target listens on the address.
    pub fn close_idle(&self) {
        lock(&self.idle).clear();
    }

    /// Returns whether an idle connection is open, which the end of the target would close.
    pub fn has_idle(&self) -> bool {
        lock(&self.idle).iter().any(|connection| !connection.sender.is_closed())
    }

    /// Connects to the target and closes the connection again.
    pub async fn probe(&self, address: SocketAddr) -> (ProbeResult, String) {
        let connecting = TcpStream::connect(address);
        match tokio::time::timeout(Duration::from_millis(PROBE_TIMEOUT_MS), connecting).await {
            Ok(Ok(_)) => (ProbeResult::Accepted, "accepted".to_owned()),
            Ok(Err(error)) if is_refused(&error) => (ProbeResult::Refused, error.to_string()),
            Ok(Err(error)) => (ProbeResult::NoAnswer, error.to_string()),
            Err(_) => (ProbeResult::NoAnswer, "no answer".to_owned()),
        }
    }

    /// Records that the target sent bytes that are not a valid response.
    pub fn mark_suspect(&self, now: TimeUs) {
        *lock(&self.suspect_until) = now.plus_ms(SUSPECT_MS);
    }

    /// Takes the usable connection that was used last. Expired ones further back stay until
    /// [`TargetConnectionPool::close_expired`], so that the cost does not grow with the number of idle connections.
    fn take_idle(&self, repeatable: bool, now: TimeUs) -> Option<TargetConnection> {
        let mut idle = lock(&self.idle);
        for position in (0..idle.len()).rev() {
            let connection = &idle[position];
            if now >= connection.usable_until || connection.sender.is_closed() {
                idle.remove(position);
            } else if repeatable || connection.is_identified {
                return Some(idle.remove(position));
            }
        }
        None
    }
}

/// Why a connection yielded no response.
enum ExchangeError {
    /// The request was not written.
    Unsent(Box<Request<ByteBody>>),
    /// The request was sent.
    Failed(TargetError),
}

/// Sends a request on a connection and waits for the head of the response.
async fn exchange(
    connection: &mut TargetConnection,
    request: Request<ByteBody>,
    interim_responses: &InterimResponses,
) -> Result<Response<Incoming>, ExchangeError> {
    let sent = tokio::select! {
        sent = connection.sender.try_send_request(request) => sent,
        detail = interim_responses.exceeded() => {
            return Err(ExchangeError::Failed(TargetError::Invalid(detail)));
        }
    };
    sent.map_err(|mut error| match error.take_message() {
        Some(unsent) => ExchangeError::Unsent(Box::new(unsent)),
        None => {
            let error = error.into_error();
            ExchangeError::Failed(match error.is_parse() {
                true => TargetError::Invalid(error.to_string()),
                false => TargetError::Lost(error.to_string()),
            })
        }
    })
}

/// Waits until a connection can take a request. One that has just carried a response needs a moment. Returns
/// whether it became ready.
async fn becomes_ready(connection: &mut TargetConnection) -> bool {
    if connection.sender.is_ready() {
        return true;
    }
    let ready = tokio::time::timeout(Duration::from_millis(READY_TIMEOUT_MS), connection.sender.ready());
    matches!(ready.await, Ok(Ok(())))
}

/// Returns whether a connection failed because the port is closed.
fn is_refused(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset)
}

async fn connect(address: SocketAddr, left_ms: u64) -> Result<TargetConnection, TargetError> {
    let limit_ms = (left_ms / CONNECT_TIME_SHARE).clamp(MIN_CONNECT_TIME_MS, CONNECT_TIMEOUT_MS);
    let connected = tokio::time::timeout(Duration::from_millis(limit_ms), TcpStream::connect(address)).await;
    let tcp = match connected {
        Ok(Ok(tcp)) => tcp,
        Ok(Err(error)) if is_refused(&error) => return Err(TargetError::Refused(error.to_string())),
        Ok(Err(error)) => return Err(TargetError::NotSent(error.to_string())),
        Err(_) if limit_ms < CONNECT_TIMEOUT_MS => return Err(TargetError::NotConnected(limit_ms)),
        Err(_) => return Err(TargetError::NotSent("connecting timed out".to_owned())),
    };
    let options = tcp.set_nodelay(true).and_then(|()| set_tcp_timeouts(&tcp, SEND_TIMEOUT_MS));
    options.map_err(|error| TargetError::NotSent(error.to_string()))?;
    let handshake = http1::Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(TokioIo::new(tcp)).await;
    let (sender, driver) = handshake.map_err(|error| TargetError::NotSent(error.to_string()))?;
    let driver = tokio::spawn(async move {
        if let Err(error) = driver.await {
            log::debug!("target: connection failed: {error}");
        }
    });
    Ok(TargetConnection { sender, usable_until: TimeUs::default(), is_identified: true, is_reused: false, driver })
}
