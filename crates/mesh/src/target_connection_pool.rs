//! Connections to the own target.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use fulmartrestle_core::{TimeUs, lock};
use fulmartrestle_transport::{ByteBody, set_tcp_timeouts};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::net::TcpStream;

/// Time for a new connection, in milliseconds. The target is on the same VM, but a full accept queue
/// drops the first packet, which is sent again after a second.
const CONNECT_TIMEOUT_MS: u64 = 1_500;

/// Time for the target to take sent bytes, in milliseconds.
const SEND_TIMEOUT_MS: u64 = 3_000;

/// Idle connections are not used after this time, in milliseconds, unless the target says how long it
/// keeps them. Targets that say nothing close them after ten seconds.
const IDLE_TIMEOUT_MS: u64 = 8_000;

/// Time in which a connection must be ready after an answer, in milliseconds. Its driver only has to
/// be polled once.
const READY_TIMEOUT_MS: u64 = 5;

/// Share of the announced idle time for which a connection is used, as a fraction: a request must not
/// cross the target's close.
const KEEP_ALIVE_SHARE: f64 = 0.7;

/// Time after a spoilt answer for which requests that must not run twice get new connections, in
/// milliseconds. Such a target may have sent bytes on others that nobody asked for.
const SUSPECT_MS: u64 = 6_000;

quick_error! {
    /// A request that the target did not answer.
    #[derive(Debug)]
    pub enum TargetError {
        /// The target certainly did not get the request.
        NotSent(detail: String) {
            display("not sent: {}", detail)
        }
        /// The connection failed while the target had the request.
        Lost(detail: String) {
            display("lost: {}", detail)
        }
    }
}

/// A connection that carries one request at a time.
pub struct TargetConnection {
    sender: SendRequest<ByteBody>,
    usable_until: TimeUs,
}

/// Idle connections to the target, the one used last on top.
#[derive(Default)]
pub struct TargetConnectionPool {
    idle: Mutex<Vec<TargetConnection>>,
    suspect_until: Mutex<TimeUs>,
}

impl TargetConnectionPool {
    /// Sends a request, on an idle connection when there is one and `fresh_only` does not forbid it, and
    /// waits for the head of the answer. Dropping the future closes the connection, which cancels the
    /// request at the target.
    ///
    /// # Errors
    ///
    /// Returns [`TargetError::NotSent`] when the target certainly did not get the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<ByteBody>,
        repeatable: bool,
        now: TimeUs,
    ) -> Result<(TargetConnection, Response<Incoming>), TargetError> {
        let mut request = request;
        let fresh_only = !repeatable && now < *lock(&self.suspect_until);
        while !fresh_only && let Some(mut connection) = self.take_idle(now) {
            if !becomes_ready(&mut connection).await {
                continue;
            }
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((connection, response)),
                Err(mut error) => match error.take_message() {
                    // The connection was closed before the request was written.
                    Some(unsent) => request = unsent,
                    None => return Err(TargetError::Lost(error.into_error().to_string())),
                },
            }
        }
        let mut connection = connect(address).await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok((connection, response)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(TargetError::NotSent("the connection was closed at once".to_owned())),
                None => Err(TargetError::Lost(error.into_error().to_string())),
            },
        }
    }

    /// Takes a connection back after a whole answer.
    pub fn return_connection(&self, mut connection: TargetConnection, keep_alive_s: Option<u64>, now: TimeUs) {
        if connection.sender.is_closed() {
            return;
        }
        let keep_alive_ms = keep_alive_s.map(|seconds| (seconds as f64 * 1e3 * KEEP_ALIVE_SHARE) as u64);
        connection.usable_until = now.plus_ms(keep_alive_ms.unwrap_or(IDLE_TIMEOUT_MS).min(IDLE_TIMEOUT_MS));
        lock(&self.idle).push(connection);
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self, now: TimeUs) {
        lock(&self.idle).retain(|connection| now < connection.usable_until && !connection.sender.is_closed());
    }

    /// Closes all idle connections, because another run of the target has the address.
    pub fn close_idle(&self) {
        lock(&self.idle).clear();
    }

    /// Notes that the target sent bytes that are no answer.
    pub fn mark_suspect(&self, now: TimeUs) {
        *lock(&self.suspect_until) = now.plus_ms(SUSPECT_MS);
    }

    fn take_idle(&self, now: TimeUs) -> Option<TargetConnection> {
        let mut idle = lock(&self.idle);
        while let Some(connection) = idle.pop() {
            if now < connection.usable_until && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }
}

/// Tells whether a connection takes a request. One that has just carried an answer needs a moment.
async fn becomes_ready(connection: &mut TargetConnection) -> bool {
    if connection.sender.is_ready() {
        return true;
    }
    let ready = tokio::time::timeout(Duration::from_millis(READY_TIMEOUT_MS), connection.sender.ready());
    matches!(ready.await, Ok(Ok(())))
}

async fn connect(address: SocketAddr) -> Result<TargetConnection, TargetError> {
    let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
    let tcp = match connecting {
        Ok(Ok(tcp)) => tcp,
        Ok(Err(error)) => return Err(TargetError::NotSent(error.to_string())),
        Err(_) => return Err(TargetError::NotSent("no connection in time".to_owned())),
    };
    let options = tcp.set_nodelay(true).and_then(|()| set_tcp_timeouts(&tcp, SEND_TIMEOUT_MS));
    options.map_err(|error| TargetError::NotSent(error.to_string()))?;
    let handshake = http1::handshake(TokioIo::new(tcp)).await;
    let (sender, driver) = handshake.map_err(|error| TargetError::NotSent(error.to_string()))?;
    tokio::spawn(async move {
        if let Err(error) = driver.await {
            log::debug!("target: a connection ended: {error}");
        }
    });
    Ok(TargetConnection { sender, usable_until: TimeUs::default() })
}
