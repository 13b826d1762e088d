//! The configuration state machine of one node.

use std::sync::Arc;

use fulmartrestle_core::{LogOffset, TimeUs, Version, VmId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::confirmations::Confirmations;
use super::contacts::Contacts;
use super::log_reader::{LogReader, ReaderRole};
use super::member::Members;
use super::puller::Puller;
use super::readiness::{Readiness, ReadinessInput};
use super::record_buffer::RecordBuffer;
use super::reports::Reports;
use super::snapshot_server::SnapshotServer;
use super::snapshot_writer::SnapshotWriter;
use super::timing::PUSH_FANOUT;
use super::urgent::UrgentChanges;
use super::{
    AppendResult, ConfigDigest, ConfigEffect, ConfigMember, ConfigMessage, ConfigStatus, Isolation, LogRequestId,
    ReadResult,
};
use crate::fleet::FleetConfig;
use crate::plan::Plan;
use crate::replica::{ApplyOutcome, CertificationResult, LogRecord, Replica};

/// Settings of a [`ConfigNode`].
#[derive(Clone, Debug)]
pub struct ConfigNodeSettings {
    /// This node and its zone.
    pub local_member: ConfigMember,
    /// How long the platform log retains records, in milliseconds.
    pub log_retention_ms: i64,
    /// Seed of the node's random number generator.
    pub seed: u64,
}

/// The last acknowledgement that the node sent to its zone's tailers.
#[derive(Clone, Debug)]
pub(super) struct LastAck {
    pub(super) sent_at: TimeUs,
    pub(super) version: Version,
    pub(super) tailers: Vec<VmId>,
}

/// A pure state machine that reads, propagates and confirms configuration. Its methods take log results,
/// messages and the time, and return the effects that the node must perform.
#[derive(Clone, Debug)]
pub struct ConfigNode {
    pub(super) settings: ConfigNodeSettings,
    pub(super) replica: Replica,
    pub(super) members: Members,
    pub(super) contacts: Contacts,
    pub(super) readiness: Readiness,
    pub(super) puller: Puller,
    pub(super) record_buffer: RecordBuffer,
    pub(super) snapshot_server: SnapshotServer,
    pub(super) reports: Reports,
    pub(super) urgent: UrgentChanges,
    pub(super) divergences: u64,
    pub(super) effects: Vec<ConfigEffect>,
    pub(super) reader: LogReader,
    pub(super) confirmations: Confirmations,
    pub(super) snapshot_writer: SnapshotWriter,
    pub(super) rng: ChaCha8Rng,
    pub(super) last_request_id: LogRequestId,
    active_config: Option<Arc<FleetConfig>>,
    has_ticked: bool,
    pub(super) was_tailer: bool,
    pub(super) next_pull_at: TimeUs,
    pub(super) last_ack: Option<LastAck>,
    pub(super) next_report_at: TimeUs,
}

impl ConfigNode {
    /// Creates a node without any configuration.
    pub fn new(settings: ConfigNodeSettings, now: TimeUs) -> Self {
        Self {
            replica: Replica::default(),
            members: Members::new(settings.local_member.clone()),
            contacts: Contacts::new(now),
            readiness: Readiness::new(now),
            puller: Puller::default(),
            record_buffer: RecordBuffer::default(),
            snapshot_server: SnapshotServer::default(),
            reports: Reports::default(),
            urgent: UrgentChanges::default(),
            divergences: 0,
            effects: Vec::new(),
            reader: LogReader::new(now),
            confirmations: Confirmations::default(),
            snapshot_writer: SnapshotWriter::default(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            last_request_id: LogRequestId(0),
            active_config: None,
            has_ticked: false,
            was_tailer: false,
            next_pull_at: now,
            last_ack: None,
            next_report_at: now,
            settings,
        }
    }

    /// Replaces the current members. This costs one hash per member, so it should run at most once a second.
    pub fn set_members(&mut self, all: &[ConfigMember]) {
        self.members.set_members(all);
        self.reports.retain_members(self.members.local_zone());
    }

    /// Performs all due periodic work. Must be called about every 100 ms; `now_unix_ms` is stored in
    /// snapshots.
    pub fn tick(&mut self, now: TimeUs, now_unix_ms: i64) -> Vec<ConfigEffect> {
        if !self.has_ticked {
            self.has_ticked = true;
            if !self.members.is_tailer() {
                self.reader.delay_first_read(now, self.members.count(), &mut self.rng);
            }
        }
        self.update_tailer_role();
        self.urgent.expire(now, self.replica.version());
        self.snapshot_server.drop_if_idle(now);
        self.read_if_due(now);
        self.pull_periodically(now);
        self.pull_if_behind(now);
        self.ack_if_due(now);
        self.report_if_due(now);
        self.write_snapshot_if_due(now, now_unix_ms);
        self.on_state_change(now);
        std::mem::take(&mut self.effects)
    }

    /// Processes the result of a [`ConfigEffect::ReadLog`].
    pub fn on_read_result(&mut self, now: TimeUs, request_id: LogRequestId, result: ReadResult) -> Vec<ConfigEffect> {
        let read_started_at = self.reader.complete_read(request_id);
        match result {
            ReadResult::Records { from, records, end } => {
                self.apply_records(now, from, &records);
                self.on_records_read(now, read_started_at, end);
            }
            ReadResult::Trimmed { first } => {
                let previous_offset = self.replica.next_offset();
                self.replica.set_first_retained(first);
                if self.replica.next_offset() > previous_offset {
                    self.reader.request_read();
                }
            }
            ReadResult::Unavailable => {
                let role = self.reader_role(now);
                self.reader.schedule_after_failure(now, role, &mut self.rng);
            }
        }
        self.read_if_due(now);
        self.on_state_change(now);
        std::mem::take(&mut self.effects)
    }

    /// Confirms a plan by appending it to the log. A [`ConfigEffect::ConfirmCompleted`] follows when its outcome
    /// is known or the confirmation times out.
    pub fn confirm(&mut self, now: TimeUs, plan: &Plan) -> Vec<ConfigEffect> {
        let request_id = self.next_request_id();
        let effect = self.confirmations.start_confirm(now, plan, request_id);
        self.effects.extend(effect);
        self.on_state_change(now);
        std::mem::take(&mut self.effects)
    }

    /// Processes the result of a [`ConfigEffect::Append`].
    pub fn on_append_result(
        &mut self,
        now: TimeUs,
        request_id: LogRequestId,
        result: AppendResult,
    ) -> Vec<ConfigEffect> {
        let completed = self.confirmations.on_append_result(now, request_id, result);
        self.effects.extend(completed);
        let next_request_id = self.next_request_id();
        let next_part = self.snapshot_writer.on_append_result(now, request_id, result, next_request_id);
        self.effects.extend(next_part);
        if !self.confirmations.is_empty() {
            self.reader.request_read();
        }
        self.read_if_due(now);
        self.on_state_change(now);
        std::mem::take(&mut self.effects)
    }

    /// Returns the active configuration, or `None` while the node must not serve.
    pub fn config(&self) -> Option<&Arc<FleetConfig>> {
        self.active_config.as_ref()
    }

    /// Returns the replica, which plans and the history are read from.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns whether the node may serve.
    pub fn is_ready(&self) -> bool {
        self.readiness.is_ready()
    }

    /// Returns what the node's zone has lost contact with.
    pub fn isolation(&self, now: TimeUs) -> Isolation {
        self.contacts.isolation(now)
    }

    /// Returns the digest that is sent to peers.
    pub fn digest(&self, now: TimeUs) -> ConfigDigest {
        ConfigDigest {
            version: self.replica.version(),
            next_offset: self.replica.applied_offset(),
            hash: self.replica.hash(),
            ready: self.readiness.is_ready(),
            log_age_ms: self.contacts.log_age_ms(now),
            other_zone_age_ms: self.contacts.other_zone_age_ms(now),
        }
    }

    /// Requests from the zone's tailers the reports that [`ConfigNode::status`] returns.
    pub fn request_status(&mut self) -> Vec<ConfigEffect> {
        let tailers = self.members.tailer_peers();
        tailers.into_iter().map(|to| ConfigEffect::Send { to, message: ConfigMessage::PullReports }).collect()
    }

    /// Returns the node's own state and the zone reports it has received.
    pub fn status(&mut self, now: TimeUs) -> ConfigStatus {
        if self.members.is_tailer() {
            self.update_local_report(now);
        }
        let zones = self.reports.unexpired(now);
        let has_no_report = |zone: &&super::member::ZoneMembers| zones.iter().all(|aged| aged.report.zone != zone.zone);
        let missing_zones = self.members.zones().iter().filter(has_no_report).map(|zone| zone.zone.clone()).collect();
        ConfigStatus {
            version: self.replica.version(),
            next_offset: self.replica.applied_offset(),
            hash: self.replica.hash(),
            ready: self.readiness.is_ready(),
            isolation: self.isolation(now),
            log_age_ms: self.contacts.log_age_ms(now),
            divergences: self.divergences,
            zones,
            missing_zones,
        }
    }

    pub(super) fn send(&mut self, to: VmId, message: ConfigMessage) {
        self.effects.push(ConfigEffect::Send { to, message });
    }

    /// Applies consecutive records and buffers them for peers. A starting node without state can start from
    /// the log's very first record.
    pub(super) fn apply_records(&mut self, now: TimeUs, from: LogOffset, records: &[Vec<u8>]) {
        if from == LogOffset(0) {
            self.replica.set_first_retained(from);
        }
        for (offset, bytes) in (from.0..).map(LogOffset).zip(records) {
            let record = LogRecord::decode(bytes);
            match self.replica.apply_record(offset, &record) {
                ApplyOutcome::Applied(result) => {
                    self.record_buffer.push(offset, bytes, &record);
                    self.record_urgent_commit(now, &record, result);
                }
                ApplyOutcome::AlreadyApplied | ApplyOutcome::Buffered => {}
                ApplyOutcome::Gap => break,
            }
        }
    }

    fn record_urgent_commit(&mut self, now: TimeUs, record: &LogRecord, result: Option<CertificationResult>) {
        if let (LogRecord::Confirm(plan), Some(CertificationResult::Committed { version })) = (record, result) {
            self.urgent.record_commit(now, version, plan);
        }
    }

    fn on_records_read(&mut self, now: TimeUs, read_started_at: Option<TimeUs>, end: LogOffset) {
        if self.replica.next_offset() < end {
            self.reader.request_read();
            return;
        }
        let role = self.reader_role(now);
        self.reader.schedule_after_log_end(now, role, &mut self.rng);
        let Some(read_started_at) = read_started_at.filter(|_| self.replica.applied_offset() == end) else { return };
        self.contacts.record_log_end(read_started_at);
        let last_request_id = &mut self.last_request_id;
        let appends = self.confirmations.on_log_end_read(now, read_started_at, || {
            last_request_id.0 += 1;
            *last_request_id
        });
        self.effects.extend(appends);
    }

    /// Completes confirmations, updates readiness, and activates and announces a new version, after any change
    /// of state.
    pub(super) fn on_state_change(&mut self, now: TimeUs) {
        let completed = self.confirmations.complete_decided(now, &self.replica);
        self.effects.extend(completed);
        self.puller.discard_obsolete_snapshot(self.replica.applied_offset());
        let input = ReadinessInput {
            now,
            has_state: self.replica.config().is_some(),
            applied_offset: self.replica.applied_offset(),
            log_end_seen_at: self.contacts.log_end_seen_at(),
            log_failed: self.reader.has_failed(),
            peer_count: self.members.count() - 1,
        };
        let is_newly_ready = self.readiness.update(input);
        let active_version = self.active_config.as_ref().map(|config| config.version());
        if self.readiness.is_ready() && (is_newly_ready || active_version != Some(self.replica.version())) {
            self.activate_config();
            self.push_digest(now);
        }
    }

    /// Activates the replica's configuration without the rights that have been withdrawn since.
    pub(super) fn activate_config(&mut self) {
        if !self.readiness.is_ready() {
            return;
        }
        self.urgent.drop_applied(self.replica.version());
        let Some(config) = self.replica.config() else { return };
        let config = self.urgent.overlay(config).map_or_else(|| Arc::clone(config), Arc::new);
        self.active_config = Some(Arc::clone(&config));
        self.effects.push(ConfigEffect::NewConfig(config));
    }

    /// Sends the digest to a few random members of the zone and, if this node is a tailer, to one tailer of
    /// each other zone.
    pub(super) fn push_digest(&mut self, now: TimeUs) {
        let (digest, urgent) = (self.digest(now), self.urgent.changes_to_forward());
        let mut receivers = self.members.random_zone_peers(&mut self.rng, PUSH_FANOUT);
        if self.members.is_tailer() {
            receivers.extend(self.members.other_zones().filter_map(|zone| zone.tailers.first().copied()));
        }
        for to in receivers {
            self.send(to, ConfigMessage::Digest { digest, urgent: urgent.clone() });
        }
    }

    /// Starts a pull if a peer has records that this node lacks.
    pub(super) fn pull_if_behind(&mut self, now: TimeUs) {
        let next_offset = self.replica.applied_offset();
        if let Some((to, message)) = self.puller.start_pull(now, next_offset) {
            self.send(to, message);
        }
    }

    /// Builds and stores the report on this node's own zone.
    pub(super) fn update_local_report(&mut self, now: TimeUs) -> super::ZoneReport {
        self.reports.record_ack(self.settings.local_member.vm, self.replica.version());
        let (log_age_ms, isolation) = (self.contacts.log_age_ms(now), self.isolation(now));
        let zone = self.members.local_zone();
        let report = self.reports.build_local_report(zone, self.settings.local_member.vm, log_age_ms, isolation);
        self.reports.store(report.clone(), now);
        report
    }

    pub(super) fn next_request_id(&mut self) -> LogRequestId {
        self.last_request_id.0 += 1;
        self.last_request_id
    }

    fn reader_role(&self, now: TimeUs) -> ReaderRole {
        ReaderRole {
            is_tailing: self.members.is_tailer() || !self.confirmations.is_empty(),
            log_age_ms: self.contacts.log_age_ms(now),
            member_count: self.members.count(),
        }
    }

    fn read_if_due(&mut self, now: TimeUs) {
        let (role, request_id) = (self.reader_role(now), self.next_request_id());
        if self.reader.start_if_due(now, role, request_id) {
            self.effects.push(ConfigEffect::ReadLog { request_id, from: self.replica.next_offset() });
        }
    }
}
