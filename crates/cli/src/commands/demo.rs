//! Runs the demo.

use fulmartrestle_demo::{run_demo, scenario_list};

use super::print_json;
use crate::CliError;
use crate::args::DemoArgs;

/// Runs the demo and prints a summary; with `json` the last line is the result as one object.
///
/// # Errors
///
/// Returns [`CliError::InvariantViolated`] when an invariant was violated.
pub async fn run(args: &DemoArgs, json: bool) -> Result<(), CliError> {
    if args.list {
        print!("{}", scenario_list());
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
    print!("{report}");
    if json || args.json {
        print_json(&report)?;
    }
    if report.invariant_violations > 0 {
        return Err(CliError::InvariantViolated(report.invariant_violations));
    }
    Ok(())
}
