//! The plan as a self-contained document.

use std::collections::BTreeSet;

use fulmartrestle_core::Version;
use fulmartrestle_derive::record;

use super::row_check::check_change;
use super::{Affected, Change, PlanErrorKind, PlanId, RowKey, Warning};
use crate::fleet::OperatorName;

/// Maximum number of changes in one plan. It keeps a log record well below the size of a snapshot part.
pub const MAX_PLAN_CHANGES: usize = 200;

/// Maximum length of a plan's reason, in bytes.
pub const MAX_WHY_BYTES: usize = 500;

/// Maximum size of an encoded plan, in bytes. A plan is stored in a single log record and sent to every node.
pub const MAX_PLAN_BYTES: usize = 128 << 10;

/// The changes that take effect when the plan is confirmed, and what they affect.
#[record]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The plan's id: a hash over all other fields.
    pub id: PlanId,
    /// The version that the plan is based on. All rows in `reads` were read at this version.
    pub base: Version,
    /// The operator who created the plan.
    pub who: OperatorName,
    /// The operator's reason.
    pub why: String,
    /// When the plan was created, in milliseconds since the Unix epoch.
    pub planned_at_unix_ms: i64,
    /// Random number, so that planning the same intent twice gives two plans with different ids.
    pub nonce: u64,
    /// The rows that the plan depends on. It does not commit if one of them has changed since `base`.
    pub reads: Vec<RowKey>,
    /// The changes, in order.
    pub writes: Vec<Change>,
    /// The tenants, routes and targets that the plan affects.
    pub affects: Affected,
    /// Consequences that the operator should consider before confirming.
    pub warnings: Vec<Warning>,
}

impl Plan {
    /// Returns the id that the plan's other fields result in.
    pub fn expected_id(&self) -> PlanId {
        let mut id = [0; 16];
        blake3::Hasher::new().update(&self.encode_without_id()).finalize_xof().fill(&mut id);
        PlanId(id)
    }

    fn encode_without_id(&self) -> Vec<u8> {
        let mut without_id = self.clone();
        without_id.id = PlanId([0; 16]);
        // Encoding plain data to memory can't fail. If it did, the id would not match any plan.
        bincode::serde::encode_to_vec(&without_id, bincode::config::standard()).unwrap_or_default()
    }

    /// Checks that the plan matches its id and that each change is valid by itself. Every reader of the log does so,
    /// because an operator may have modified the document.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn validate(&self) -> Result<(), PlanErrorKind> {
        if self.expected_id() != self.id {
            return Err(PlanErrorKind::invalid("id", self.id, "the id does not belong to this plan"));
        }
        if self.writes.is_empty() || self.writes.len() > MAX_PLAN_CHANGES {
            return Err(PlanErrorKind::invalid("writes", self.writes.len(), "expected 1 to 200 changes"));
        }
        let size_bytes = self.encode_without_id().len();
        if size_bytes > MAX_PLAN_BYTES {
            return Err(PlanErrorKind::invalid("writes", size_bytes, "expected a plan of at most 131072 bytes"));
        }
        if self.why.len() > MAX_WHY_BYTES {
            return Err(PlanErrorKind::invalid("why", self.why.len(), "expected at most 500 bytes"));
        }
        self.writes.iter().try_for_each(check_change)
    }

    /// Returns the rows that the plan writes, without duplicates.
    pub fn rows_written(&self) -> BTreeSet<RowKey> {
        self.writes.iter().flat_map(Change::rows_written).collect()
    }

    /// Returns the rows that the plan reads or writes, without duplicates.
    pub fn rows_accessed(&self) -> BTreeSet<RowKey> {
        let implied = self.writes.iter().flat_map(|change| change.rows_read().into_iter().chain(change.rows_written()));
        implied.chain(self.reads.iter().cloned()).collect()
    }

    /// Returns whether the plan withdraws a right and must be propagated ahead of other changes.
    pub fn is_urgent(&self) -> bool {
        self.writes.iter().any(Change::is_urgent)
    }
}
