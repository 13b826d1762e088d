//! History of certified plans.

use std::collections::{BTreeSet, VecDeque};

use fulmartrestle_core::{LogOffset, Version};
use fulmartrestle_derive::record;

use super::CertificationResult;
use crate::fleet::OperatorName;
use crate::plan::{Plan, PlanId, RowKey};

/// Number of certified plans that are kept. At 13,000 plans a day they cover the last two hours. That is how long
/// an operator has to confirm a plan, since a plan with an older base version is rejected.
pub const MAX_HISTORY_ENTRIES: usize = 1_024;

/// Maximum length of the reason kept with an entry, in bytes.
const MAX_STORED_WHY_BYTES: usize = 200;

/// One certified plan.
#[record]
pub struct HistoryEntry {
    /// Identifies the plan.
    pub plan: PlanId,
    /// Offset of the plan's record in the log.
    pub offset: LogOffset,
    /// The operator who created the plan.
    pub who: OperatorName,
    /// The operator's reason, truncated to 200 bytes.
    pub why: String,
    /// When the plan was created, in milliseconds since the Unix epoch.
    pub planned_at_unix_ms: i64,
    /// The result of certifying the plan.
    pub result: CertificationResult,
    /// The rows that the plan wrote; empty unless it committed.
    pub written: Vec<RowKey>,
}

/// The latest certified plans, oldest first. The history is part of the replicated state: plans are certified
/// against it, so it must be the same on all replicas.
#[record]
#[derive(Default)]
pub struct History {
    entries: VecDeque<HistoryEntry>,
    oldest_base: Version,
}

impl History {
    /// Returns the entries, oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &HistoryEntry> {
        self.entries.iter()
    }

    /// Returns the oldest base version that a plan may have. All plans committed after it are in the history.
    pub fn oldest_base(&self) -> Version {
        self.oldest_base
    }

    /// Returns the result of certifying `plan`, if the plan is in the history.
    pub fn certification_result(&self, plan: PlanId) -> Option<CertificationResult> {
        self.entries.iter().rev().find(|entry| entry.plan == plan).map(|entry| entry.result)
    }

    /// Returns the first plan that committed after `base` and wrote one of `rows`.
    pub(super) fn find_conflict(&self, base: Version, rows: &BTreeSet<RowKey>) -> Option<PlanId> {
        let later = self.entries.iter().filter(|entry| match entry.result {
            CertificationResult::Committed { version } => version > base,
            _ => false,
        });
        later.into_iter().find(|entry| entry.written.iter().any(|row| rows.contains(row))).map(|entry| entry.plan)
    }

    /// Adds a certified plan and drops the oldest entry if the history is full.
    pub(super) fn add(&mut self, plan: &Plan, offset: LogOffset, result: CertificationResult) {
        let committed = matches!(result, CertificationResult::Committed { .. });
        let written = if committed { plan.rows_written().into_iter().collect() } else { Vec::new() };
        self.entries.push_back(HistoryEntry {
            plan: plan.id,
            offset,
            who: plan.who.clone(),
            why: truncate(&plan.why, MAX_STORED_WHY_BYTES),
            planned_at_unix_ms: plan.planned_at_unix_ms,
            result,
            written,
        });
        if self.entries.len() > MAX_HISTORY_ENTRIES {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let dropped = self.entries.pop_front().map(|entry| entry.result);
        if let Some(CertificationResult::Committed { version }) = dropped {
            self.oldest_base = version;
        }
    }
}

/// Returns the longest prefix of `text` that has at most `max_bytes` bytes and ends at a character boundary.
fn truncate(text: &str, max_bytes: usize) -> String {
    let mut end = text.len().min(max_bytes);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_owned()
}
