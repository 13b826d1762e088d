//! A stand-in target as a process of its own.

use std::net::SocketAddr;

use quick_error::quick_error;
use tokio::net::TcpListener;

use crate::{SidecarCaller, StandinSettings, StandinTarget};

/// What a stand-in target's process is started with.
#[derive(Clone, Debug)]
pub struct DaemonArgs {
    /// Address to listen on; port zero takes a free one.
    pub listen: SocketAddr,
    /// Settings of the target.
    pub settings: StandinSettings,
}

quick_error! {
    /// Why a stand-in target's process ended.
    #[derive(Debug)]
    pub enum DaemonError {
        /// The address can't be listened on.
        Listen(address: SocketAddr, error: std::io::Error) {
            display("standin: listen on {address}: {error}")
            source(error)
        }
    }
}

/// Serves one target until the process ends. Prints `listening on ADDRESS` on standard output when it
/// is ready.
///
/// # Errors
///
/// Returns the address and the cause when it can't be listened on.
pub async fn run_daemon(args: DaemonArgs) -> Result<(), DaemonError> {
    let failed = |error| DaemonError::Listen(args.listen, error);
    let listener = TcpListener::bind(args.listen).await.map_err(failed)?;
    let children = SidecarCaller::of(&args.settings);
    let target = StandinTarget::start_with_listener(listener, args.settings, children).map_err(failed)?;
    println!("listening on {}", target.address());
    std::future::pending().await
}
