//! Appends and reads one stream for the entries of a zone.
//!
//! A batcher decides nothing that another could decide differently: it repeats what the stream's
//! records say. Two batchers of one zone, or one that wakes after a long pause, cost appends only.

use std::collections::BTreeMap;

use fulmartrestle_core::{LogOffset, TimeUs, VmId};

use crate::{
    AppendResult, BatcherReply, ClaimEffect, ClaimId, ClaimKey, ClaimMessage, ClaimRecord, ClaimSettings, ClaimStream,
    LogRequestId, NotRunReason, ReadPage, ReadResult, stream_reader::StreamReader,
};

/// After what time a record that was written but not found is looked for again, in milliseconds.
const REREAD_MS: u64 = 20;

/// How long a refusal is remembered, in milliseconds: longer than a request may be on its way.
const REFUSAL_MEMORY_MS: u64 = 30_000;

/// A refusal that was sent.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    reply: BatcherReply,
    refused_at: TimeUs,
}

/// Where a pending claim's record is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordPhase {
    /// It waits for an append.
    Queued,
    /// It is part of the append that runs.
    InAppend,
    /// It is on the log and waits to be read.
    Written,
}

/// A claim that waits for the stream to decide it.
#[derive(Clone, Debug)]
struct PendingClaim {
    key: ClaimKey,
    from: VmId,
    key_age_ms: u64,
    received_at: TimeUs,
    phase: RecordPhase,
    /// Whether an append whose answer was lost held the record.
    lost_before: bool,
}

impl PendingClaim {
    fn may_be_written(&self) -> bool {
        self.lost_before || self.phase != RecordPhase::Queued
    }
}

/// A release that is not known to be on the log.
#[derive(Clone, Debug)]
struct PendingRelease {
    key: ClaimKey,
    from: VmId,
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

/// A claim as it arrives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NewClaim {
    pub(crate) key: ClaimKey,
    pub(crate) claim: ClaimId,
    pub(crate) key_age_ms: u64,
}

/// One stream's batcher on one node.
#[derive(Clone, Debug)]
pub(crate) struct Batcher {
    stream: ClaimStream,
    reader: StreamReader,
    claims: BTreeMap<ClaimId, PendingClaim>,
    releases: BTreeMap<ClaimId, PendingRelease>,
    /// Claims that were refused. A request that comes again, late or because the refusal was lost,
    /// gets the same refusal: writing the claim now would leave a record that its entry has no reason
    /// to release.
    refused: BTreeMap<ClaimId, Refusal>,
    append: Option<InFlightAppend>,
    next_append_at: TimeUs,
    read: Option<InFlightRead>,
    next_read_at: TimeUs,
    read_wanted: bool,
    log_down: bool,
    next_token: LogRequestId,
    effects: Vec<ClaimEffect>,
}

impl Batcher {
    /// Returns a batcher that has read nothing. `first_token` starts a range of tokens that no other
    /// batcher of this node has used: a late page of an earlier batcher must not pass for the start
    /// of the stream.
    pub(crate) fn new(stream: ClaimStream, first_token: LogRequestId) -> Self {
        Self {
            stream,
            reader: StreamReader::new(),
            claims: BTreeMap::new(),
            releases: BTreeMap::new(),
            refused: BTreeMap::new(),
            append: None,
            next_append_at: TimeUs(0),
            read: None,
            next_read_at: TimeUs(0),
            read_wanted: true,
            log_down: false,
            next_token: first_token,
            effects: Vec::new(),
        }
    }

    pub(crate) fn take_effects(&mut self) -> Vec<ClaimEffect> {
        std::mem::take(&mut self.effects)
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.claims.is_empty() && self.releases.is_empty() && self.refused.is_empty()
    }

    pub(crate) fn key_count(&self) -> usize {
        self.reader.key_count()
    }

    pub(crate) fn on_claim(&mut self, from: VmId, new: NewClaim, now: TimeUs) {
        if let Some(reply) = self.reader.reply_to(&new.key, new.claim) {
            self.reply(from, new.claim, reply);
            return;
        }
        if let Some(pending) = self.claims.get_mut(&new.claim) {
            pending.from = from;
            return;
        }
        if let Some(refusal) = self.refused.get(&new.claim) {
            let reply = refusal.reply;
            self.reply(from, new.claim, reply);
            return;
        }
        let pending = PendingClaim {
            key: new.key,
            from,
            key_age_ms: new.key_age_ms,
            received_at: now,
            phase: RecordPhase::Queued,
            lost_before: false,
        };
        if self.log_down {
            self.refuse(new.claim, &pending, NotRunReason::LogUnavailable, now);
            return;
        }
        self.read_wanted |= self.reader.holder(&new.key).is_some();
        self.claims.insert(new.claim, pending);
    }

