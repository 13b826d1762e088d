//! Runs a node as a daemon: `fulmartrestled --settings FILE`.
//!
//! Exit codes: 0 after a graceful shutdown, 2 if the settings or arguments are invalid, 3 if a listener
//! cannot be opened or the node fails to start for another reason.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use argh::FromArgs;
use fulmartrestle_config::Settings;
use fulmartrestle_node::{Node, NodeHandle, NodeOptions, init_logging};
use fulmartrestle_platform::StoreClient;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for invalid settings or arguments.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Exit code when the node fails to start.
const EXIT_STARTUP_FAILED: u8 = 3;

/// Runs one fulmartrestle node until it receives SIGTERM or SIGINT.
#[derive(FromArgs)]
struct Args {
    /// file with the node's settings in JSON; comments are allowed
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(error) => return report_error(EXIT_INVALID_SETTINGS, &error),
    };
    if let Err(error) = init_logging(settings.log_level) {
        return report_error(EXIT_STARTUP_FAILED, &error);
    }
    // A single-threaded runtime: the node has a small VM to itself, and with several threads most of the
    // latency that it added to a call was thread wake-up time (see docs/CAPACITY.md).
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return report_error(EXIT_STARTUP_FAILED, &error),
    };
    runtime.block_on(run_node(settings))
}

async fn run_node(settings: Settings) -> ExitCode {
    let log = match StoreClient::new(&settings.log_url) {
        Ok(log) => log,
        Err(error) => return report_error(EXIT_INVALID_SETTINGS, &error),
    };
    let node = match Node::start(settings, NodeOptions::new(Arc::new(log))).await {
        Ok(node) => node,
        Err(error) => return report_error(EXIT_STARTUP_FAILED, &error),
    };
    println!(
        "listening on callers={} peers={} admin={}",
        node.caller_address(),
        node.peer_address(),
        node.admin_address()
    );
    serve_until_signal(node).await
}

/// Waits for SIGTERM or SIGINT, then shuts the node down gracefully.
async fn serve_until_signal(node: NodeHandle) -> ExitCode {
    let signals = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        return report_error(EXIT_STARTUP_FAILED, &"cannot install signal handlers");
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.stop().await;
    ExitCode::SUCCESS
}

/// Prints an error to standard error and returns the process exit code.
fn report_error(exit_code: u8, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("fulmartrestled: {error}");
    ExitCode::from(exit_code)
}
