//! Numbers of requests by intervals of their deadlines.

use std::collections::BTreeMap;

use fulmartrestle_core::TimeUs;

/// Length of the intervals, in microseconds. Usual deadlines are a few seconds away, so that a few dozen intervals are in
/// use.
const INTERVAL_US: u64 = 100_000;

/// Number of requests of each group.
pub(super) type GroupCounts = Vec<u32>;

/// Requests of each group by the interval that contains their deadline.
#[derive(Debug, Default)]
pub(super) struct DeadlineCounts(BTreeMap<u64, GroupCounts>);

impl DeadlineCounts {
    /// Counts a request.
    pub fn add(&mut self, deadline: TimeUs, group: usize) {
        let counts = self.0.entry(deadline.0 / INTERVAL_US).or_default();
        if counts.len() <= group {
            counts.resize(group + 1, 0);
        }
        counts[group] += 1;
    }

    /// Removes a request that was counted.
    pub fn subtract(&mut self, deadline: TimeUs, group: usize) {
        let interval = deadline.0 / INTERVAL_US;
        let Some(counts) = self.0.get_mut(&interval) else { return };
        counts[group] -= 1;
        if counts.iter().all(|count| *count == 0) {
            self.0.remove(&interval);
        }
    }

    /// Returns the end of the interval that contains `time`, and the requests of each of `groups` groups whose deadlines
    /// lie in later intervals.
    pub fn counts_after(&self, time: TimeUs, groups: usize) -> (TimeUs, GroupCounts) {
        let next = time.0 / INTERVAL_US + 1;
        let mut total: GroupCounts = vec![0; groups];
        for counts in self.0.range(next..).map(|(_, counts)| counts) {
            for (total, count) in total.iter_mut().zip(counts) {
                *total += count;
            }
        }
        (TimeUs(next * INTERVAL_US), total)
    }
}
