//! The invariants that every step is checked against.

use fulmartrestle_config::spread::ConfirmOutcome;
use fulmartrestle_core::TimeUs;

use super::{Broken, Sim, Slot};

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

    /// Checks that all nodes serve the log's end.
    pub fn check_converged(&self) -> Result<(), String> {
        let end = self.log.end();
        for slot in &self.slots {
            let version = slot.node.config().map(|config| config.version());
            if version != Some(self.log.reference.version()) || slot.node.replica().applied_offset() != end {
                let at = slot.node.replica().applied_offset();
                return Err(format!("{} is at {at} with {version:?}, the log ends at {end}", slot.member.vm));
            }
        }
        Ok(())
    }

    /// Returns how many nodes still accept a key.
    pub fn nodes_accepting(&self, secret: &str) -> usize {
        let accepts = |slot: &&Slot| slot.node.config().is_some_and(|config| config.tenant_for_key(secret).is_some());
        self.slots.iter().filter(accepts).count()
    }
}
