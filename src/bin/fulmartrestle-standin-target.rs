//! Runs a stand-in target as a separate process.

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;
use fulmartrestle_standin::{DaemonArgs, StandinSettings, run_daemon};

/// Serve a simulated service instance for tests. Faults are injected with `POST /standin/behaviour`.
#[derive(FromArgs)]
struct Args {
    /// address to listen on; with port 0, the system picks a free port
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// settings as a JSON object; only "service" is required: {"service": "NAME"}
    #[argh(option, from_str_fn(parse_settings))]
    settings: StandinSettings,
}

fn parse_settings(text: &str) -> Result<StandinSettings, String> {
    serde_json::from_str(text).map_err(|error| format!("cannot parse settings {text:?}: {error}"))
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let daemon_args = DaemonArgs { listen: args.listen, settings: args.settings };
    match run_daemon(daemon_args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
