//! What happens to the fleet of the model.

use fulmartrestle_core::CallId;
use fulmartrestle_policy::checks::Invariant;

use super::event::Event;
use super::fleet::Model;
use super::settings::{Broken, Fault};

/// How long a crashed target or a lost VM stays away, in microseconds.
const AWAY_US: u64 = 500_000;
/// How long it takes to find and replace a silent connection, in microseconds.
const REPLACE_US: u64 = 300_000;
/// How long it takes until all tables know that a target leaves, in microseconds.
const LEAVING_SPREAD_US: u64 = 1_000_000;
/// How long it takes to notice that a VM is gone, in microseconds.
const VM_LOSS_NOTICE_US: u64 = 200_000;

impl Model {
    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::TargetCrash { node } => self.crash_target(node),
            Fault::VmLoss { node } => self.lose_vm(node),
            Fault::Pause { node, for_us } => self.nodes[node].paused_until = self.now.plus_us(for_us),
            Fault::SilentConnection { from, to } => {
                self.silent.insert((from, to));
                self.after_us(REPLACE_US, Event::Replaced { from, to });
            }
            Fault::LateAnswers { by_us, for_us } => self.late_until = (self.now.plus_us(for_us), by_us),
            Fault::CrashRequest => self.add_request(0, 0, true),
            Fault::Leave { node } => self.leave(node),
        }
    }

    /// The target's process dies with all calls that it runs. Its node stays and refuses.
    pub(super) fn crash_target(&mut self, node: usize) {
        if !self.nodes[node].target_up || !self.nodes[node].vm_up {
            return;
        }
        self.nodes[node].target_up = false;
        let network_us = self.settings.deployment.network_us;
        for call in self.attempts_at(node, true) {
            self.lose(call, network_us);
        }
        self.after_us(AWAY_US, Event::Back { node });
    }

    /// The VM is gone with its target, its node and all calls that it made.
    fn lose_vm(&mut self, node: usize) {
        if !self.nodes[node].vm_up {
            return;
        }
        self.nodes[node].vm_up = false;
        self.nodes[node].target_up = false;
        for call in self.attempts_at(node, false) {
            self.lose(call, VM_LOSS_NOTICE_US);
        }
        self.drop_hops_of(node);
        self.after_us(AWAY_US, Event::Back { node });
    }

    fn attempts_at(&self, node: usize, only_running: bool) -> Vec<CallId> {
        let there = self.attempts.iter().filter(|(_, attempt)| attempt.node == node);
        there.filter(|(_, attempt)| attempt.running || !only_running).map(|(call, _)| *call).collect()
    }

    /// The calls that a lost node was the entry of end: their clients see the connection go.
    fn drop_hops_of(&mut self, node: usize) {
        let keys: Vec<u64> = self.hops.iter().filter(|(_, hop)| hop.node == node).map(|(key, _)| *key).collect();
        for key in keys {
            let request = self.hops.get(&key).filter(|hop| hop.parent.is_none()).map(|hop| hop.request);
            self.cancel_hop(key);
            if let Some(request) = request {
                self.client_failed(request);
            }
        }
    }

    pub(super) fn back(&mut self, node: usize) {
        if self.nodes[node].vm_up {
            self.nodes[node].target_up = true;
            self.use_slots(node);
        } else {
            self.replace_node(node);
        }
    }

    fn leave(&mut self, node: usize) {
        if self.nodes[node].leaving.is_some() || !self.nodes[node].vm_up {
            return;
        }
        self.nodes[node].leaving = Some(self.now);
        if self.is_broken(Broken::LeavingIgnored) {
            return;
        }
        self.after_us(LEAVING_SPREAD_US, Event::LeavingHeard { node });
        self.nodes[node].gate.begin_drain(self.now);
        self.gate_events(node);
        if self.is_broken(Broken::StopAtOnce) {
            self.stop(node);
        }
    }

    pub(super) fn leaving_heard(&mut self, node: usize) {
        let row = self.announcement(node);
        for other in &mut self.nodes {
            other.table.upsert(row.clone(), self.now);
        }
    }

    /// A leaving node stops when its target runs nothing and it is the entry of nothing.
    pub(super) fn stop_if_drained(&mut self, node: usize) {
        let is_entry = || self.hops.values().any(|hop| hop.node == node);
        if self.nodes[node].gate.is_drained() && !is_entry() {
            self.stop(node);
        }
    }

    fn stop(&mut self, node: usize) {
        let runs = self.attempts.values().any(|attempt| attempt.node == node && attempt.running && attempt.wanted);
        let answers_under_way = self.attempts.values().any(|attempt| attempt.node == node && attempt.child.is_some());
        let is_entry = self.hops.values().any(|hop| hop.node == node);
        let cut_off = (runs && answers_under_way) || is_entry;
        self.stats.violations.check(Invariant::GracefulShutdown, !cut_off);
        self.lose_vm(node);
    }
}
