//! Arguments of the command; each flag is defined here and nowhere else.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use fulmartrestle_core::Tenant;
use fulmartrestle_demo::{DeploymentName, PolicyName, ScenarioName};

/// States intents to a fleet of fulmartrestle nodes, confirms the plans that answer them, and shows
/// what is in force.
#[derive(FromArgs, Debug)]
#[argh(
    example = "{command_name} --node 10.0.0.7:7003 plan intent.jsonc",
    example = "{command_name} --node 10.0.0.7:7003 confirm 5f1c0e9a7b3d42c8a1f09e6d2b7c4815",
    error_code(1, "The request was refused, a plan lost to another, or an invariant was violated."),
    error_code(2, "The arguments or a file are wrong."),
    error_code(3, "The node or the platform's log is out of reach.")
)]
pub struct Args {
    /// operators' address of any node; default: environment FULMARTRESTLE_NODE, then 127.0.0.1:7003
    #[argh(option)]
    pub node: Option<SocketAddr>,

    /// file that holds the operator's key; default: environment FULMARTRESTLE_OPERATOR_KEY
    #[argh(option)]
    pub operator_key_file: Option<PathBuf>,

    /// print JSON in place of text
    #[argh(switch)]
    pub json: bool,

    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// Makes a plan.
    Plan(PlanArgs),
    /// Confirms a plan.
    Confirm(ConfirmArgs),
    /// Lists decided plans.
    History(HistoryArgs),
    /// Shows what is in force.
    Status(StatusArgs),
    /// Grants and withdraws keys.
    Key(KeyArgs),
    /// Plans a stop.
    Stop(StopArgs),
    /// Checks a settings file.
    Check(CheckArgs),
    /// Explains decisions.
    Explain(ExplainArgs),
    /// Reports.
    Report(ReportArgs),
    /// Runs the demo.
    Demo(DemoArgs),
}

/// Make a plan of an intent and show what it changes and whom it affects. Nothing takes effect.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "plan")]
pub struct PlanArgs {
    /// file with the intent, JSON with comments
    #[argh(positional)]
    pub file: PathBuf,

    /// show each row before and after
    #[argh(switch)]
    pub diff: bool,
}

/// Confirm a plan; it takes effect unless another plan changed the same rows first.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "confirm")]
pub struct ConfirmArgs {
    /// id of a plan that this node made, or a file with a plan's document
    #[argh(positional)]
    pub plan: String,
}

/// List the last decided plans, newest first: who, why and what became of them.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {}

/// Show the version in force by zone, who has not confirmed it, isolation, the log's state and stops.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {}

/// Grant or withdraw a tenant's key. Each makes a plan that has to be confirmed.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "key")]
pub struct KeyArgs {
    /// what to do with the key
    #[argh(subcommand)]
    pub command: KeyCommand,
}

/// What to do with a key.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum KeyCommand {
    /// Grants a key.
    Grant(GrantArgs),
    /// Withdraws a key.
    Withdraw(WithdrawArgs),
}

/// Plan to grant a new key to a tenant. The secret is shown once, with the plan.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "grant")]
pub struct GrantArgs {
    /// the tenant
    #[argh(positional)]
    pub tenant: Tenant,

    /// why, for the history
    #[argh(option)]
    pub why: String,
}

/// Plan to withdraw a key for good.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "withdraw")]
pub struct WithdrawArgs {
    /// the key's name, as granted; never the secret
    #[argh(positional)]
    pub key_id: String,

    /// why, for the history
    #[argh(option)]
    pub why: String,
}

/// Plan a graceful stop at a local time: targets in its scope get no new work from then on.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "stop")]
pub struct StopArgs {
    /// name of the stop
    #[argh(positional)]
    pub name: String,

    /// stop all targets of this zone
    #[argh(option)]
    pub zone: Option<String>,

    /// stop all targets of this service
    #[argh(option)]
    pub service: Option<String>,

    /// stop the target announced under this address
    #[argh(option)]
    pub target: Option<SocketAddr>,

    /// local time, for example 2026-03-29T04:30
    #[argh(option)]
    pub at: String,

    /// named time zone of that time, for example Europe/Rome
    #[argh(option)]
    pub time_zone: String,

    /// why, for the history
    #[argh(option)]
    pub why: String,
}

/// Check a node's settings file and say what is wrong with file, line, field and value.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// the settings file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Explain why a request was refused or which target it went to; the node's setting `explain` must
/// be on.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the request, from its answer's header fulmartrestle-request-id; all latest decisions without it
    #[argh(positional)]
    pub request_id: Option<String>,
}

/// Print a report gathered from all nodes that can be reached.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "report")]
pub struct ReportArgs {
    /// which report
    #[argh(subcommand)]
    pub command: ReportCommand,
}

/// Which report.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum ReportCommand {
    /// Service-level burn.
    Burn(BurnArgs),
}

/// Report how fast each route burns its error budget, what burned it and for which tenants.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "burn")]
pub struct BurnArgs {
    /// write the report as a page with plots to this file
    #[argh(option)]
    pub html: Option<PathBuf>,
}

/// Start a small fleet in this process, drive load through it and print what callers saw.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "demo")]
pub struct DemoArgs {
    /// length of the load in seconds; default 10
    #[argh(option, default = "10")]
    pub seconds: u64,

    /// seed of arrivals, clients and targets; default 1
    #[argh(option, default = "1")]
    pub seed: u64,

    /// compagni or karoo; default compagni
    #[argh(option, default = "DeploymentName::Compagni")]
    pub deployment: DeploymentName,

    /// what happens during the run, see --list; default calm
    #[argh(option, default = "ScenarioName::Calm")]
    pub scenario: ScenarioName,

    /// full, or baseline: round robin, three tries at every hop, no limits; default full
    #[argh(option, default = "PolicyName::Full")]
    pub policy: PolicyName,

    /// print the result as one JSON object on the last line
    #[argh(switch)]
    pub json: bool,

    /// list the scenarios and end
    #[argh(switch)]
    pub list: bool,
}
