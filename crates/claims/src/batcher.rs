//! The batcher of one stream, which appends and reads records for the entry nodes of a zone.
//!
//! Every decision of a batcher follows from the records of the stream, so all batchers decide alike.
//! Two batchers in one zone, or one that resumes after a long pause, cause extra appends but no
//! conflicting decisions.

use std::collections::BTreeMap;

use fulmartrestle_core::{LogOffset, TimeUs, VmId};

use crate::{
    AppendResult, BatcherResponse, ClaimEffect, ClaimId, ClaimKey, ClaimMessage, ClaimRecord, ClaimSettings,
    ClaimStream, LogRequestId, NotRunReason, ReadPage, ReadResult, stream_reader::StreamReader,
};

/// Delay before the next read when a written record was not in the last page, in milliseconds.
const REREAD_DELAY_MS: u64 = 20;

/// Time for which a refusal is kept, in milliseconds. It exceeds the time that a request may be in
/// transit.
const REFUSAL_RETENTION_MS: u64 = 30_000;

/// A refusal that has been sent.
#[derive(Clone, Copy, Debug)]
struct SentRefusal {
    response: BatcherResponse,
    refused_at: TimeUs,
}

/// State of the record of a pending claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordPhase {
    /// The record waits for an append.
    Queued,
    /// The record is part of the append in flight.
    InAppend,
    /// The record is on the log and has not been read yet.
    Written,
}

/// A claim that the records of the stream have not decided yet.
#[derive(Clone, Debug)]
struct PendingClaim {
    key: ClaimKey,
    requester: VmId,
    key_age_ms: u64,
    received_at: TimeUs,
    phase: RecordPhase,
    /// Whether the record was part of an append whose response was lost.
    append_response_lost: bool,
}

impl PendingClaim {
    fn may_be_written(&self) -> bool {
        self.append_response_lost || self.phase != RecordPhase::Queued
    }
}

/// A release that is not confirmed to be on the log.
#[derive(Clone, Debug)]
struct PendingRelease {
    key: ClaimKey,
    requester: VmId,
}

#[derive(Clone, Debug)]
struct InFlightAppend {
    request_id: LogRequestId,
    sent_at: TimeUs,
    releases: Vec<ClaimId>,
}

#[derive(Clone, Copy, Debug)]
struct InFlightRead {
    request_id: LogRequestId,
    sent_at: TimeUs,
}

/// Contents of a received [`ClaimMessage::ClaimRequest`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClaimRequest {
    pub(crate) key: ClaimKey,
    pub(crate) claim: ClaimId,
    pub(crate) key_age_ms: u64,
}

/// The batcher of one stream on one node.
#[derive(Clone, Debug)]
pub(crate) struct Batcher {
    stream: ClaimStream,
    reader: StreamReader,
    pending_claims: BTreeMap<ClaimId, PendingClaim>,
    pending_releases: BTreeMap<ClaimId, PendingRelease>,
    /// Recent refusals by claim. A repeated or delayed request gets the same refusal again, because a
    /// record written now would never be released: the entry node has no reason to do so.
    recent_refusals: BTreeMap<ClaimId, SentRefusal>,
    in_flight_append: Option<InFlightAppend>,
    next_append_at: TimeUs,
    in_flight_read: Option<InFlightRead>,
    next_read_at: TimeUs,
    read_requested: bool,
    log_unavailable: bool,
    next_request_id: LogRequestId,
    effects: Vec<ClaimEffect>,
}

impl Batcher {
    /// Returns a batcher that has read nothing. `first_request_id` starts a range of ids that no other
    /// batcher of this node has used, so that a late page for an earlier batcher is not mistaken for
    /// the start of the stream.
    pub(crate) fn new(stream: ClaimStream, first_request_id: LogRequestId) -> Self {
        Self {
            stream,
            reader: StreamReader::new(),
            pending_claims: BTreeMap::new(),
            pending_releases: BTreeMap::new(),
            recent_refusals: BTreeMap::new(),
            in_flight_append: None,
            next_append_at: TimeUs(0),
            in_flight_read: None,
            next_read_at: TimeUs(0),
            read_requested: true,
            log_unavailable: false,
            next_request_id: first_request_id,
            effects: Vec::new(),
        }
    }

