//! Runs the demo.

use fulmartrestle_demo::{run_demo, scenario_list};

use super::print_json;
use crate::CliError;
use crate::args::DemoArgs;
use crate::say::say;

/// Runs the demo and prints a summary; with `json` the last line is the result as one object.
///
/// # Errors
///
/// Returns [`CliError::InvariantViolated`] when an invariant was violated.
pub async fn run(args: &DemoArgs, json: bool) -> Result<(), CliError> {
    if args.list {
        say!("{}", scenario_list().trim_end());
        return Ok(());
    }
    let report = run_demo(fulmartrestle_demo::DemoArgs {
        seconds: args.seconds,
        seed: args.seed,
        deployment: args.deployment,
        scenario: args.scenario,
        policy: args.policy,
    })
    .await?;
    say!("{}", report.to_string().trim_end());
    if json || args.json {
        print_json(&report)?;
    }
    if report.invariant_violations > 0 {
        return Err(CliError::InvariantViolated(report.invariant_violations));
    }
    Ok(())
}
