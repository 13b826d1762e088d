//! The stand-in for the platform's log, as a process of its own.

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;
use fulmartrestle_platform::{DaemonArgs, run_daemon};
use fulmartrestle_platform_log::LogFaults;

/// Serve an append-only log from memory, for tests. Its faults are set with `POST /faults`.
#[derive(FromArgs)]
struct Args {
    /// address to listen on; port 0 takes a free one
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let daemon = DaemonArgs { listen: args.listen, faults: LogFaults::default() };
    match run_daemon(daemon).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
