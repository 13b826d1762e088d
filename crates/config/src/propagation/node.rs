//! One node's part in the spread of configuration.

use std::sync::Arc;

use fulmartrestle_core::{LogOffset, TimeUs, Version, VmId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::confirmations::Confirmations;
use super::contacts::Contacts;
use super::log_reader::{LogReader, ReaderRole};
use super::member::Members;
use super::puller::Puller;
use super::readiness::{Readiness, StartFacts};
use super::record_buffer::RecordBuffer;
use super::reports::Reports;
use super::snapshot_server::SnapshotServer;
use super::snapshot_writer::SnapshotWriter;
use super::timing::PUSH_FANOUT;
use super::urgent::Urgent;
use super::{
    AppendResult, ConfigDigest, ConfigEffect, ConfigMember, ConfigMessage, ConfigStatus, Isolation, LogRequestId,
    ReadResult,
};
use crate::fleet::FleetConfig;
use crate::plan::Plan;
use crate::replica::{Applied, CertificationResult, LogRecord, Replica};

/// What a node needs to know to take part.
#[derive(Clone, Debug)]
pub struct ConfigNodeSettings {
    /// This run of this node, and its zone.
    pub local_member: ConfigMember,
    /// How long the platform's log keeps records, in milliseconds.
    pub log_retention_ms: i64,
    /// Seed of the node's random choices.
    pub seed: u64,
}

/// The last acknowledgement that the node sent.
#[derive(Clone, Debug)]
pub(super) struct LastAck {
    pub(super) at: TimeUs,
    pub(super) version: Version,
    pub(super) tailers: Vec<VmId>,
}

/// A pure state machine: it takes answers, messages and the time, and returns what to do.
#[derive(Clone, Debug)]
pub struct ConfigNode {
    pub(super) settings: ConfigNodeSettings,
    pub(super) replica: Replica,
    pub(super) members: Members,
    pub(super) contacts: Contacts,
    pub(super) readiness: Readiness,
    pub(super) puller: Puller,
    pub(super) records: RecordBuffer,
    pub(super) server: SnapshotServer,
    pub(super) reports: Reports,
    pub(super) urgent: Urgent,
    pub(super) divergences: u64,
    pub(super) effects: Vec<ConfigEffect>,
    pub(super) reader: LogReader,
    pub(super) confirmations: Confirmations,
    pub(super) snapshot_writer: SnapshotWriter,
    pub(super) rng: ChaCha8Rng,
    pub(super) last_ticket: LogRequestId,
    served: Option<Arc<FleetConfig>>,
    is_started: bool,
    pub(super) was_tailer: bool,
    pub(super) next_pull_at: TimeUs,
    pub(super) last_ack: Option<LastAck>,
    pub(super) next_report_at: TimeUs,
}

impl ConfigNode {
    /// Starts a node that knows nothing.
    pub fn new(settings: ConfigNodeSettings, now: TimeUs) -> Self {
        Self {
            replica: Replica::default(),
            members: Members::new(settings.local_member.clone()),
            contacts: Contacts::new(now),
            readiness: Readiness::new(now),
            puller: Puller::default(),
            records: RecordBuffer::default(),
            server: SnapshotServer::default(),
            reports: Reports::default(),
            urgent: Urgent::default(),
            divergences: 0,
            effects: Vec::new(),
            reader: LogReader::new(now),
            confirmations: Confirmations::default(),
            snapshot_writer: SnapshotWriter::default(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            last_ticket: LogRequestId(0),
            served: None,
            is_started: false,
            was_tailer: false,
            next_pull_at: now,
            last_ack: None,
            next_report_at: now,
            settings,
        }
    }

    /// Takes the present members. It costs a hash per member: call it at most once a second.
    pub fn set_members(&mut self, all: &[ConfigMember]) {
        self.members.set(all);
        self.reports.keep_members(self.members.own_zone());
    }

    /// Does what is due. Call it every 100 ms or so; `now_unix_ms` goes into snapshots.
    pub fn tick(&mut self, now: TimeUs, now_unix_ms: i64) -> Vec<ConfigEffect> {
        if !self.is_started {
            self.is_started = true;
            if !self.members.is_tailer() {
                self.reader.delay_start(now, self.members.count(), &mut self.rng);
            }
        }
        self.note_role();
        self.urgent.tick(now, self.replica.version());
        self.server.tick(now);
        self.read_if_due(now);
        self.pull_periodically(now);
        self.pull_if_behind(now);
        self.ack_if_due(now);
        self.report_if_due(now);
        self.write_snapshot_if_due(now, now_unix_ms);
        self.after_change(now);
        std::mem::take(&mut self.effects)
    }

    /// Takes the answer to a read.
    pub fn on_read_result(&mut self, now: TimeUs, request_id: LogRequestId, result: ReadResult) -> Vec<ConfigEffect> {
        let asked_at = self.reader.finish(request_id);
        match result {
            ReadResult::Records { from, records, end } => {
                self.take_records(now, from, &records);
                self.after_read(now, asked_at, end);
            }
            ReadResult::Trimmed { first } => {
                let before = self.replica.next_offset();
                self.replica.on_first_retained(first);
                if self.replica.next_offset() > before {
                    self.reader.want();
                }
            }
            ReadResult::Unavailable => {
                let role = self.reader_role(now);
                self.reader.pause_after_failure(now, role, &mut self.rng);
            }
        }
        self.read_if_due(now);
        self.after_change(now);
        std::mem::take(&mut self.effects)
    }

    /// Confirms a plan: appends it and settles it by reading the log.
    pub fn confirm(&mut self, now: TimeUs, plan: &Plan) -> Vec<ConfigEffect> {
        let request_id = self.next_ticket();
        let effect = self.confirmations.start(now, plan, request_id);
        self.effects.extend(effect);
        self.after_change(now);
        std::mem::take(&mut self.effects)
    }

    /// Takes the answer to an append.
    pub fn on_append_result(
        &mut self,
        now: TimeUs,
        request_id: LogRequestId,
        result: AppendResult,
    ) -> Vec<ConfigEffect> {
        let settled = self.confirmations.on_append_result(now, request_id, result);
        self.effects.extend(settled);
        let next_ticket = self.next_ticket();
        let next_part = self.snapshot_writer.on_append_result(now, request_id, result, next_ticket);
        self.effects.extend(next_part);
        if !self.confirmations.is_empty() {
            self.reader.want();
        }
        self.read_if_due(now);
        self.after_change(now);
        std::mem::take(&mut self.effects)
    }

    /// Returns the configuration in force, or `None` while the node must not serve.
    pub fn config(&self) -> Option<&Arc<FleetConfig>> {
        self.served.as_ref()
    }

    /// Returns the replica, for planning and the history.
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

    /// Returns the node's place in the log.
    pub fn digest(&self, now: TimeUs) -> ConfigDigest {
        ConfigDigest {
            version: self.replica.version(),
            next_offset: self.replica.applied_offset(),
            hash: self.replica.hash(),
            ready: self.readiness.is_ready(),
            log_age_ms: self.contacts.log_age_ms(now),
            outside_age_ms: self.contacts.outside_age_ms(now),
        }
    }

    /// Asks the zone's tailers for the reports that [`ConfigNode::status`] shows.
    pub fn request_status(&mut self) -> Vec<ConfigEffect> {
        let tailers = self.members.own_tailers();
        tailers.into_iter().map(|to| ConfigEffect::Send { to, message: ConfigMessage::PullReports }).collect()
    }

    /// Returns what the node can say about the fleet.
    pub fn status(&mut self, now: TimeUs) -> ConfigStatus {
        if self.members.is_tailer() {
            self.make_own_report(now);
        }
        let zones = self.reports.fresh(now);
        let is_missing = |zone: &&super::member::ZoneMembers| zones.iter().all(|aged| aged.report.zone != zone.zone);
        let missing_zones = self.members.zones().iter().filter(is_missing).map(|zone| zone.zone.clone()).collect();
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

    /// Applies records in a row and keeps them for peers. Records from the log's very first on give
    /// a starting node its state.
    pub(super) fn take_records(&mut self, now: TimeUs, from: LogOffset, records: &[Vec<u8>]) {
        if from == LogOffset(0) {
            self.replica.on_first_retained(from);
        }
        for (offset, bytes) in (from.0..).map(LogOffset).zip(records) {
            let record = LogRecord::decode(bytes);
            match self.replica.apply_record(offset, &record) {
                Applied::Now(result) => {
                    self.records.push(offset, bytes, &record);
                    self.note_result(now, &record, result);
                }
                Applied::Before | Applied::HeldBack => {}
                Applied::Gap => break,
            }
        }
    }

    fn note_result(&mut self, now: TimeUs, record: &LogRecord, result: Option<CertificationResult>) {
        if let (LogRecord::Confirm(plan), Some(CertificationResult::Committed { version })) = (record, result) {
            self.urgent.note_commit(now, version, plan);
        }
    }

    fn after_read(&mut self, now: TimeUs, asked_at: Option<TimeUs>, end: LogOffset) {
        if self.replica.next_offset() < end {
            self.reader.want();
            return;
        }
        let role = self.reader_role(now);
        self.reader.pause_at_end(now, role, &mut self.rng);
        let Some(asked_at) = asked_at.filter(|_| self.replica.applied_offset() == end) else { return };
        self.contacts.note_log_end(asked_at);
        let last_ticket = &mut self.last_ticket;
        let appends = self.confirmations.on_log_end(now, asked_at, || {
            last_ticket.0 += 1;
            *last_ticket
        });
        self.effects.extend(appends);
    }

    /// Settles, serves and passes on what has changed.
    pub(super) fn after_change(&mut self, now: TimeUs) {
        let settled = self.confirmations.settle(now, &self.replica);
        self.effects.extend(settled);
        self.puller.overtake(self.replica.applied_offset());
        let facts = StartFacts {
            now,
            has_state: self.replica.config().is_some(),
            applied: self.replica.applied_offset(),
            log_at: self.contacts.log_at(),
            log_failed: self.reader.has_failed(),
            peer_count: self.members.count() - 1,
        };
        let is_newly_ready = self.readiness.check(facts);
        let served_version = self.served.as_ref().map(|config| config.version());
        if self.readiness.is_ready() && (is_newly_ready || served_version != Some(self.replica.version())) {
            self.serve();
            self.push_digest(now);
        }
    }

    /// Puts the replica's configuration in force, without rights known to be withdrawn since.
    pub(super) fn serve(&mut self) {
        if !self.readiness.is_ready() {
            return;
        }
        self.urgent.drop_read(self.replica.version());
        let Some(config) = self.replica.config() else { return };
        let config = self.urgent.over(config).map_or_else(|| Arc::clone(config), Arc::new);
        self.served = Some(Arc::clone(&config));
        self.effects.push(ConfigEffect::NewConfig(config));
    }

    /// Tells a few random members of a change at once, and a tailer one member of each other zone.
    pub(super) fn push_digest(&mut self, now: TimeUs) {
        let (digest, urgent) = (self.digest(now), self.urgent.to_pass_on());
        let mut receivers = self.members.random_zone_peers(&mut self.rng, PUSH_FANOUT);
        if self.members.is_tailer() {
            receivers.extend(self.members.other_zones().filter_map(|zone| zone.tailers.first().copied()));
        }
        for to in receivers {
            self.send(to, ConfigMessage::Digest { digest, urgent: urgent.clone() });
        }
    }

    pub(super) fn pull_if_behind(&mut self, now: TimeUs) {
        let next_offset = self.replica.applied_offset();
        if let Some((to, message)) = self.puller.start(now, next_offset) {
            self.send(to, message);
        }
    }

    pub(super) fn make_own_report(&mut self, now: TimeUs) -> super::ZoneReport {
        self.reports.note_ack(self.settings.local_member.vm, self.replica.version());
        let (log_age_ms, isolation) = (self.contacts.log_age_ms(now), self.isolation(now));
        let zone = self.members.own_zone();
        let report = self.reports.own_report(zone, self.settings.local_member.vm, log_age_ms, isolation);
        self.reports.take(report.clone(), now);
        report
    }

    pub(super) fn next_ticket(&mut self) -> LogRequestId {
        self.last_ticket.0 += 1;
        self.last_ticket
    }

    fn reader_role(&self, now: TimeUs) -> ReaderRole {
        ReaderRole {
            is_tailer: self.members.is_tailer() || !self.confirmations.is_empty(),
            log_age_ms: self.contacts.log_age_ms(now),
            member_count: self.members.count(),
        }
    }

    fn read_if_due(&mut self, now: TimeUs) {
        let (role, request_id) = (self.reader_role(now), self.next_ticket());
        if self.reader.start(now, role, request_id) {
            self.effects.push(ConfigEffect::ReadLog { request_id, from: self.replica.next_offset() });
        }
    }
}
