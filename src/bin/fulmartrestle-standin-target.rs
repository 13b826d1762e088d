//! A stand-in target, as a process of its own.

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;
use fulmartrestle_standin::{DaemonArgs, StandinSettings, run_daemon};

/// Serve a service the way a target does, for tests. Its faults are set with `POST /standin/behaviour`.
#[derive(FromArgs)]
struct Args {
    /// address to listen on; port 0 takes a free one
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// settings as JSON, at least {"service": "NAME"}
    #[argh(option, from_str_fn(parse_settings))]
    settings: StandinSettings,
}

fn parse_settings(text: &str) -> Result<StandinSettings, String> {
    serde_json::from_str(text).map_err(|error| format!("settings {text:?}: {error}"))
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let daemon = DaemonArgs { listen: args.listen, settings: args.settings };
    match run_daemon(daemon).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
