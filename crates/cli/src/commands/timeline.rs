//! Timeline of lost requests from the logs of nodes.

use std::fs::File;
use std::io::{BufRead, BufReader};

use fulmartrestle_timeline::Timeline;

use super::print_json;
use crate::CliError;
use crate::args::TimelineArgs;
use crate::print_line::print_line;

/// Prints the timeline of the given logs.
///
/// # Errors
///
/// Returns an error if a file can't be read, holds an invalid line, or if none holds a line about outcomes.
pub fn print_timeline(args: &TimelineArgs, json: bool) -> Result<(), CliError> {
    if args.files.is_empty() {
        return Err(CliError::Input("timeline: expected at least one log file".to_owned()));
    }
    let mut logs: Vec<(String, Box<dyn BufRead>)> = Vec::new();
    for path in &args.files {
        let name = path.display().to_string();
        let file = File::open(path).map_err(|cause| CliError::File(name.clone(), cause))?;
        logs.push((name, Box::new(BufReader::new(file))));
    }
    let timeline = Timeline::read(logs, args.step_s).map_err(|error| CliError::Input(error.to_string()))?;
    if json {
        return print_json(&timeline);
    }
    print_line!("{}", fulmartrestle_timeline::render(&timeline).trim_end());
    Ok(())
}
