//! Handling of messages from other nodes.

use fulmartrestle_core::{LogOffset, TimeUs, Version, VmId};

use super::contacts::time_before;
use super::{ConfigDigest, ConfigEffect, ConfigMessage, ConfigNode, PullId, UrgentChange};
use crate::replica::{SnapshotId, SnapshotPart};

impl ConfigNode {
    /// Processes a message from another node.
    pub fn on_message(&mut self, now: TimeUs, from: VmId, message: ConfigMessage) -> Vec<ConfigEffect> {
        if self.members.is_in_other_zone(from) {
            self.contacts.record_other_zone(now);
        }
        match message {
            ConfigMessage::Digest { digest, urgent } => {
                self.process_digest(now, from, &digest);
                self.apply_urgent_changes(now, &urgent);
            }
            ConfigMessage::Ack { version } => self.record_ack(from, version),
            ConfigMessage::PullRecords { pull, next_offset } => {
                self.respond_to_record_pull(now, from, pull, next_offset)
            }
            ConfigMessage::PullSnapshotPart { pull, id, index } => {
                self.respond_to_part_pull(now, from, pull, id, index)
            }
            ConfigMessage::Records { pull, from: first, records, digest } => {
                self.apply_records(now, first, &records);
                self.finish_pull(now, from, pull, &digest);
            }
            ConfigMessage::Part { pull, part, digest } => {
                self.add_snapshot_part(&part);
                self.finish_pull(now, from, pull, &digest);
            }
            ConfigMessage::Report(report) => self.reports.store(report, now),
            ConfigMessage::PullReports => self.send_reports(now, from),
            ConfigMessage::Reports(aged) => {
                aged.into_iter().for_each(|aged| self.reports.store(aged.report, time_before(now, aged.age_ms)));
            }
        }
        self.on_state_change(now);
        self.pull_if_behind(now);
        std::mem::take(&mut self.effects)
    }

    /// Processes a peer's digest that arrived by gossip.
    pub fn on_digest(&mut self, now: TimeUs, peer: VmId, digest: &ConfigDigest) -> Vec<ConfigEffect> {
        self.process_digest(now, peer, digest);
        self.on_state_change(now);
        self.pull_if_behind(now);
        std::mem::take(&mut self.effects)
    }

    fn process_digest(&mut self, now: TimeUs, peer: VmId, digest: &ConfigDigest) {
        let applied = self.replica.applied_offset();
        if digest.ready {
            self.readiness.record_peer(now, peer, digest.next_offset);
        }
        if digest.ready {
            self.record_ack(peer, digest.version);
        }
        if digest.next_offset > applied {
            self.puller.add_candidate(peer);
        } else if digest.next_offset == applied && digest.hash != self.replica.hash() {
            self.divergences += 1;
        }
    }

    fn record_ack(&mut self, peer: VmId, version: Version) {
        if self.members.is_in_local_zone(peer) {
            self.reports.record_ack(peer, version);
        }
    }

    /// Completes a pull and takes over the peer's contact times. The ages in the response count back from the
    /// time at which the pull was sent, so a delayed response can't make an old view look current, as a delayed
    /// unsolicited digest could.
    fn finish_pull(&mut self, now: TimeUs, from: VmId, pull: PullId, digest: &ConfigDigest) {
        let sent_at = self.puller.complete_pull(pull);
        self.process_digest(now, from, digest);
        let Some(sent_at) = sent_at else { return };
        let has_caught_up = self.replica.applied_offset() >= digest.next_offset;
        if let Some(age_ms) = digest.log_age_ms.filter(|_| has_caught_up) {
            self.contacts.record_log_end(time_before(sent_at, age_ms));
        }
        if let Some(age_ms) = digest.other_zone_age_ms.filter(|_| self.members.is_in_local_zone(from)) {
            self.contacts.record_other_zone(time_before(sent_at, age_ms));
        }
    }

    fn apply_urgent_changes(&mut self, now: TimeUs, urgent: &[UrgentChange]) {
        let local_version = self.replica.version();
        let mut has_new_change = false;
        for change in urgent {
            has_new_change |= self.urgent.record_received(now, local_version, change);
        }
        if has_new_change {
            self.activate_config();
            self.push_digest(now);
        }
    }

    fn respond_to_record_pull(&mut self, now: TimeUs, to: VmId, pull: PullId, next_offset: LogOffset) {
        if next_offset > self.replica.applied_offset() {
            self.puller.add_candidate(to);
        }
        let digest = self.digest(now);
        if next_offset >= digest.next_offset {
            self.send(to, ConfigMessage::Records { pull, from: next_offset, records: Vec::new(), digest });
        } else if let Some(records) = self.record_buffer.records_from(next_offset) {
            self.send(to, ConfigMessage::Records { pull, from: next_offset, records, digest });
        } else if let Some(part) = self.snapshot_server.first_part(now, &self.replica) {
            self.send(to, ConfigMessage::Part { pull, part, digest });
        }
    }

    fn respond_to_part_pull(&mut self, now: TimeUs, to: VmId, pull: PullId, id: SnapshotId, index: u32) {
        let digest = self.digest(now);
        if let Some(part) = self.snapshot_server.part_or_first(now, &self.replica, id, index) {
            self.send(to, ConfigMessage::Part { pull, part, digest });
        }
    }

    fn add_snapshot_part(&mut self, part: &SnapshotPart) {
        if part.next_offset <= self.replica.applied_offset() {
            return;
        }
        let Some(snapshot) = self.puller.add_snapshot_part(part) else { return };
        if self.replica.install_snapshot(snapshot) {
            self.record_buffer.reset_to(self.replica.applied_offset());
        }
    }

    fn send_reports(&mut self, now: TimeUs, to: VmId) {
        if self.members.is_tailer() {
            self.update_local_report(now);
        }
        let reports = self.reports.unexpired(now);
        self.send(to, ConfigMessage::Reports(reports));
    }
}
