//! Timeline of lost requests from the logs of nodes.

use std::fs::{self, File};
use std::io::{BufRead, BufReader};
use std::path::Path;

use fulmartrestle_timeline::{Deployment, StepBound, Timeline, bounds, render, render_bounds};
use serde::Serialize;

use super::print_json;
use crate::CliError;
use crate::args::TimelineArgs;
use crate::print_line::print_line;

/// The timeline, with the bound of each step if a deployment is given.
#[derive(Serialize)]
struct TimelineReport {
    #[serde(flatten)]
    timeline: Timeline,
    #[serde(skip_serializing_if = "Option::is_none")]
    bounds: Option<Vec<StepBound>>,
}

/// Prints the timeline of the given logs.
///
/// # Errors
///
/// Returns an error if a file can't be read, holds an invalid line or value, or if no log holds a line about outcomes.
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
    let bounds = match &args.bound {
        Some(path) => Some(read_bounds(path, &timeline)?),
        None => None,
    };
    if json {
        return print_json(&TimelineReport { timeline, bounds });
    }
    print_line!("{}", render(&timeline).trim_end());
    if let Some(bounds) = &bounds {
        print_line!("{}", render_bounds(bounds).trim_end());
    }
    Ok(())
}

fn read_bounds(path: &Path, timeline: &Timeline) -> Result<Vec<StepBound>, CliError> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|cause| CliError::File(name.clone(), cause))?;
    let deployment = Deployment::parse(&name, &text).map_err(|error| CliError::Input(error.to_string()))?;
    bounds(timeline, &deployment).map_err(|error| CliError::Input(error.to_string()))
}
