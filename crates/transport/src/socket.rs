//! Options of TCP sockets.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Pause before and between keep-alive probes. One second is the finest that the kernel offers.
const KEEPALIVE_INTERVAL_S: u64 = 1;

/// Unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 3;

/// Bounds how long a connection may be silent with bytes under way, and probes it while idle. A
/// partition does not reset connections, so that only this ends them.
///
/// # Errors
///
/// Returns the system's error.
pub fn set_tcp_timeouts(tcp: &TcpStream, timeout_ms: u64) -> std::io::Result<()> {
    let socket = SockRef::from(tcp);
    let interval = Duration::from_secs(KEEPALIVE_INTERVAL_S);
    let keepalive = TcpKeepalive::new().with_time(interval).with_interval(interval).with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(timeout_ms)))
}