    pub(crate) fn take_effects(&mut self) -> Vec<ClaimEffect> {
        std::mem::take(&mut self.effects)
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.pending_claims.is_empty() && self.pending_releases.is_empty() && self.recent_refusals.is_empty()
    }

    pub(crate) fn key_count(&self) -> usize {
        self.reader.key_count()
    }

    pub(crate) fn on_claim(&mut self, requester: VmId, request: ClaimRequest, now: TimeUs) {
        if let Some(response) = self.reader.response_for(&request.key, request.claim) {
            self.respond(requester, request.claim, response);
            return;
        }
        if let Some(pending) = self.pending_claims.get_mut(&request.claim) {
            pending.requester = requester;
            return;
        }
        if let Some(refusal) = self.recent_refusals.get(&request.claim) {
            let response = refusal.response;
            self.respond(requester, request.claim, response);
            return;
        }
        let pending = PendingClaim {
            key: request.key,
            requester,
            key_age_ms: request.key_age_ms,
            received_at: now,
            phase: RecordPhase::Queued,
            append_response_lost: false,
        };
        if self.log_unavailable {
            self.refuse(request.claim, &pending, NotRunReason::LogUnavailable, now);
            return;
        }
        self.read_requested |= self.reader.holder(&request.key).is_some();
        self.pending_claims.insert(request.claim, pending);
    }

    pub(crate) fn on_release(&mut self, requester: VmId, key: ClaimKey, claim: ClaimId) {
        self.pending_claims.remove(&claim);
        self.pending_releases.insert(claim, PendingRelease { key, requester });
    }

    pub(crate) fn on_append_result(&mut self, request_id: LogRequestId, result: AppendResult, now: TimeUs) {
        let Some(append) = self.in_flight_append.take_if(|append| append.request_id == request_id) else { return };
        match result {
            AppendResult::Written(_) => self.on_append_written(append),
            AppendResult::Unavailable => self.on_append_failed(now),
            AppendResult::ResponseLost => self.on_append_response_lost(),
        }
    }

    pub(crate) fn on_read_result(
        &mut self,
        request_id: LogRequestId,
        result: &ReadResult,
        settings: &ClaimSettings,
        now: TimeUs,
    ) {
        let Some(read) = self.in_flight_read.take_if(|read| read.request_id == request_id) else { return };
        match result {
            ReadResult::Page(page) => self.on_page(page, read.sent_at, settings, now),
            ReadResult::Unavailable => self.on_log_unavailable(now),
        }
    }

    /// Checks timeouts, drops expired claims and keys, and starts the appends and reads that are due.
    /// `append_interval_us` is the minimum interval between appends.
    pub(crate) fn advance(&mut self, append_interval_us: u64, settings: &ClaimSettings, now: TimeUs) {
        self.check_timeouts(settings, now);
        self.drop_expired(settings, now);
        self.reader.remove_expired_keys(settings, now);
        self.start_append(append_interval_us, settings, now);
        self.start_read(settings, now);
    }

    fn on_append_written(&mut self, append: InFlightAppend) {
        for pending in self.pending_claims.values_mut().filter(|pending| pending.phase == RecordPhase::InAppend) {
            pending.phase = RecordPhase::Written;
        }
        for claim in append.releases {
            if let Some(release) = self.pending_releases.remove(&claim) {
                self.send(release.requester, ClaimMessage::ReleaseDone { claim });
            }
        }
        self.read_requested = true;
    }

    /// Refuses the claims of a batch that was certainly not written, and the queued ones.
    fn on_append_failed(&mut self, now: TimeUs) {
        for pending in self.pending_claims.values_mut().filter(|pending| pending.phase == RecordPhase::InAppend) {
            pending.phase = RecordPhase::Queued;
        }
        self.log_unavailable = true;
        self.refuse_where(NotRunReason::LogUnavailable, now, |pending| pending.phase == RecordPhase::Queued);
    }

