//! What runs of targets have said about themselves, in the memory of the nodes that send to them.

use fulmartrestle_core::TimeUs;
use rustc_hash::FxHashMap;

use crate::{TargetNotices, TargetReport};

/// Time for which a notice is kept after the last report of it, in milliseconds. A node that starts again hears its
/// target's next response long before.
const NOTICE_VALID_MS: u64 = 60_000;

/// Notices of runs of targets that have said anything. A node that starts again does not know what its target has said,
/// but those that have forwarded its responses are still bound by it. A run that leaves never takes that back.
#[derive(Debug, Default)]
pub struct NoticedRuns {
    runs: FxHashMap<(String, i64), (TargetNotices, TimeUs)>,
}

impl NoticedRuns {
    /// Records what a node reports about its target.
    pub fn record_report(&mut self, report: &TargetReport, now: TimeUs) {
        let Some(notices) = report.notices else { return };
        if notices == TargetNotices::default() && self.runs.is_empty() {
            return;
        }
        let run = (report.instance.clone(), report.started_unix_ms);
        let known = self.runs.get(&run).map(|(known, _)| *known);
        let notices = merge(known, notices);
        if notices == TargetNotices::default() {
            self.runs.remove(&run);
        } else {
            self.runs.retain(|_, (_, noticed_at)| now.ms_since(*noticed_at) < NOTICE_VALID_MS);
            self.runs.insert(run, (notices, now));
        }
    }

    /// Returns what the run of a report has said about itself, as far as it is known.
    pub fn notices(&self, report: &TargetReport) -> Option<TargetNotices> {
        if self.runs.is_empty() {
            return report.notices;
        }
        let known = self.runs.get(&(report.instance.clone(), report.started_unix_ms)).map(|(known, _)| *known);
        report.notices.map_or(known, |reported| Some(merge(known, reported)))
    }

    /// Returns the runs that are known to leave, by name and start.
    pub fn leaving_runs(&self) -> impl Iterator<Item = (&str, i64)> {
        let leaving = self.runs.iter().filter(|(_, (notices, _))| notices.leaving);
        leaving.map(|((instance, started_unix_ms), _)| (instance.as_str(), *started_unix_ms))
    }
}

/// Returns what is known of a run after it has been reported with `reported`.
fn merge(known: Option<TargetNotices>, reported: TargetNotices) -> TargetNotices {
    TargetNotices { leaving: reported.leaving || known.is_some_and(|known| known.leaving), ..reported }
}
