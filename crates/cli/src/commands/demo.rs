//! Runs the in-process demo.

use fulmartrestle_demo::{list_scenarios, run_demo};

use super::print_json;
use crate::CliError;
use crate::args::DemoArgs;
use crate::print_line::print_line;

/// Runs the demo and prints a summary. With `json`, the last line is the report as one JSON object.
///
/// # Errors
///
/// Returns [`CliError::Demo`] if the run failed and [`CliError::InvariantsViolated`] if it violated an
/// invariant.
pub async fn run(args: &DemoArgs, json: bool) -> Result<(), CliError> {
    if args.list {
        print_line!("{}", list_scenarios().trim_end());
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
    print_line!("{}", report.to_string().trim_end());
    if json || args.json {
        print_json(&report)?;
    }
    if report.invariant_violations > 0 {
        return Err(CliError::InvariantsViolated(report.invariant_violations));
    }
    Ok(())
}
