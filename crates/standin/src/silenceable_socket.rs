//! A socket whose connection can be silenced.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::silenced_connections::SilencedConnections;

/// A socket that stops reading and writing once its connection is silenced, and doesn't close either. The
/// peer sees an open connection that never responds, not even to a ping.
pub(crate) struct SilenceableSocket {
    socket: TcpStream,
    number: u64,
    silenced: Arc<SilencedConnections>,
}

impl SilenceableSocket {
    pub(crate) fn new(socket: TcpStream, number: u64, silenced: Arc<SilencedConnections>) -> Self {
        Self { socket, number, silenced }
    }

    /// Returns the number of the connection. Later connections have higher numbers.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    fn is_silenced(&self) -> bool {
        self.silenced.contains(self.number)
    }
}

impl AsyncRead for SilenceableSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silenced() {
            return Poll::Pending;
        }
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for SilenceableSocket {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.is_silenced() {
            return Poll::Pending;
        }
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silenced() {
            return Poll::Pending;
        }
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silenced() {
            return Poll::Pending;
        }
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
