//! The node daemon: `fulmartrestled --settings FILE`.
//!
//! Exit codes: 0 after a graceful stop, 2 when the settings or arguments are wrong, 3 when a listener
//! can't be opened.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use argh::FromArgs;
use fulmartrestle_config::Settings;
use fulmartrestle_node::{Node, NodeHandle, NodeOptions, init_logging};
use fulmartrestle_platform::StoreClient;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for wrong settings or arguments.
const EXIT_SETTINGS: u8 = 2;

/// Exit code when the node can't start.
const EXIT_START: u8 = 3;

/// Runs one node of fulmartrestle until it gets SIGTERM or SIGINT.
#[derive(FromArgs)]
struct Args {
    /// file with the node's settings, JSON with comments
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(error) => return fail(EXIT_SETTINGS, &error),
    };
    if let Err(error) = init_logging(settings.log_level) {
        return fail(EXIT_START, &error);
    }
    // One thread: a node has a small VM to itself, and with several threads most of a call's added time was
    // spent waking them (see docs/CAPACITY.md).
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return fail(EXIT_START, &error),
    };
    runtime.block_on(run(settings))
}

async fn run(settings: Settings) -> ExitCode {
    let log = match StoreClient::new(&settings.log_url) {
        Ok(log) => log,
        Err(error) => return fail(EXIT_SETTINGS, &error),
    };
    let node = match Node::start(settings, NodeOptions::new(Arc::new(log))).await {
        Ok(node) => node,
        Err(error) => return fail(EXIT_START, &error),
    };
    println!(
        "listening on callers={} peers={} admin={}",
        node.caller_address(),
        node.peer_address(),
        node.admin_address()
    );
    stop_on_signal(node).await
}

async fn stop_on_signal(node: NodeHandle) -> ExitCode {
    let signals = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        return fail(EXIT_START, &"can't listen for signals");
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.stop().await;
    ExitCode::SUCCESS
}

fn fail(code: u8, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("fulmartrestled: {error}");
    ExitCode::from(code)
}
