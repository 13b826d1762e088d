//! Invariants that are checked after every step.

use fulmartrestle_config::propagation::ConfirmOutcome;
use fulmartrestle_core::TimeUs;

use super::{InjectedBug, Sim, SimNode};

/// Time in which a plan becomes active on every connected node, in milliseconds.
const PLAN_PROPAGATION_MS: u64 = 2_000;

/// Time in which any record is read by every connected node, in milliseconds. Snapshot parts take longer than plans,
/// because they are not pushed: they pass tailers and relays by periodic pulls, some of which go to other zones.
const RECORD_PROPAGATION_MS: u64 = 5_000;

impl Sim {
    pub(super) fn check_node(&mut self, index: usize) -> Result<(), String> {
        let now = self.now;
        if index == 0 && self.early_state.is_none() && now >= TimeUs::from_s(5) {
            self.early_state = Some(self.nodes[0].node.clone());
        }
        if index == 0 && self.injected_bug == Some(InjectedBug::RevertsToOldVersion) && now >= TimeUs::from_s(30) {
            self.nodes[0].node.clone_from(self.early_state.as_ref().unwrap());
        }
        let sim_node = &mut self.nodes[index];
        let vm = sim_node.member.vm;
        let digest = sim_node.node.digest(now);
        let expected_hash = self.log.hash_at(digest.next_offset);
        if sim_node.node.replica().config().is_some() && expected_hash != Some(digest.hash) {
            return Err(format!("{now}: {vm} has a different hash at offset {}", digest.next_offset));
        }
        let Some(served) = sim_node.node.config().map(|config| config.version()) else { return Ok(()) };
        if served < sim_node.version_in_run {
            return Err(format!("{now}: {vm} reverted from {} to {served}", sim_node.version_in_run));
        }
        if served < sim_node.highest_version && !sim_node.log_lost_since_start {
            return Err(format!(
                "{now}: {vm} serves {served} after a restart, but served {} before",
                sim_node.highest_version
            ));
        }
        sim_node.version_in_run = served;
        sim_node.highest_version = sim_node.highest_version.max(served);
        Ok(())
    }

    /// Checks that the outcomes reported to operators agree with the results of the reference replica. `NotAppended`
    /// means that the plan has not been certified.
    pub(super) fn check_outcomes(&self) -> Result<(), String> {
        for (plan, outcome) in &self.outcomes {
            let decided = self.log.decided.get(plan);
            let is_correct = match outcome {
                ConfirmOutcome::Decided(reported) => decided == Some(reported),
                ConfirmOutcome::NotAppended => decided.is_none(),
                ConfirmOutcome::Unknown => true,
            };
            if !is_correct {
                return Err(format!(
                    "{}: plan {plan} was reported as {outcome:?}, but the log gives {decided:?}",
                    self.now
                ));
            }
        }
        Ok(())
    }

    /// Checks that all nodes serve the version of the last committed plan and have read the log, except for the most
    /// recent records, since snapshots are written at any time.
    pub fn check_converged(&self) -> Result<(), String> {
        let time_before = |ms: u64| TimeUs(self.now.0.saturating_sub(ms * 1_000));
        let end = self
            .log
            .end_at(time_before(RECORD_PROPAGATION_MS))
            .max(self.log.end_of_plans_at(time_before(PLAN_PROPAGATION_MS)));
        for sim_node in &self.nodes {
            let replica = sim_node.node.replica();
            let (applied_offset, version) =
                (replica.applied_offset(), sim_node.node.config().map(|config| config.version()));
            if version != Some(replica.version()) || applied_offset < end {
                return Err(format!(
                    "{} is at {applied_offset} with {version:?}, but the log ends at {end}",
                    sim_node.member.vm
                ));
            }
        }
        Ok(())
    }

    /// Returns the number of nodes that accept a key.
    pub fn nodes_accepting(&self, secret: &str) -> usize {
        let accepts_old = |index: usize| index == 0 && self.injected_bug == Some(InjectedBug::AcceptsOldKeys);
        let accepts = |(index, sim_node): &(usize, &SimNode)| {
            let old = self.early_state.as_ref().filter(|_| accepts_old(*index));
            let config = old.unwrap_or(&sim_node.node).config();
            config.is_some_and(|config| config.tenant_for_key(secret).is_some())
        };
        self.nodes.iter().enumerate().filter(accepts).count()
    }
}
