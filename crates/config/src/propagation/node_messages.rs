//! What a node does with messages of other nodes.

use fulmartrestle_core::{LogOffset, TimeUs, Version, VmId};

use super::contacts::before;
use super::{ConfigDigest, ConfigEffect, ConfigMessage, ConfigNode, PullId, UrgentChange};
use crate::replica::{SnapshotId, SnapshotPart};

impl ConfigNode {
    /// Takes a message of another node.
    pub fn on_message(&mut self, now: TimeUs, from: VmId, message: ConfigMessage) -> Vec<ConfigEffect> {
        if self.members.is_in_other_zone(from) {
            self.contacts.note_outside(now);
        }
        match message {
            ConfigMessage::Digest { digest, urgent } => {
                self.note_digest(now, from, &digest);
                self.note_urgent(now, &urgent);
            }
            ConfigMessage::Ack { version } => self.note_ack(from, version),
            ConfigMessage::PullSince { pull, next_offset } => self.answer_pull(now, from, pull, next_offset),
            ConfigMessage::PullPart { pull, id, index } => self.answer_part(now, from, pull, id, index),
            ConfigMessage::Records { pull, from: first, records, digest } => {
                self.take_records(now, first, &records);
                self.finish_pull(now, from, pull, &digest);
            }
            ConfigMessage::Part { pull, part, digest } => {
                self.take_part(&part);
                self.finish_pull(now, from, pull, &digest);
            }
            ConfigMessage::Report(report) => self.reports.take(report, now),
            ConfigMessage::PullReports => self.answer_reports(now, from),
            ConfigMessage::Reports(aged) => {
                aged.into_iter().for_each(|aged| self.reports.take(aged.report, before(now, aged.age_ms)));
            }
        }
        self.after_change(now);
        self.pull_if_behind(now);
        std::mem::take(&mut self.effects)
    }

    /// Takes a peer's digest that came by gossip.
    pub fn on_digest(&mut self, now: TimeUs, peer: VmId, digest: &ConfigDigest) -> Vec<ConfigEffect> {
        self.note_digest(now, peer, digest);
        self.after_change(now);
        self.pull_if_behind(now);
        std::mem::take(&mut self.effects)
    }

    fn note_digest(&mut self, now: TimeUs, peer: VmId, digest: &ConfigDigest) {
        let applied = self.replica.applied_offset();
        if digest.ready {
            self.readiness.note_peer(now, peer, digest.next_offset);
        }
        if digest.ready {
            self.note_ack(peer, digest.version);
        }
        if digest.next_offset > applied {
            self.puller.note_ahead(peer);
        } else if digest.next_offset == applied && digest.hash != self.replica.hash() {
            self.divergences += 1;
        }
    }

    fn note_ack(&mut self, peer: VmId, version: Version) {
        if self.members.is_in_own_zone(peer) {
            self.reports.note_ack(peer, version);
        }
    }

    /// A pull's answer shows how fresh the peer's view was when it was asked, at the latest; unlike
    /// a digest that comes unasked, it can't make an old view look new by being late.
    fn finish_pull(&mut self, now: TimeUs, from: VmId, pull: PullId, digest: &ConfigDigest) {
        let asked_at = self.puller.finish(pull);
        self.note_digest(now, from, digest);
        let Some(asked_at) = asked_at else { return };
        let has_caught_up = self.replica.applied_offset() >= digest.next_offset;
        if let Some(age_ms) = digest.log_age_ms.filter(|_| has_caught_up) {
            self.contacts.note_log_end(before(asked_at, age_ms));
        }
        if let Some(age_ms) = digest.outside_age_ms.filter(|_| self.members.is_in_own_zone(from)) {
            self.contacts.note_outside(before(asked_at, age_ms));
        }
    }

    fn note_urgent(&mut self, now: TimeUs, urgent: &[UrgentChange]) {
        let own = self.replica.version();
        let mut is_news = false;
        for change in urgent {
            is_news |= self.urgent.note_heard(now, own, change);
        }
        if is_news {
            self.serve();
            self.push_digest(now);
        }
    }

    fn answer_pull(&mut self, now: TimeUs, to: VmId, pull: PullId, wanted: LogOffset) {
        if wanted > self.replica.applied_offset() {
            self.puller.note_ahead(to);
        }
        let digest = self.digest(now);
        if wanted >= digest.next_offset {
            self.send(to, ConfigMessage::Records { pull, from: wanted, records: Vec::new(), digest });
        } else if let Some(records) = self.records.since(wanted) {
            self.send(to, ConfigMessage::Records { pull, from: wanted, records, digest });
        } else if let Some(part) = self.server.first_part(now, &self.replica) {
            self.send(to, ConfigMessage::Part { pull, part, digest });
        }
    }

    fn answer_part(&mut self, now: TimeUs, to: VmId, pull: PullId, id: SnapshotId, index: u32) {
        let digest = self.digest(now);
        if let Some(part) = self.server.part(now, &self.replica, id, index) {
            self.send(to, ConfigMessage::Part { pull, part, digest });
        }
    }

    fn take_part(&mut self, part: &SnapshotPart) {
        if part.next_offset <= self.replica.applied_offset() {
            return;
        }
        let Some(snapshot) = self.puller.add_part(part) else { return };
        if self.replica.adopt(snapshot) {
            self.records.clear_to(self.replica.applied_offset());
        }
    }

    fn answer_reports(&mut self, now: TimeUs, to: VmId) {
        if self.members.is_tailer() {
            self.make_own_report(now);
        }
        let reports = self.reports.fresh(now);
        self.send(to, ConfigMessage::Reports(reports));
    }
}
