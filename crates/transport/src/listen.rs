//! Opening the listeners of a node.

use std::net::SocketAddr;

use quick_error::quick_error;
use tokio::net::{TcpListener, UdpSocket};

quick_error! {
    /// Why a node did not start.
    #[derive(Debug)]
    pub enum StartError {
        /// A listener could not be opened.
        Listen(what: String, address: SocketAddr, error: std::io::Error) {
            display("can't listen for {} on {}: {}", what, address, error)
        }
        /// A fixed name is not valid, which is a fault of the program.
        Name(error: fulmartrestle_core::ParseError) {
            display("{}", error)
            from()
        }
    }
}

/// Listens on a TCP address; `what` names the use in errors.
///
/// # Errors
///
/// Returns [`StartError::Listen`] with the address that can't be used.
pub async fn listen(what: &str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|error| StartError::Listen(what.to_owned(), address, error))
}

/// Opens a UDP address for the messages between nodes.
///
/// # Errors
///
/// Returns [`StartError::Listen`] with the address that can't be used.
pub async fn listen_for_datagrams(address: SocketAddr) -> Result<UdpSocket, StartError> {
    UdpSocket::bind(address).await.map_err(|error| StartError::Listen("datagrams".to_owned(), address, error))
}
