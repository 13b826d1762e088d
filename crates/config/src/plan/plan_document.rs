//! The plan as a document that stands on its own.

use std::collections::BTreeSet;

use fulmartrestle_core::Version;
use fulmartrestle_derive::record;

use super::row_check::check_change;
use super::{Affected, Change, PlanFault, PlanId, RowKey, Warning};
use crate::fleet::OperatorName;

/// Most changes in one plan: a record of the log stays well below the size of a snapshot chunk.
pub const MAX_PLAN_CHANGES: usize = 200;

/// Longest reason of a plan, in bytes.
pub const MAX_WHY_BYTES: usize = 500;

/// Largest plan, in bytes: it travels to every node, and one record of the log holds it.
pub const MAX_PLAN_BYTES: usize = 128 << 10;

/// What will change when the plan is confirmed, and whom it affects.
#[record]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The plan's identity: a hash of all other fields.
    pub id: PlanId,
    /// The version that the plan was made from. All of `reads` was read at this version.
    pub base: Version,
    /// Who made it.
    pub who: OperatorName,
    /// Why.
    pub why: String,
    /// When it was made, in milliseconds since 1970 in UTC.
    pub planned_at_unix_ms: i64,
    /// Random bits, so that the same intent planned twice gives two plans.
    pub nonce: u64,
    /// What the plan takes for granted: nothing of it may change before the plan commits.
    pub reads: Vec<RowKey>,
    /// The changes, in order.
    pub writes: Vec<Change>,
    /// Whom it affects.
    pub affects: Affected,
    /// What the operator should think about before confirming.
    pub warnings: Vec<Warning>,
}

impl Plan {
    /// Returns the identity that belongs to the plan's fields.
    pub fn expected_id(&self) -> PlanId {
        let mut id = [0; 16];
        blake3::Hasher::new().update(&self.bytes_without_id()).finalize_xof().fill(&mut id);
        PlanId(id)
    }

    fn bytes_without_id(&self) -> Vec<u8> {
        let mut unsigned = self.clone();
        unsigned.id = PlanId([0; 16]);
        // Serializing plain rows to memory can't fail; if it did, the id would match no plan.
        bincode::serde::encode_to_vec(&unsigned, bincode::config::standard()).unwrap_or_default()
    }

    /// Checks that the plan is what its id says and that each change can work by itself. Every
    /// reader of the log does it, because a plan passes through an operator's hands.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    pub fn validate(&self) -> Result<(), PlanFault> {
        if self.expected_id() != self.id {
            return Err(PlanFault::invalid("id", self.id, "the id does not belong to this plan"));
        }
        if self.writes.is_empty() || self.writes.len() > MAX_PLAN_CHANGES {
            return Err(PlanFault::invalid("writes", self.writes.len(), "expected 1 to 200 changes"));
        }
        let size_bytes = self.bytes_without_id().len();
        if size_bytes > MAX_PLAN_BYTES {
            return Err(PlanFault::invalid("writes", size_bytes, "expected a plan of at most 131072 bytes"));
        }
        if self.why.len() > MAX_WHY_BYTES {
            return Err(PlanFault::invalid("why", self.why.len(), "expected at most 500 bytes"));
        }
        self.writes.iter().try_for_each(check_change)
    }

    /// Returns what the plan writes, each once.
    pub fn rows_written(&self) -> BTreeSet<RowKey> {
        self.writes.iter().flat_map(Change::writes).collect()
    }

    /// Returns what the plan reads or writes, each once.
    pub fn rows_touched(&self) -> BTreeSet<RowKey> {
        let implied = self.writes.iter().flat_map(|change| change.reads().into_iter().chain(change.writes()));
        implied.chain(self.reads.iter().cloned()).collect()
    }

    /// Returns whether the plan takes a right away and must spread before anything else.
    pub fn is_urgent(&self) -> bool {
        self.writes.iter().any(Change::is_urgent)
    }
}
