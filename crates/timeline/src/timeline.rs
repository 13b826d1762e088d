//! Adds the log lines of all nodes into steps of time.

use std::collections::BTreeMap;
use std::io::{self, BufRead};

use fulmartrestle_derive::record;
use quick_error::quick_error;

use crate::log_event::{LogEvent, OutcomesLine, TargetUseLine};
use crate::{Losses, ServiceUse, TimeStep};

const MS_PER_S: u64 = 1_000;

quick_error! {
    /// A log that cannot be read.
    #[derive(Debug)]
    pub enum TimelineError {
        /// The file could not be read; holds its name and the cause.
        Read(file: String, cause: io::Error) {
            display("{}: {}", file, cause)
        }
        /// A line of the timeline is invalid; holds the file, the line number and what is wrong.
        Line(file: String, line: usize, detail: String) {
            display("{}:{}: {}", file, line, detail)
        }
        /// No file holds a line about outcomes.
        Empty(files: String) {
            display("{}: no line with \"event\":\"outcomes\"", files)
        }
        /// The length of a step is invalid.
        Step(value: u64) {
            display("step-s: expected 1 or more: {}", value)
        }
    }
}

/// Outcomes of requests in steps of time.
#[record]
pub struct Timeline {
    /// Length of a step, in seconds.
    pub step_s: u64,
    /// Priority of each route; 0 is the highest.
    pub priorities: BTreeMap<String, u8>,
    /// Steps in order of time; those without requests or calls are left out.
    pub steps: Vec<TimeStep>,
    /// Lines that were left out by a node's limit of lines per second.
    pub suppressed_lines: u64,
}

/// Collects the lines of several logs.
#[derive(Debug, Default)]
struct Collector {
    steps: BTreeMap<u64, TimeStep>,
    priorities: BTreeMap<String, u8>,
    suppressed_lines: u64,
}

impl Timeline {
    /// Reads the logs of several nodes, each with its name. Text before the first brace of a line is skipped, because
    /// collectors of logs put times and names there, and lines without a JSON object are too.
    ///
    /// # Errors
    ///
    /// Returns an error if a log cannot be read, if a line of the timeline is invalid, if there is none, or if `step_s` is 0.
    pub fn read(logs: Vec<(String, Box<dyn BufRead>)>, step_s: u64) -> Result<Self, TimelineError> {
        if step_s == 0 {
            return Err(TimelineError::Step(step_s));
        }
        let mut collector = Collector::default();
        let mut names = Vec::new();
        for (name, log) in logs {
            collector.read(&name, log, step_s)?;
            names.push(name);
        }
        let steps: Vec<TimeStep> = std::mem::take(&mut collector.steps).into_values().collect();
        if steps.iter().all(|step| step.routes.is_empty() && step.calls.is_empty()) {
            return Err(TimelineError::Empty(names.join(", ")));
        }
        let Collector { priorities, suppressed_lines, .. } = collector;
        Ok(Self { step_s, priorities, steps, suppressed_lines })
    }

    /// Returns the outcomes of all requests of callers.
    pub fn total(&self) -> Losses {
        let mut total = Losses::default();
        self.steps.iter().for_each(|step| total.add(&step.total()));
        total
    }
}

impl Collector {
    fn read(&mut self, name: &str, log: Box<dyn BufRead>, step_s: u64) -> Result<(), TimelineError> {
        for (index, line) in log.lines().enumerate() {
            let line = line.map_err(|cause| TimelineError::Read(name.to_owned(), cause))?;
            let Some(start) = line.find('{') else { continue };
            let text = &line[start..];
            let invalid = |detail: String| TimelineError::Line(name.to_owned(), index + 1, detail);
            // Most lines are about single requests; only those of the timeline are decoded and must be valid.
            if !["\"outcomes\"", "\"target_use\"", "\"suppressed\""].iter().any(|event| text.contains(event)) {
                continue;
            }
            let event: LogEvent = serde_json::from_str(text).map_err(|error| invalid(error.to_string()))?;
            match event {
                LogEvent::Outcomes(outcomes) => self.add_outcomes(&outcomes, step_s).map_err(invalid)?,
                LogEvent::TargetUse(target_use) => self.add_target_use(&target_use, step_s),
                LogEvent::Suppressed { of, lines } if of == "outcomes" || of == "target_use" => {
                    self.suppressed_lines += lines;
                }
                LogEvent::Suppressed { .. } | LogEvent::Other => {}
            }
        }
        Ok(())
    }

    /// Returns the step that the middle of a window lies in.
    fn step(&mut self, unix_ms: u64, window_ms: u64, step_s: u64) -> &mut TimeStep {
        let step_ms = step_s * MS_PER_S;
        let start_ms = unix_ms.saturating_sub(window_ms / 2) / step_ms * step_ms;
        self.steps.entry(start_ms).or_insert_with(|| TimeStep { unix_ms: start_ms, ..TimeStep::default() })
    }

    fn add_outcomes(&mut self, line: &OutcomesLine, step_s: u64) -> Result<(), String> {
        let unserved = line.unserved()?;
        let losses = Losses {
            requests: line.in_time + line.late + unserved.values().sum::<u64>(),
            in_time: line.in_time,
            late: line.late,
            answered_ms: line.answered_ms,
            unserved,
        };
        self.priorities.insert(line.route.clone(), line.priority);
        let step = self.step(line.unix_ms, line.window_ms, step_s);
        if line.call {
            step.calls.entry(line.route.clone()).or_default().add(&losses);
            return Ok(());
        }
        step.routes.entry(line.route.clone()).or_default().add(&losses);
        step.zones.entry(line.zone.clone()).or_default().add(&losses);
        Ok(())
    }

    /// Adds the use of one target, weighted by the part of the step that its window covers.
    fn add_target_use(&mut self, line: &TargetUseLine, step_s: u64) {
        let step_ms = step_s * MS_PER_S;
        let weighted = |value: u64| value * line.window_ms / step_ms;
        let step = self.step(line.unix_ms, line.window_ms, step_s);
        let ServiceUse { running_milli, waiting_milli, limit_milli } =
            step.services.entry(line.service.clone()).or_default();
        *running_milli += weighted(line.running_milli);
        *waiting_milli += weighted(line.waiting_milli);
        *limit_milli += weighted(line.limit * 1_000);
    }
}
