//! Command-line arguments. Doc comments of commands and flags are their help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use fulmartrestle_core::Tenant;
use fulmartrestle_demo::{DeploymentName, PolicyName, ScenarioName};

/// Plan and confirm configuration changes of a fleet of fulmartrestle nodes, and show the
/// configuration in force.
#[derive(FromArgs, Debug)]
#[argh(
    example = "{command_name} --node 10.0.0.7:7003 plan intent.jsonc",
    example = "{command_name} --node 10.0.0.7:7003 confirm 5f1c0e9a7b3d42c8a1f09e6d2b7c4815",
    error_code(1, "The request was refused, a plan did not commit, or an invariant was violated."),
    error_code(2, "The arguments or an input file are invalid."),
    error_code(3, "The node or the platform's log can't be reached.")
)]
pub struct Args {
    /// address of the operators' API of any node; default: environment variable FULMARTRESTLE_NODE,
    /// then 127.0.0.1:7003
    #[argh(option)]
    pub node: Option<SocketAddr>,

    /// file that contains the operator's key; default: environment variable
    /// FULMARTRESTLE_OPERATOR_KEY
    #[argh(option)]
    pub operator_key_file: Option<PathBuf>,

    /// print JSON instead of text
    #[argh(switch)]
    pub json: bool,

    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Top-level commands.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// Plans the changes of an intent file.
    Plan(PlanArgs),
    /// Confirms a plan.
    Confirm(ConfirmArgs),
    /// Lists the latest plans with a result.
    History(HistoryArgs),
    /// Shows the status of a node.
    Status(StatusArgs),
    /// Plans to grant or withdraw a key.
    Key(KeyArgs),
    /// Plans a graceful stop.
    Stop(StopArgs),
    /// Checks a settings file.
    Check(CheckArgs),
    /// Shows decisions about requests.
    Explain(ExplainArgs),
    /// Prints a report.
    Report(ReportArgs),
    /// Shows when and why requests were lost.
    Timeline(TimelineArgs),
    /// Runs the in-process demo.
    Demo(DemoArgs),
    /// Runs real nodes under drawn faults.
    Soak(SoakArgs),
}

/// Make a plan from an intent and show its changes and what they affect. The plan has no effect until
/// it is confirmed.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "plan")]
pub struct PlanArgs {
    /// file with the intent, JSON with comments
    #[argh(positional)]
    pub file: PathBuf,

    /// show the values of each row before and after the change
    #[argh(switch)]
    pub diff: bool,
}

/// Confirm a plan. It takes effect unless another plan changed the same rows first.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "confirm")]
pub struct ConfirmArgs {
    /// id of a plan that this node made, or a file with a plan document
    #[argh(positional)]
    pub plan: String,
}

/// List the latest plans with a result, newest first: operator, reason and result.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {}

/// Show the configuration version in force by zone, zones that have not confirmed it, isolation, the
/// state of the platform's log, and planned stops.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {}

/// Grant or withdraw a tenant's key. Both make a plan that must be confirmed.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "key")]
pub struct KeyArgs {
    /// operation on the key
    #[argh(subcommand)]
    pub command: KeyCommand,
}

/// Operations on keys.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum KeyCommand {
    /// Grants a new key.
    Grant(GrantArgs),
    /// Withdraws a granted key.
    Withdraw(WithdrawArgs),
}

/// Plan to grant a new key to a tenant. The secret is shown only once, with the plan.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "grant")]
pub struct GrantArgs {
    /// tenant whose callers use the key
    #[argh(positional)]
    pub tenant: Tenant,

    /// reason, shown in the history
    #[argh(option)]
    pub why: String,
}

/// Plan to withdraw a key permanently.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "withdraw")]
pub struct WithdrawArgs {
    /// id of the key as shown when it was granted, not its secret
    #[argh(positional)]
    pub key_id: String,

    /// reason, shown in the history
    #[argh(option)]
    pub why: String,
}

