//! A stand-in target in a process of its own.

use std::net::SocketAddr;

use quick_error::quick_error;
use tokio::net::TcpListener;

use crate::{SidecarCaller, StandinSettings, StandinTarget};

/// Arguments of the process of a stand-in target.
#[derive(Clone, Debug)]
pub struct DaemonArgs {
    /// Address to listen on. Port zero picks a free port.
    pub listen: SocketAddr,
    /// Settings of the target.
    pub settings: StandinSettings,
}

quick_error! {
    /// Error that ends the process of a stand-in target.
    #[derive(Debug)]
    pub enum DaemonError {
        /// The listener can't be opened on the address.
        Listen(address: SocketAddr, error: std::io::Error) {
            display("standin: cannot listen on {address}: {error}")
            source(error)
        }
    }
}

/// Serves one target until the process ends. Prints `listening on ADDRESS` to standard output when the
/// target is ready.
///
/// # Errors
///
/// Returns [`DaemonError::Listen`] if the listener can't be opened.
pub async fn run_daemon(args: DaemonArgs) -> Result<(), DaemonError> {
    let listen_error = |error| DaemonError::Listen(args.listen, error);
    let listener = TcpListener::bind(args.listen).await.map_err(listen_error)?;
    let child_caller = SidecarCaller::from_settings(&args.settings);
    let target = StandinTarget::start_with_listener(listener, args.settings, child_caller).map_err(listen_error)?;
    println!("listening on {}", target.address());
    std::future::pending().await
}
