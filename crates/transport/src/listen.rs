//! Opens the listening sockets of a node.

use std::net::SocketAddr;

use quick_error::quick_error;
use tokio::net::{TcpListener, UdpSocket};

quick_error! {
    /// An error that prevents a node from starting.
    #[derive(Debug)]
    pub enum StartError {
        /// A listening socket could not be opened.
        Listen(purpose: String, address: SocketAddr, error: std::io::Error) {
            display("cannot listen for {} on {}: {}", purpose, address, error)
        }
        /// A built-in name is invalid, which is a bug in the program.
        InvalidName(error: fulmartrestle_core::ParseError) {
            display("{}", error)
            from()
        }
    }
}

/// Opens a TCP listener. `purpose` describes its use in errors.
///
/// # Errors
///
/// Returns [`StartError::Listen`] when the address cannot be bound.
pub async fn listen(purpose: &str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|error| StartError::Listen(purpose.to_owned(), address, error))
}

/// Opens a UDP socket for the messages between nodes.
///
/// # Errors
///
/// Returns [`StartError::Listen`] when the address cannot be bound.
pub async fn listen_for_datagrams(address: SocketAddr) -> Result<UdpSocket, StartError> {
    UdpSocket::bind(address).await.map_err(|error| StartError::Listen("datagrams".to_owned(), address, error))
}
