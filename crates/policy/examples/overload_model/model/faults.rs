//! Faults of the fleet of the model.

use fulmartrestle_core::CallId;
use fulmartrestle_policy::checks::Invariant;

use super::event::Event;
use super::fleet::Model;
use super::settings::{Defect, Fault};

/// Time until a crashed target or a lost VM is restored, in microseconds.
const RESTORE_DELAY_US: u64 = 500_000;
/// Time until a silent connection is detected and replaced, in microseconds.
const CONNECTION_REPLACE_DELAY_US: u64 = 300_000;
/// Time until all tables have received that a target leaves, in microseconds.
const LEAVING_PUBLISH_DELAY_US: u64 = 1_000_000;
/// Time until the loss of a VM is detected, in microseconds.
const VM_LOSS_DETECTION_US: u64 = 200_000;

impl Model {
    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::TargetCrash { node } => self.crash_target(node),
            Fault::VmLoss { node } => self.remove_vm(node),
            Fault::Pause { node, for_us } => self.nodes[node].paused_until = self.now.plus_us(for_us),
            Fault::SilentConnection { from, to } => {
                self.silent_connections.insert((from, to));
                self.after_us(CONNECTION_REPLACE_DELAY_US, Event::ConnectionReplaced { from, to });
            }
            Fault::LateResponses { by_us, for_us } => self.response_delay = (self.now.plus_us(for_us), by_us),
            Fault::CrashRequest => self.add_request(0, 0, true),
            Fault::Leave { node } => self.start_leaving(node),
        }
    }

    /// Crashes the target's process with all calls that it runs. Its node keeps running and refuses calls.
    pub(super) fn crash_target(&mut self, node: usize) {
        if !self.nodes[node].target_up || !self.nodes[node].vm_up {
            return;
        }
        self.nodes[node].target_up = false;
        let network_us = self.settings.deployment.network_us;
        for call in self.attempts_at(node, true) {
            self.lose_attempt(call, network_us);
        }
        self.after_us(RESTORE_DELAY_US, Event::Restored { node });
    }

    /// Removes the VM with its target, its node and all calls that the node made.
    fn remove_vm(&mut self, node: usize) {
        if !self.nodes[node].vm_up {
            return;
        }
        self.nodes[node].vm_up = false;
        self.nodes[node].target_up = false;
        for call in self.attempts_at(node, false) {
            self.lose_attempt(call, VM_LOSS_DETECTION_US);
        }
        self.cancel_hops_of(node);
        self.after_us(RESTORE_DELAY_US, Event::Restored { node });
    }

    fn attempts_at(&self, node: usize, only_running: bool) -> Vec<CallId> {
        let at_node = self.attempts.iter().filter(|(_, attempt)| attempt.node == node);
        at_node.filter(|(_, attempt)| attempt.running || !only_running).map(|(call, _)| *call).collect()
    }

    /// Cancels all hops of a lost node; clients of requests that entered there detect the closed
    /// connection.
    fn cancel_hops_of(&mut self, node: usize) {
        let keys: Vec<u64> = self.hops.iter().filter(|(_, hop)| hop.node == node).map(|(key, _)| *key).collect();
        for key in keys {
            let request = self.hops.get(&key).filter(|hop| hop.parent.is_none()).map(|hop| hop.request);
            self.cancel_hop(key);
            if let Some(request) = request {
                self.fail_send(request);
            }
        }
    }

    pub(super) fn restore(&mut self, node: usize) {
        if self.nodes[node].vm_up {
            self.nodes[node].target_up = true;
            self.fill_slots(node);
        } else {
            self.replace_node(node);
        }
    }

    fn start_leaving(&mut self, node: usize) {
        if self.nodes[node].leaving.is_some() || !self.nodes[node].vm_up {
            return;
        }
        self.nodes[node].leaving = Some(self.now);
        if self.has_defect(Defect::LeavingIgnored) {
            return;
        }
        self.after_us(LEAVING_PUBLISH_DELAY_US, Event::LeavingPublished { node });
        self.nodes[node].gate.begin_drain(self.now);
        self.apply_queue_events(node);
        if self.has_defect(Defect::StopWithoutDraining) {
            self.stop_node(node);
        }
    }

    pub(super) fn publish_leaving(&mut self, node: usize) {
        let announcement = self.announcement(node);
        for other in &mut self.nodes {
            other.target_table.upsert(announcement.clone(), self.now);
        }
    }

    /// Stops a leaving node when its target runs no call and the node has no open hops.
    pub(super) fn stop_if_drained(&mut self, node: usize) {
        let has_open_hops = || self.hops.values().any(|hop| hop.node == node);
        if self.nodes[node].gate.is_drained() && !has_open_hops() {
            self.stop_node(node);
        }
    }

    fn stop_node(&mut self, node: usize) {
        let is_running =
            self.attempts.values().any(|attempt| attempt.node == node && attempt.running && attempt.caller_waits);
        let has_child_calls = self.attempts.values().any(|attempt| attempt.node == node && attempt.child.is_some());
        let has_open_hops = self.hops.values().any(|hop| hop.node == node);
        let aborts_calls = (is_running && has_child_calls) || has_open_hops;
        self.stats.violations.check(Invariant::GracefulShutdown, !aborts_calls);
        self.remove_vm(node);
    }
}
