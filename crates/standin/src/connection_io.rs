//! A socket that can go silent.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::silence::Silence;

/// A socket that neither reads nor writes once it was silenced, and doesn't close either: the peer sees an
/// open connection that never answers, not even a ping.
pub(crate) struct ConnectionIo {
    socket: TcpStream,
    number: u64,
    silence: Arc<Silence>,
}

impl ConnectionIo {
    pub(crate) fn new(socket: TcpStream, number: u64, silence: Arc<Silence>) -> Self {
        Self { socket, number, silence }
    }

    /// Returns the connection's number; later connections have higher ones.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    fn is_silent(&self) -> bool {
        self.silence.holds(self.number)
    }
}

impl AsyncRead for ConnectionIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for ConnectionIo {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