    pub(crate) fn on_release(&mut self, from: VmId, key: ClaimKey, claim: ClaimId) {
        self.claims.remove(&claim);
        self.releases.insert(claim, PendingRelease { key, from });
    }

    pub(crate) fn on_append_result(&mut self, request_id: LogRequestId, result: AppendResult, now: TimeUs) {
        let Some(append) = self.append.take_if(|append| append.request_id == request_id) else { return };
        match result {
            AppendResult::Written(_) => self.on_written(append),
            AppendResult::Unavailable => self.on_not_written(now),
            AppendResult::ResponseLost => self.on_response_lost(),
        }
    }

    pub(crate) fn on_read_result(
        &mut self,
        request_id: LogRequestId,
        result: &ReadResult,
        settings: &ClaimSettings,
        now: TimeUs,
    ) {
        let Some(read) = self.read.take_if(|read| read.request_id == request_id) else { return };
        match result {
            ReadResult::Page(page) => self.on_page(page, read.sent_at, settings, now),
            ReadResult::Unavailable => self.on_log_down(now),
        }
    }

    /// Drops what nobody waits for, and issues the appends and reads that are due.
    pub(crate) fn advance(&mut self, append_pause_us: u64, settings: &ClaimSettings, now: TimeUs) {
        self.check_silence(settings, now);
        self.drop_stale(settings, now);
        self.reader.forget(settings, now);
        self.start_append(append_pause_us, settings, now);
        self.start_read(settings, now);
    }

    fn on_written(&mut self, append: InFlightAppend) {
        for pending in self.claims.values_mut().filter(|pending| pending.phase == RecordPhase::InAppend) {
            pending.phase = RecordPhase::Written;
        }
        for claim in append.releases {
            if let Some(release) = self.releases.remove(&claim) {
                self.send(release.from, ClaimMessage::ReleaseDone { claim });
            }
        }
        self.read_wanted = true;
    }

    /// Refuses the claims of a batch that was certainly not written, and those that would come next.
    fn on_not_written(&mut self, now: TimeUs) {
        for pending in self.claims.values_mut().filter(|pending| pending.phase == RecordPhase::InAppend) {
            pending.phase = RecordPhase::Queued;
        }
        self.log_down = true;
        self.refuse_where(NotRunReason::LogUnavailable, now, |pending| pending.phase == RecordPhase::Queued);
    }

    /// The records are written again: a repeated record changes nothing, while waiting for the lost
    /// append to show up on the stream has no end.
    fn on_response_lost(&mut self) {
        for pending in self.claims.values_mut().filter(|pending| pending.phase == RecordPhase::InAppend) {
            pending.lost_before = true;
            pending.phase = RecordPhase::Queued;
        }
        self.read_wanted = true;
    }

    /// Refuses all claims at once, so that callers needn't wait for a log that is out of reach.
    /// Releases stay until they are written.
    fn on_log_down(&mut self, now: TimeUs) {
        self.log_down = true;
        self.refuse_where(NotRunReason::LogUnavailable, now, |_| true);
    }

    fn refuse_where(&mut self, reason: NotRunReason, now: TimeUs, matches: impl Fn(&PendingClaim) -> bool) {
        let refused: Vec<(ClaimId, PendingClaim)> = self.claims.extract_if(.., |_, pending| matches(pending)).collect();
        for (claim, pending) in refused {
            self.refuse(claim, &pending, reason, now);
        }
    }

    fn refuse(&mut self, claim: ClaimId, pending: &PendingClaim, reason: NotRunReason, now: TimeUs) {
        let reply = BatcherReply::Refused { reason, may_be_written: pending.may_be_written() };
        self.refused.insert(claim, Refusal { reply, refused_at: now });
        self.reply(pending.from, claim, reply);
    }

    fn on_page(&mut self, page: &ReadPage, read_at: TimeUs, settings: &ClaimSettings, now: TimeUs) {
        self.log_down = false;
        self.reader.apply(page, read_at, settings, now);
        self.read_wanted |= !self.reader.is_caught_up();
        self.settle(read_at);
        self.refuse_uncovered(settings, now);
        let unread = self.claims.values().any(|pending| pending.phase == RecordPhase::Written);
        if unread {
            self.next_read_at = self.next_read_at.min(now.plus_ms(REREAD_MS));
        }
    }

    /// Answers the claims that the stream has decided. A claim that was never appended is answered
    /// by the key's holder only after a read that began later than the claim arrived: until then the
    /// holder may have released the key.
    fn settle(&mut self, read_at: TimeUs) {
        let caught_up = self.reader.is_caught_up();
        let mut decided = Vec::new();
        for (claim, pending) in &self.claims {
            let fresh = caught_up && !pending.may_be_written() && pending.received_at <= read_at;
            let held = self.reader.holder(&pending.key).filter(|_| fresh);
            let reply = self.reader.reply_to(&pending.key, *claim);
            if let Some(reply) = reply.or(held.map(|winner| BatcherReply::Held { winner })) {
                decided.push((*claim, pending.from, reply));
            }
        }
        for (claim, from, reply) in decided {
            self.claims.remove(&claim);
            self.reply(from, claim, reply);
        }
    }

