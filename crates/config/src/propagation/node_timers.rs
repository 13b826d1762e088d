//! Periodic work of a node.

use fulmartrestle_core::TimeUs;
use rand::RngExt;

use super::node::LastAck;
use super::timing::{
    ACK_INTERVAL_MS, MIN_ACK_INTERVAL_MS, OTHER_ZONE_PULL_RATIO, PULL_INTERVAL_MS, REPORT_INTERVAL_MS,
    START_PULL_INTERVAL_MS, TAILER_PULL_INTERVAL_MS,
};
use super::{ConfigMessage, ConfigNode};

impl ConfigNode {
    /// Tracks whether this node is a tailer. A node that stops being one drops its acknowledgements, so that every
    /// new tailer starts without any.
    pub(super) fn update_tailer_role(&mut self) {
        let is_tailer = self.members.is_tailer();
        if self.was_tailer && !is_tailer {
            self.reports.clear_acks();
        }
        self.was_tailer = is_tailer;
    }

    /// Pulls from a random peer at regular intervals, so that a node catches up when a digest was lost. Some
    /// pulls go to other zones.
    pub(super) fn pull_periodically(&mut self, now: TimeUs) {
        if now < self.next_pull_at {
            return;
        }
        let is_tailer = self.members.is_tailer();
        let interval_ms = match (self.is_ready(), is_tailer) {
            (false, _) => START_PULL_INTERVAL_MS,
            (true, true) => TAILER_PULL_INTERVAL_MS,
            (true, false) => PULL_INTERVAL_MS,
        };
        let jitter_ms = self.rng.random_range(0..=interval_ms / 4);
        self.next_pull_at = now.plus_ms(interval_ms - interval_ms / 8 + jitter_ms);
        let to_other_zone = self.rng.random_ratio(1, OTHER_ZONE_PULL_RATIO);
        let peer = match (self.is_ready(), is_tailer, to_other_zone) {
            (true, true, _) => self.members.random_other_zone_tailer(&mut self.rng),
            (_, _, true) => self.members.random_other_zone_peer(&mut self.rng),
            (false, _, false) => self.members.random_zone_peers(&mut self.rng, 1).pop(),
            (true, false, false) => None,
        };
        if let Some(peer) = peer.or_else(|| self.members.random_pull_source(&mut self.rng)) {
            self.puller.add_candidate(peer);
        }
    }

    /// Acknowledges the active version to the zone's tailers.
    pub(super) fn ack_if_due(&mut self, now: TimeUs) {
        let (version, tailers) = (self.replica.version(), self.members.tailer_peers());
        let is_due = self.last_ack.as_ref().is_none_or(|last| {
            let since_ms = now.ms_since(last.sent_at);
            let has_changed = last.version != version || last.tailers != tailers;
            since_ms >= ACK_INTERVAL_MS || (since_ms >= MIN_ACK_INTERVAL_MS && has_changed)
        });
        if !is_due || !self.is_ready() {
            return;
        }
        for to in &tailers {
            self.send(*to, ConfigMessage::Ack { version });
        }
        self.last_ack = Some(LastAck { sent_at: now, version, tailers });
    }

    /// Sends this zone's report to the tailers of all other zones, if this node is a tailer.
    pub(super) fn report_if_due(&mut self, now: TimeUs) {
        if now < self.next_report_at || !self.members.is_tailer() {
            return;
        }
        self.next_report_at = now.plus_ms(REPORT_INTERVAL_MS);
        let report = self.update_local_report(now);
        let receivers: Vec<_> = self.members.other_zones().flat_map(|zone| zone.tailers.clone()).collect();
        for to in receivers {
            self.send(to, ConfigMessage::Report(report.clone()));
        }
    }

    /// Starts writing a snapshot to the log if one is needed and this node is a tailer.
    pub(super) fn write_snapshot_if_due(&mut self, now: TimeUs, now_unix_ms: i64) {
        if !self.members.is_tailer() {
            return;
        }
        let request_id = self.next_request_id();
        let retention_ms = self.settings.log_retention_ms;
        let is_needed = self.is_ready() && self.replica.needs_snapshot(now_unix_ms, retention_ms);
        let rank = || self.members.snapshot_writer_rank();
        let effect = self.snapshot_writer.start_if_due(now, rank, is_needed, &self.replica, now_unix_ms, request_id);
        self.effects.extend(effect);
    }
}