    /// Queues the records of the append again. A repeated record has no effect, whereas there is no
    /// bound on the time after which the lost append may appear on the stream.
    fn on_append_response_lost(&mut self) {
        for pending in self.pending_claims.values_mut().filter(|pending| pending.phase == RecordPhase::InAppend) {
            pending.append_response_lost = true;
            pending.phase = RecordPhase::Queued;
        }
        self.read_requested = true;
    }

    /// Refuses all pending claims at once, so that callers do not wait for a log that cannot be
    /// reached. Releases remain pending until they are written.
    fn on_log_unavailable(&mut self, now: TimeUs) {
        self.log_unavailable = true;
        self.refuse_where(NotRunReason::LogUnavailable, now, |_| true);
    }

    fn refuse_where(&mut self, reason: NotRunReason, now: TimeUs, matches: impl Fn(&PendingClaim) -> bool) {
        let refused: Vec<(ClaimId, PendingClaim)> =
            self.pending_claims.extract_if(.., |_, pending| matches(pending)).collect();
        for (claim, pending) in refused {
            self.refuse(claim, &pending, reason, now);
        }
    }

    fn refuse(&mut self, claim: ClaimId, pending: &PendingClaim, reason: NotRunReason, now: TimeUs) {
        let response = BatcherResponse::Refused { reason, may_be_written: pending.may_be_written() };
        self.recent_refusals.insert(claim, SentRefusal { response, refused_at: now });
        self.respond(pending.requester, claim, response);
    }

    fn on_page(&mut self, page: &ReadPage, read_sent_at: TimeUs, settings: &ClaimSettings, now: TimeUs) {
        self.log_unavailable = false;
        self.reader.apply(page, read_sent_at, settings, now);
        self.read_requested |= !self.reader.is_caught_up();
        self.respond_to_decided_claims(read_sent_at);
        self.refuse_claims_outside_coverage(settings, now);
        let has_unread_records = self.pending_claims.values().any(|pending| pending.phase == RecordPhase::Written);
        if has_unread_records {
            self.next_read_at = self.next_read_at.min(now.plus_ms(REREAD_DELAY_MS));
        }
    }

    /// Responds to the claims that the stream has decided. A claim that was never appended gets
    /// [`BatcherResponse::Held`] only after a read that was sent after the claim arrived, because an older
    /// page may not show that the holder has released the key.
    fn respond_to_decided_claims(&mut self, read_sent_at: TimeUs) {
        let caught_up = self.reader.is_caught_up();
        let mut decided = Vec::new();
        for (claim, pending) in &self.pending_claims {
            let holder_is_current = caught_up && !pending.may_be_written() && pending.received_at <= read_sent_at;
            let holding_claim = self.reader.holder(&pending.key).filter(|_| holder_is_current);
            let response = self.reader.response_for(&pending.key, *claim);
            if let Some(response) = response.or(holding_claim.map(|winner| BatcherResponse::Held { winner })) {
                decided.push((*claim, pending.requester, response));
            }
        }
        for (claim, requester, response) in decided {
            self.pending_claims.remove(&claim);
            self.respond(requester, claim, response);
        }
    }

    fn refuse_claims_outside_coverage(&mut self, settings: &ClaimSettings, now: TimeUs) {
        if !self.reader.is_caught_up() {
            return;
        }
        let covered = |pending: &PendingClaim| {
            let age_ms = pending.key_age_ms.saturating_add(now.ms_since(pending.received_at));
            self.reader.covers(age_ms, settings, now)
        };
        let uncovered: Vec<ClaimId> =
            self.pending_claims.iter().filter(|(_, pending)| !covered(pending)).map(|(claim, _)| *claim).collect();
        for claim in uncovered {
            if let Some(pending) = self.pending_claims.remove(&claim) {
                self.refuse(claim, &pending, NotRunReason::OutsideWindow, now);
            }
        }
    }

