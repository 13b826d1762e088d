//! Runs the stand-in for the platform's log as a separate process.

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;
use fulmartrestle_platform::{StandinDaemonArgs, run_standin_daemon};
use fulmartrestle_platform_log::LogFaults;

/// Serve an in-memory append-only log for tests. Faults are injected with `POST /faults`.
#[derive(FromArgs)]
struct Args {
    /// address to listen on; with port 0, the system picks a free port
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let daemon_args = StandinDaemonArgs { listen: args.listen, faults: LogFaults::default() };
    match run_standin_daemon(daemon_args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
