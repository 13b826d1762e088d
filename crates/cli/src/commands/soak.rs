//! Runs real nodes under drawn faults.

use std::path::{Path, PathBuf};

use fulmartrestle_soak::{SoakOptions, list_text, run_soak};

use super::print_json;
use crate::CliError;
use crate::args::SoakArgs;
use crate::print_line::print_line;

/// Runs a soak, and prints its progress and a summary. With `json`, the last line is the report as one JSON object.
///
/// # Errors
///
/// Returns [`CliError::Soak`] if the soak can't be run and [`CliError::RulesBroken`] if rules were broken.
pub async fn run(args: &SoakArgs, json: bool) -> Result<(), CliError> {
    if args.list {
        print_line!("{}", list_text().trim_end());
        return Ok(());
    }
    let options = SoakOptions {
        seed: args.replay.unwrap_or(args.seed),
        minutes: args.minutes,
        processes: args.processes,
        programs: args.programs.clone().map_or_else(own_directory, Ok)?,
        verbose: args.replay.is_some(),
    };
    let report = run_soak(&options, |line| print_line!("{line}")).await?;
    print_line!("{}", report.to_string().trim_end());
    if json || args.json {
        print_json(&report)?;
    }
    match report.breaches() {
        0 => Ok(()),
        count => Err(CliError::RulesBroken(count)),
    }
}

/// Returns the directory of this program.
fn own_directory() -> Result<PathBuf, CliError> {
    let program = std::env::current_exe().map_err(|cause| CliError::File("this program".to_owned(), cause))?;
    Ok(program.parent().map(Path::to_path_buf).unwrap_or_default())
}