    fn check_timeouts(&mut self, settings: &ClaimSettings, now: TimeUs) {
        let is_timed_out = |sent_at: TimeUs| now.ms_since(sent_at) >= settings.log_timeout_ms;
        if self.in_flight_append.take_if(|append| is_timed_out(append.sent_at)).is_some() {
            self.on_append_response_lost();
            self.on_log_unavailable(now);
        }
        if self.in_flight_read.take_if(|read| is_timed_out(read.sent_at)).is_some() {
            self.on_log_unavailable(now);
        }
    }

    /// Drops old claims and refusals. An entry node abandons a claim after the claim timeout, and writing one
    /// that is twice as old would only require a release.
    fn drop_expired(&mut self, settings: &ClaimSettings, now: TimeUs) {
        let retention_ms = 2 * settings.claim_timeout_ms;
        self.pending_claims.retain(|_, pending| now.ms_since(pending.received_at) < retention_ms);
        self.recent_refusals.retain(|_, refusal| now.ms_since(refusal.refused_at) < REFUSAL_RETENTION_MS);
    }

    /// Appends the queued records. While the log is unavailable only reads are attempted, because a
    /// failed read leaves no doubt about what was written.
    fn start_append(&mut self, append_interval_us: u64, settings: &ClaimSettings, now: TimeUs) {
        if self.in_flight_append.is_some() || now < self.next_append_at || self.log_unavailable {
            return;
        }
        self.refuse_claims_outside_coverage(settings, now);
        let releases: Vec<ClaimId> = self.pending_releases.keys().take(settings.max_batch_records).copied().collect();
        let mut records: Vec<ClaimRecord> = releases.iter().filter_map(|claim| self.release_record(*claim)).collect();
        if self.reader.is_caught_up() {
            let remaining_records = settings.max_batch_records - records.len();
            let reader = &self.reader;
            let appendable = |pending: &PendingClaim| {
                let may_win = pending.append_response_lost || reader.holder(&pending.key).is_none();
                pending.phase == RecordPhase::Queued && may_win
            };
            let claims = self.pending_claims.iter_mut().filter(|(_, pending)| appendable(pending));
            for (claim, pending) in claims.take(remaining_records) {
                pending.phase = RecordPhase::InAppend;
                records.push(ClaimRecord::Claim { key: pending.key, claim: *claim });
            }
        }
        if records.is_empty() {
            return;
        }
        let request_id = self.allocate_request_id();
        self.in_flight_append = Some(InFlightAppend { request_id, sent_at: now, releases });
        self.next_append_at = now.plus_us(append_interval_us);
        self.effects.push(ClaimEffect::Append { stream: self.stream, records, request_id });
    }

    fn release_record(&self, claim: ClaimId) -> Option<ClaimRecord> {
        self.pending_releases.get(&claim).map(|release| ClaimRecord::Release { key: release.key, claim })
    }

    fn start_read(&mut self, settings: &ClaimSettings, now: TimeUs) {
        let due = now >= self.next_read_at || (self.read_requested && !self.log_unavailable);
        if self.in_flight_read.is_some() || !due {
            return;
        }
        let request_id = self.allocate_request_id();
        self.in_flight_read = Some(InFlightRead { request_id, sent_at: now });
        self.next_read_at = now.plus_ms(settings.idle_read_interval_ms);
        self.read_requested = false;
        let first_offset: LogOffset = self.reader.next_offset;
        self.effects.push(ClaimEffect::Read { stream: self.stream, first_offset, request_id });
    }

    fn allocate_request_id(&mut self) -> LogRequestId {
        let request_id = self.next_request_id;
        self.next_request_id.0 += 1;
        request_id
    }

    fn respond(&mut self, to: VmId, claim: ClaimId, response: BatcherResponse) {
        self.send(to, ClaimMessage::ClaimResponse { claim, response });
    }

    fn send(&mut self, to: VmId, message: ClaimMessage) {
        self.effects.push(ClaimEffect::Send { to, message });
    }
}
