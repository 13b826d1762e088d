//! The node on the users' platform: `fulmartrestle-sidecar FILE`.
//!
//! Exit codes: 0 after a graceful stop, 2 when the settings or arguments are wrong, 3 when a listener
//! can't be opened.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use argh::FromArgs;
use fulmartrestle_mesh::{EventLog, MeshNode, MeshOptions, MeshSettings};
use fulmartrestle_platform::{OperatorConfigDecoder, PlatformHeaders, StoreClient, serve_control, store_layout};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for wrong settings or arguments.
const EXIT_SETTINGS: u8 = 2;

/// Exit code when the node can't start.
const EXIT_START: u8 = 3;

/// Runs one node on the users' platform until it gets SIGTERM or SIGINT; SIGHUP reads the settings again.
#[derive(FromArgs)]
struct Args {
    /// file with the node's settings, JSON with comments
    #[argh(positional)]
    settings: PathBuf,
    /// checks the settings and ends
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let settings = match MeshSettings::load(&args.settings) {
        Ok(settings) => settings,
        Err(error) => return fail(EXIT_SETTINGS, &error),
    };
    if args.check {
        println!("{}: ok, {} in {}", args.settings.display(), settings.name, settings.availability_zone);
        return ExitCode::SUCCESS;
    }
    // One thread: a node has a part of one core to itself.
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(run(settings, &args.settings)),
        Err(error) => fail(EXIT_START, &error),
    }
}

async fn run(settings: MeshSettings, path: &Path) -> ExitCode {
    let store = match StoreClient::new(&format!("http://{}", settings.store_address)) {
        Ok(store) => store,
        Err(error) => return fail(EXIT_SETTINGS, &error),
    };
    let event_log = match EventLog::start() {
        Ok(event_log) => event_log,
        Err(error) => return fail(EXIT_START, &error),
    };
    let layout = match store_layout() {
        Ok(layout) => layout,
        Err(error) => return fail(EXIT_START, &error),
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
        Err(error) => return fail(EXIT_START, &error),
    };
    let control = match serve_control(node.state()).await {
        Ok(control) => control,
        Err(error) => return fail(EXIT_START, &error),
    };
    let ended = serve_until_stopped(node).await;
    drop(control);
    ended
}

async fn serve_until_stopped(node: MeshNode) -> ExitCode {
    let signals = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()), signal(SignalKind::hangup()));
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = signals else {
        return fail(EXIT_START, &"can't listen for signals");
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

fn fail(code: u8, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("fulmartrestle-sidecar: {error}");
    ExitCode::from(code)
}
