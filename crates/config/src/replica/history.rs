//! The last decided plans.

use std::collections::{BTreeSet, VecDeque};

use fulmartrestle_core::{LogOffset, Version};
use fulmartrestle_derive::record;

use super::CertificationResult;
use crate::fleet::OperatorName;
use crate::plan::{Plan, PlanId, RowKey};

/// Decided plans that are kept. At 13,000 plans a day the last two hours: the time an operator has
/// for confirming a plan, since an older base is refused.
pub const HISTORY_ENTRIES: usize = 1_024;

/// Longest reason that the history keeps, in bytes.
const MAX_KEPT_WHY_BYTES: usize = 200;

/// One decided plan.
#[record]
pub struct HistoryEntry {
    /// The plan.
    pub plan: PlanId,
    /// Where its record stands in the log.
    pub offset: LogOffset,
    /// Who made it.
    pub who: OperatorName,
    /// Why, cut to 200 bytes.
    pub why: String,
    /// When it was made, in milliseconds since 1970 in UTC.
    pub planned_at_unix_ms: i64,
    /// What was decided.
    pub result: CertificationResult,
    /// What it wrote; empty unless it committed.
    pub written: Vec<RowKey>,
}

/// The last decided plans, oldest first. It is part of the replicated state: plans are certified
/// against it, so that all replicas must hold the same.
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

    /// Returns the oldest base that a plan may have: all that committed after it is held here.
    pub fn oldest_base(&self) -> Version {
        self.oldest_base
    }

    /// Returns what was decided on a plan, if it is held.
    pub fn result_of(&self, plan: PlanId) -> Option<CertificationResult> {
        self.entries.iter().rev().find(|entry| entry.plan == plan).map(|entry| entry.result)
    }

    /// Returns the first plan that committed after `base` and wrote one of `rows`.
    pub(super) fn conflict(&self, base: Version, rows: &BTreeSet<RowKey>) -> Option<PlanId> {
        let later = self.entries.iter().filter(|entry| match entry.result {
            CertificationResult::Committed { version } => version > base,
            _ => false,
        });
        later.into_iter().find(|entry| entry.written.iter().any(|row| rows.contains(row))).map(|entry| entry.plan)
    }

    pub(super) fn push(&mut self, plan: &Plan, offset: LogOffset, result: CertificationResult) {
        let committed = matches!(result, CertificationResult::Committed { .. });
        let written = if committed { plan.rows_written().into_iter().collect() } else { Vec::new() };
        self.entries.push_back(HistoryEntry {
            plan: plan.id,
            offset,
            who: plan.who.clone(),
            why: cut(&plan.why, MAX_KEPT_WHY_BYTES),
            planned_at_unix_ms: plan.planned_at_unix_ms,
            result,
            written,
        });
        if self.entries.len() > HISTORY_ENTRIES {
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

fn cut(text: &str, max_bytes: usize) -> String {
    let mut end = text.len().min(max_bytes);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_owned()
}