    fn refuse_uncovered(&mut self, settings: &ClaimSettings, now: TimeUs) {
        if !self.reader.is_caught_up() {
            return;
        }
        let covered = |pending: &PendingClaim| {
            let age_ms = pending.key_age_ms.saturating_add(now.ms_since(pending.received_at));
            self.reader.covers(age_ms, settings, now)
        };
        let uncovered: Vec<ClaimId> =
            self.claims.iter().filter(|(_, pending)| !covered(pending)).map(|(claim, _)| *claim).collect();
        for claim in uncovered {
            if let Some(pending) = self.claims.remove(&claim) {
                self.refuse(claim, &pending, NotRunReason::OutsideWindow, now);
            }
        }
    }

    fn check_silence(&mut self, settings: &ClaimSettings, now: TimeUs) {
        let silent = |sent_at: TimeUs| now.ms_since(sent_at) >= settings.log_timeout_ms;
        if self.append.take_if(|append| silent(append.sent_at)).is_some() {
            self.on_response_lost();
            self.on_log_down(now);
        }
        if self.read.take_if(|read| silent(read.sent_at)).is_some() {
            self.on_log_down(now);
        }
    }

    /// Entries have given up on claims of this age; writing them would only cost releases.
    fn drop_stale(&mut self, settings: &ClaimSettings, now: TimeUs) {
        let kept_ms = 2 * settings.claim_timeout_ms;
        self.claims.retain(|_, pending| now.ms_since(pending.received_at) < kept_ms);
        self.refused.retain(|_, refusal| now.ms_since(refusal.refused_at) < REFUSAL_MEMORY_MS);
    }

    /// Appends what is queued. While the log is down only reads are tried, since a read that fails
    /// leaves nothing to settle.
    fn start_append(&mut self, append_pause_us: u64, settings: &ClaimSettings, now: TimeUs) {
        if self.append.is_some() || now < self.next_append_at || self.log_down {
            return;
        }
        self.refuse_uncovered(settings, now);
        let releases: Vec<ClaimId> = self.releases.keys().take(settings.max_batch).copied().collect();
        let mut records: Vec<ClaimRecord> = releases.iter().filter_map(|claim| self.release_record(*claim)).collect();
        if self.reader.is_caught_up() {
            let room = settings.max_batch - records.len();
            let reader = &self.reader;
            let appendable = |pending: &PendingClaim| {
                let free = pending.lost_before || reader.holder(&pending.key).is_none();
                pending.phase == RecordPhase::Queued && free
            };
            let claims = self.claims.iter_mut().filter(|(_, pending)| appendable(pending));
            for (claim, pending) in claims.take(room) {
                pending.phase = RecordPhase::InAppend;
                records.push(ClaimRecord::Claim { key: pending.key, claim: *claim });
            }
        }
        if records.is_empty() {
            return;
        }
        let request_id = self.take_token();
        self.append = Some(InFlightAppend { request_id, sent_at: now, releases });
        self.next_append_at = now.plus_us(append_pause_us);
        self.effects.push(ClaimEffect::Append { stream: self.stream, records, request_id });
    }

    fn release_record(&self, claim: ClaimId) -> Option<ClaimRecord> {
        self.releases.get(&claim).map(|release| ClaimRecord::Release { key: release.key, claim })
    }

    fn start_read(&mut self, settings: &ClaimSettings, now: TimeUs) {
        let due = now >= self.next_read_at || (self.read_wanted && !self.log_down);
        if self.read.is_some() || !due {
            return;
        }
        let request_id = self.take_token();
        self.read = Some(InFlightRead { request_id, sent_at: now });
        self.next_read_at = now.plus_ms(settings.idle_read_ms);
        self.read_wanted = false;
        let first_offset: LogOffset = self.reader.next;
        self.effects.push(ClaimEffect::Read { stream: self.stream, first_offset, request_id });
    }

    fn take_token(&mut self) -> LogRequestId {
        let request_id = self.next_token;
        self.next_token.0 += 1;
        request_id
    }

    fn reply(&mut self, to: VmId, claim: ClaimId, reply: BatcherReply) {
        self.send(to, ClaimMessage::ClaimReply { claim, reply });
    }

    fn send(&mut self, to: VmId, message: ClaimMessage) {
        self.effects.push(ClaimEffect::Send { to, message });
    }
}
