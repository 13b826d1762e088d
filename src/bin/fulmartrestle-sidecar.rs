//! Runs a node as a sidecar on the users' platform: `fulmartrestle-sidecar FILE`.
//!
//! Exit codes: 0 after a graceful shutdown, 2 if the settings or arguments are invalid, 3 if a listener
//! cannot be opened or the node fails to start for another reason.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use argh::FromArgs;
use fulmartrestle_mesh::{EventLog, MeshNode, MeshOptions, MeshSettings};
use fulmartrestle_platform::{OperatorConfigDecoder, PlatformHeaders, StoreClient, serve_control, store_layout};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for invalid settings or arguments.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Exit code when the node fails to start.
const EXIT_STARTUP_FAILED: u8 = 3;

/// Runs one node on the users' platform until it receives SIGTERM or SIGINT. SIGHUP reloads the settings.
#[derive(FromArgs)]
struct Args {
    /// file with the node's settings in JSON; comments are allowed
    #[argh(positional)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let settings = match MeshSettings::load(&args.settings) {
        Ok(settings) => settings,
        Err(error) => return report_error(EXIT_INVALID_SETTINGS, &error),
    };
    if args.check {
        println!("{}: ok, {} in {}", args.settings.display(), settings.name, settings.availability_zone);
        return ExitCode::SUCCESS;
    }
    // Single-threaded, because a node has only a fraction of one core.
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(run_node(settings, &args.settings)),
        Err(error) => report_error(EXIT_STARTUP_FAILED, &error),
    }
}

async fn run_node(settings: MeshSettings, path: &Path) -> ExitCode {
    let store = match StoreClient::new(&format!("http://{}", settings.store_address)) {
        Ok(store) => store,
        Err(error) => return report_error(EXIT_INVALID_SETTINGS, &error),
    };
    let event_log = match EventLog::start() {
        Ok(event_log) => event_log,
        Err(error) => return report_error(EXIT_STARTUP_FAILED, &error),
    };
    let layout = match store_layout() {
        Ok(layout) => layout,
        Err(error) => return report_error(EXIT_STARTUP_FAILED, &error),
    };
    let options = MeshOptions {
        layout,
        store: Arc::new(store),
        wire_protocol: Arc::new(PlatformHeaders),
        config_decoder: Arc::new(OperatorConfigDecoder),
        event_log,
        settings_path: Some(path.to_owned()),
        seed: rand::random(),
    };
    let node = match MeshNode::start(settings, options).await {
        Ok(node) => node,
        Err(error) => return report_error(EXIT_STARTUP_FAILED, &error),
    };
    let control_tasks = match serve_control(node.state()).await {
        Ok(control_tasks) => control_tasks,
        Err(error) => return report_error(EXIT_STARTUP_FAILED, &error),
    };
    let exit_code = serve_until_signal(node).await;
    drop(control_tasks);
    exit_code
}

/// Waits for SIGTERM or SIGINT, then shuts the node down gracefully. SIGHUP reloads the settings.
async fn serve_until_signal(node: MeshNode) -> ExitCode {
    let signals = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()), signal(SignalKind::hangup()));
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = signals else {
        return report_error(EXIT_STARTUP_FAILED, &"cannot install signal handlers");
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => node.reload(),
        }
    }
    node.stop().await;
    ExitCode::SUCCESS
}

/// Prints an error to standard error and returns the process exit code.
fn report_error(exit_code: u8, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("fulmartrestle-sidecar: {error}");
    ExitCode::from(exit_code)
}
