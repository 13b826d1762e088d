//! The log lines that the timeline is made from.

use std::collections::BTreeMap;

use serde::Deserialize;

/// A line of a node's log.
#[derive(Debug, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum LogEvent {
    /// Outcomes of the requests of one route in one window.
    Outcomes(OutcomesLine),
    /// Use of a target's slots in one window.
    TargetUse(TargetUseLine),
    /// Lines of an event that were left out because there were too many in one second.
    Suppressed {
        /// The event.
        of: String,
        /// Number of lines.
        lines: u64,
    },
    /// Any other line.
    #[serde(other)]
    Other,
}

/// Outcomes of the requests of one route that entered at one node.
#[derive(Debug, Deserialize)]
pub struct OutcomesLine {
    /// End of the window, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Zone of the node.
    pub zone: String,
    /// Route of the requests.
    pub route: String,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Whether the requests are calls of targets.
    pub call: bool,
    /// Requests answered within the latency objective.
    pub in_time: u64,
    /// Requests answered later.
    pub late: u64,
    /// Sum of the times until the responses, in milliseconds.
    pub answered_ms: u64,
    /// Other requests as `reason=count` pairs.
    #[serde(default)]
    unserved: String,
}

impl OutcomesLine {
    /// Returns the requests that were not served, by reason.
    ///
    /// # Errors
    ///
    /// Returns the pair that cannot be read.
    pub fn unserved(&self) -> Result<BTreeMap<String, u64>, String> {
        let parse = |pair: &str| {
            let (reason, count) = pair.split_once('=')?;
            Some((reason.to_owned(), count.parse().ok()?))
        };
        let pairs = self.unserved.split_whitespace();
        pairs.map(|pair| parse(pair).ok_or_else(|| format!("unserved: expected reason=count: {pair:?}"))).collect()
    }
}

/// Use of the slots of one node's target.
#[derive(Debug, Deserialize)]
pub struct TargetUseLine {
    /// End of the window, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Service of the target.
    pub service: String,
    /// Mean number of running calls, in thousandths.
    pub running_milli: u64,
    /// Mean number of waiting calls, in thousandths.
    pub waiting_milli: u64,
    /// Calls that may run concurrently.
    pub limit: u64,
}
