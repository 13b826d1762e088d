//! TCP socket options.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time before the first keepalive probe and interval between probes, in seconds. One second is the
/// smallest value that the kernel supports.
const KEEPALIVE_INTERVAL_S: u64 = 1;

/// Number of unanswered keepalive probes after which the kernel closes a connection.
const KEEPALIVE_RETRIES: u32 = 3;

/// Sets the timeout for the acknowledgement of sent bytes (`TCP_USER_TIMEOUT`), and enables keepalive probes
/// while the connection is idle. A network partition does not reset connections, so without these options they
/// would stay open.
///
/// # Errors
///
/// Returns the error of the operating system when an option cannot be set.
pub fn set_tcp_timeouts(tcp: &TcpStream, timeout_ms: u64) -> std::io::Result<()> {
    let socket = SockRef::from(tcp);
    let interval = Duration::from_secs(KEEPALIVE_INTERVAL_S);
    let keepalive = TcpKeepalive::new().with_time(interval).with_interval(interval).with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(timeout_ms)))
}
