//! The invariants that every step is checked against.

use fulmartrestle_config::propagation::ConfirmOutcome;
use fulmartrestle_core::TimeUs;

use super::{Broken, Sim, Slot};

/// Time in which a plan is in force on every node that hears others, in milliseconds.
const PLAN_SPREAD_MS: u64 = 2_000;

/// Time in which any record is read by every node that hears others, in milliseconds. Parts of
/// snapshots are not pushed: they pass tailer and relay by periodic pulls, some of which go elsewhere.
const RECORD_SPREAD_MS: u64 = 5_000;

impl Sim {
    pub(super) fn check_slot(&mut self, index: usize) -> Result<(), String> {
        let now = self.now;
        if index == 0 && self.saved.is_none() && now >= TimeUs::from_s(5) {
            self.saved = Some(self.slots[0].node.clone());
        }
        if index == 0 && self.broken == Some(Broken::GoesBack) && now >= TimeUs::from_s(30) {
            self.slots[0].node.clone_from(self.saved.as_ref().unwrap());
        }
        let slot = &mut self.slots[index];
        let vm = slot.member.vm;
        let digest = slot.node.digest(now);
        let wanted = self.log.hash_at(digest.next_offset);
        if slot.node.replica().config().is_some() && wanted != Some(digest.hash) {
            return Err(format!("{now}: {vm} has another hash at offset {}", digest.next_offset));
        }
        let Some(served) = slot.node.config().map(|config| config.version()) else { return Ok(()) };
        if served < slot.run_version {
            return Err(format!("{now}: {vm} went back from {} to {served}", slot.run_version));
        }
        if served < slot.highest_version && !slot.log_was_lost_since_start {
            return Err(format!("{now}: {vm} serves {served} after a restart, it had {}", slot.highest_version));
        }
        slot.run_version = served;
        slot.highest_version = slot.highest_version.max(served);
        Ok(())
    }

    /// An operator is told what every reader decides; "not appended" means that nothing changes.
    pub(super) fn check_settled(&self) -> Result<(), String> {
        for (plan, outcome) in &self.settled {
            let decided = self.log.decided.get(plan);
            let is_true = match outcome {
                ConfirmOutcome::Decided(told) => decided == Some(told),
                ConfirmOutcome::NotAppended => decided.is_none(),
                ConfirmOutcome::Unknown => true,
            };
            if !is_true {
                return Err(format!("{}: plan {plan} was told {outcome:?}, the log says {decided:?}", self.now));
            }
        }
        Ok(())
    }

    /// Checks that all nodes serve the last plan that committed, and have read the log but for what
    /// was written a moment ago: snapshots are written at any time.
    pub fn check_converged(&self) -> Result<(), String> {
        let ago = |ms: u64| TimeUs(self.now.0.saturating_sub(ms * 1_000));
        let end = self.log.end_at(ago(RECORD_SPREAD_MS)).max(self.log.end_of_plans_at(ago(PLAN_SPREAD_MS)));
        for slot in &self.slots {
            let replica = slot.node.replica();
            let (at, version) = (replica.applied_offset(), slot.node.config().map(|config| config.version()));
            if version != Some(replica.version()) || at < end {
                return Err(format!("{} is at {at} with {version:?}, the log ends at {end}", slot.member.vm));
            }
        }
        Ok(())
    }

    /// Returns how many nodes still accept a key.
    pub fn nodes_accepting(&self, secret: &str) -> usize {
        let keeps_old = |index: usize| index == 0 && self.broken == Some(Broken::KeepsOldKeys);
        let accepts = |(index, slot): &(usize, &Slot)| {
            let old = self.saved.as_ref().filter(|_| keeps_old(*index));
            let config = old.unwrap_or(&slot.node).config();
            config.is_some_and(|config| config.tenant_for_key(secret).is_some())
        };
        self.slots.iter().enumerate().filter(accepts).count()
    }
}
