//! Implementations of the commands, one module per command.

mod demo;
mod explain;
mod key;
mod plan;
mod report;
mod settings;
mod soak;
mod status;
mod stop;
mod timeline;

use std::net::{Ipv4Addr, SocketAddr};

use crate::args::{Args, Command};
use crate::client::AdminClient;
use crate::print_line::print_line;
use crate::{CliError, commands};

/// Default port of the operators' API, as in the sample settings.
const DEFAULT_ADMIN_PORT: u16 = 7_003;

/// Environment variable with the address of the node's operators' API.
const NODE_ENV_VAR: &str = "FULMARTRESTLE_NODE";

/// Environment variable with the operator's key.
const OPERATOR_KEY_ENV_VAR: &str = "FULMARTRESTLE_OPERATOR_KEY";

/// Runs the command and prints its result on standard output.
///
/// # Errors
///
/// Returns the error to print. [`CliError::exit_code`] returns the exit code for it.
pub async fn run(args: Args) -> Result<(), CliError> {
    match &args.command {
        Command::Check(check) => commands::settings::check_settings(&check.file),
        Command::Timeline(timeline) => commands::timeline::print_timeline(timeline, args.json),
        Command::Demo(demo) => commands::demo::run(demo, args.json).await,
        Command::Soak(soak) => commands::soak::run(soak, args.json).await,
        Command::Plan(plan) => commands::plan::plan_file(&admin_client(&args)?, plan, args.json).await,
        Command::Confirm(confirm) => commands::plan::confirm(&admin_client(&args)?, &confirm.plan, args.json).await,
        Command::History(_) => commands::plan::print_history(&admin_client(&args)?, args.json).await,
        Command::Status(_) => commands::status::print_status(&admin_client(&args)?, args.json).await,
        Command::Report(report) => {
            commands::report::print_report(&admin_client(&args)?, &report.command, args.json).await
        }
        Command::Key(key) => commands::key::plan_key_change(&admin_client(&args)?, &key.command, args.json).await,
        Command::Stop(stop) => commands::stop::plan_stop(&admin_client(&args)?, stop, args.json).await,
        Command::Explain(explain) => {
            commands::explain::print_decisions(&admin_client(&args)?, explain, args.json).await
        }
    }
}

fn admin_client(args: &Args) -> Result<AdminClient, CliError> {
    Ok(AdminClient::new(node_address(args)?, operator_key(args)?))
}

fn node_address(args: &Args) -> Result<SocketAddr, CliError> {
    if let Some(node) = args.node {
        return Ok(node);
    }
    match std::env::var(NODE_ENV_VAR) {
        Ok(text) => text.parse().map_err(|_| CliError::Input(format!("{NODE_ENV_VAR}: invalid address: {text:?}"))),
        Err(_) => Ok(SocketAddr::from((Ipv4Addr::LOCALHOST, DEFAULT_ADMIN_PORT))),
    }
}

fn operator_key(args: &Args) -> Result<Option<String>, CliError> {
    let Some(file) = &args.operator_key_file else { return Ok(std::env::var(OPERATOR_KEY_ENV_VAR).ok()) };
    let text = std::fs::read_to_string(file).map_err(|cause| CliError::File(file.display().to_string(), cause))?;
    Ok(Some(text.trim().to_owned()))
}

/// Prints a value as one line of JSON.
fn print_json(value: &impl serde::Serialize) -> Result<(), CliError> {
    let text = serde_json::to_string(value).map_err(|error| CliError::Input(error.to_string()))?;
    print_line!("{text}");
    Ok(())
}