/// Plan a graceful stop at a local time. From that time on, targets in its scope get no new requests.
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

    /// local time of the stop, for example 2026-03-29T04:30
    #[argh(option)]
    pub at: String,

    /// time zone name of the local time, for example Europe/Rome
    #[argh(option)]
    pub time_zone: String,

    /// reason, shown in the history
    #[argh(option)]
    pub why: String,
}

/// Check a node's settings file and report the first error with file, line, field and value.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// settings file to check
    #[argh(positional)]
    pub file: PathBuf,
}

/// Show why a request was refused or to which target it was sent. The node's setting `explain` must be
/// on.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// request id from the response header fulmartrestle-request-id; default: all latest decisions
    #[argh(positional)]
    pub request_id: Option<String>,
}

/// Print a report collected from all reachable nodes.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "report")]
pub struct ReportArgs {
    /// report to print
    #[argh(subcommand)]
    pub command: ReportCommand,
}

/// Available reports.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum ReportCommand {
    /// Error budget burn of service-level objectives.
    Burn(BurnArgs),
}

/// Report how fast each route burns its error budget, for which causes and tenants.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "burn")]
pub struct BurnArgs {
    /// write the report as an HTML page with plots to this file
    #[argh(option)]
    pub html: Option<PathBuf>,
}

/// Show from the logs of sidecars when requests were lost, on which routes and for which reasons, and which
/// services were full.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "timeline")]
pub struct TimelineArgs {
    /// log files, one for each node or several nodes in one
    #[argh(positional)]
    pub files: Vec<PathBuf>,

    /// length of a step in seconds; default 1
    #[argh(option, default = "1")]
    pub step_s: u64,

    /// deployment file with the capacity of the services and the work of the routes: also show the most credit that
    /// could have been earned in each step
    #[argh(option)]
    pub bound: Option<PathBuf>,
}

/// Start a small fleet in this process, send load through it and print a summary measured at the
/// callers and targets.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "demo")]
pub struct DemoArgs {
    /// duration of the load in seconds; default 10
    #[argh(option, default = "10")]
    pub seconds: u64,

    /// random seed of arrivals, clients and targets; default 1
    #[argh(option, default = "1")]
    pub seed: u64,

    /// sample deployment, compagni or karoo; default compagni
    #[argh(option, default = "DeploymentName::Compagni")]
    pub deployment: DeploymentName,

    /// scenario of faults and load changes, see --list; default calm
    #[argh(option, default = "ScenarioName::Calm")]
    pub scenario: ScenarioName,

    /// full, or baseline: round robin, three attempts at every hop, no limits; default full
    #[argh(option, default = "PolicyName::Full")]
    pub policy: PolicyName,

    /// print the report as one JSON object on the last line
    #[argh(switch)]
    pub json: bool,

    /// list the scenarios and exit
    #[argh(switch)]
    pub list: bool,
}

/// Start real nodes, a store, workers and callers on this machine, inject faults that overlap, and check the
/// rules of the platform by what callers, workers and the operator see. Prints the rules that were broken with the
/// faults before and the log lines of the request.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "soak")]
pub struct SoakArgs {
    /// seed of faults, versions and requests; default 1
    #[argh(option, default = "1")]
    pub seed: u64,

    /// run the faults of this seed again, print each one, and keep the logs of the nodes
    #[argh(option)]
    pub replay: Option<u64>,

    /// duration of the load in minutes, 1 to 1440; default 2
    #[argh(option, default = "2")]
    pub minutes: u64,

    /// nodes and the store, 3 to 200; default 7
    #[argh(option, default = "7")]
    pub processes: u64,

    /// directory with the programs fulmartrestle-sidecar and fulmartrestle-standin-log; default: that of this program
    #[argh(option)]
    pub programs: Option<PathBuf>,

    /// print the report as one JSON object on the last line
    #[argh(switch)]
    pub json: bool,

    /// list the kinds of faults and the rules, and exit
    #[argh(switch)]
    pub list: bool,
}
