//! The claim protocol of one node, as entry node for its own calls and as batcher for its zone.

use std::collections::BTreeMap;

use fulmartrestle_core::{AvailabilityZone, TimeUs, VmId};

use crate::{
    AppendResult, BatcherResponse, ClaimDecision, ClaimEffect, ClaimId, ClaimKey, ClaimMember, ClaimMessage,
    ClaimSettings, ClaimStream, LogRequestId, NotRunReason, ReadResult, STREAM_COUNT, batcher::Batcher,
    batcher::ClaimRequest, directory::Directory, entry_claim::ClaimPhase, entry_claim::EntryClaim,
};

const US_PER_S: u64 = 1_000_000;

/// Number of low bits of a log request id that count the requests of one batcher. The high bits
/// identify the batcher.
const REQUEST_COUNTER_BITS: u32 = 40;

/// The claim protocol of one node. It performs no I/O: the caller carries out the effects returned by
/// [`ClaimNode::take_effects`] and passes back their results, each with the current time.
#[derive(Clone, Debug)]
pub struct ClaimNode {
    own_vm: VmId,
    zone: AvailabilityZone,
    settings: ClaimSettings,
    directory: Directory,
    batchers: BTreeMap<ClaimStream, Batcher>,
    entry_claims: BTreeMap<ClaimId, EntryClaim>,
    last_claim_number: u64,
    opened_batcher_count: u64,
    effects: Vec<ClaimEffect>,
}

impl ClaimNode {
    /// Returns a node without any state. `own_vm` must be a new random identity at every start of the
    /// process.
    pub fn new(own_vm: VmId, zone: AvailabilityZone, settings: ClaimSettings) -> Self {
        Self {
            own_vm,
            zone,
            settings,
            directory: Directory::default(),
            batchers: BTreeMap::new(),
            entry_claims: BTreeMap::new(),
            last_claim_number: 0,
            opened_batcher_count: 0,
            effects: Vec::new(),
        }
    }

    /// Replaces this node's view of the live members. The node itself is always included.
    pub fn set_members(&mut self, members: &[ClaimMember], now: TimeUs) {
        let mut view = members.to_vec();
        if !view.iter().any(|member| member.vm == self.own_vm) {
            view.push(ClaimMember { vm: self.own_vm, zone: self.zone.clone() });
        }
        self.directory.update(&view);
        self.advance_batchers(now);
    }

    /// Sets the number of configured zones, among which the append budget is split.
    pub fn set_zone_count(&mut self, zone_count: u64) {
        self.settings.zone_count = zone_count.max(1);
    }

    /// Starts to claim a key of age `key_age_ms`. The returned id identifies the claim in its
    /// [`ClaimEffect::Decided`], which may already be among the effects. The call may run only after
    /// the claim has won.
    pub fn begin_claim(&mut self, key: ClaimKey, key_age_ms: u64, now: TimeUs) -> ClaimId {
        self.last_claim_number += 1;
        let claim = ClaimId { holder: self.own_vm, number: self.last_claim_number };
        self.entry_claims.insert(claim, EntryClaim::new(key, key_age_ms, now));
        if key_age_ms > self.settings.window_ms {
            self.abandon_claim(claim, NotRunReason::OutsideWindow, now);
            return claim;
        }
        self.send_next_request(claim, now);
        self.advance_batchers(now);
        claim
    }

    /// Abandons a claim whose call certainly has not run and will not run: a claim that has won but
    /// whose call was refused before it reached a target, or one whose caller disconnected while it
    /// was undecided. Once the release is on the log, another claim of the key can win. No decision is
    /// reported afterwards.
    pub fn release_claim(&mut self, claim: ClaimId, now: TimeUs) {
        let Some(entry_claim) = self.entry_claims.get_mut(&claim) else { return };
        if matches!(entry_claim.phase, ClaimPhase::Requesting | ClaimPhase::Won) {
            entry_claim.abandon(now);
            self.send_next_request(claim, now);
            self.advance_batchers(now);
        }
    }

    /// Handles the result of an append.
    pub fn on_append_result(&mut self, request_id: LogRequestId, result: AppendResult, now: TimeUs) {
        for batcher in self.batchers.values_mut() {
            batcher.on_append_result(request_id, result, now);
        }
        self.advance_batchers(now);
    }

    /// Handles the result of a read.
    pub fn on_read_result(&mut self, request_id: LogRequestId, result: &ReadResult, now: TimeUs) {
        for batcher in self.batchers.values_mut() {
            batcher.on_read_result(request_id, result, &self.settings, now);
        }
        self.advance_batchers(now);
    }

    /// Handles a message from another node.
    pub fn on_message(&mut self, from: VmId, message: ClaimMessage, now: TimeUs) {
        self.handle_message(from, message, now);
        self.advance_batchers(now);
    }

    /// Performs periodic work: repeats requests and releases, abandons claims that timed out, and
    /// reads new records. Must be called every 10 ms.
    pub fn tick(&mut self, now: TimeUs) {
        self.tick_entry_claims(now);
        self.open_batchers();
        self.advance_batchers(now);
        self.batchers.retain(|stream, batcher| {
            !batcher.is_idle() || self.directory.is_batcher(self.own_vm, &self.zone, *stream)
        });
    }

    /// Removes and returns the effects to carry out, in order.
    pub fn take_effects(&mut self) -> Vec<ClaimEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the number of keys whose state this node holds as a batcher.
    pub fn key_count(&self) -> usize {
        self.batchers.values().map(Batcher::key_count).sum()
    }

    /// Returns the number of this node's own claims that are not removed yet.
    pub fn claim_count(&self) -> usize {
        self.entry_claims.len()
    }

    /// Returns the number of abandoned claims whose release is not yet confirmed to be written.
    pub fn pending_release_count(&self) -> usize {
        self.entry_claims.values().filter(|entry_claim| entry_claim.phase == ClaimPhase::Releasing).count()
    }

    fn handle_message(&mut self, from: VmId, message: ClaimMessage, now: TimeUs) {
        match message {
            ClaimMessage::ClaimRequest { key, claim, key_age_ms } => {
                self.batcher(&key).on_claim(from, ClaimRequest { key, claim, key_age_ms }, now);
            }
            ClaimMessage::ReleaseRequest { key, claim } => self.batcher(&key).on_release(from, key, claim),
            ClaimMessage::ClaimResponse { claim, response } => self.on_response(from, claim, response, now),
            ClaimMessage::ReleaseDone { claim } => {
                if let Some(entry_claim) = self.entry_claims.get_mut(&claim) {
                    entry_claim.mark_released(now);
                }
            }
            ClaimMessage::HolderCheck { claim, .. } => self.release_abandoned_claim(claim, now),
        }
    }

    fn batcher(&mut self, key: &ClaimKey) -> &mut Batcher {
        self.open_batcher(ClaimStream::for_key(key))
    }

    fn open_batcher(&mut self, stream: ClaimStream) -> &mut Batcher {
        self.batchers.entry(stream).or_insert_with(|| {
            self.opened_batcher_count += 1;
            Batcher::new(stream, LogRequestId(self.opened_batcher_count << REQUEST_COUNTER_BITS))
        })
    }

    /// Handles a batcher's response. The decision on a claim that is not in [`ClaimPhase::Requesting`] has
    /// already been made and is final: a late [`BatcherResponse::Won`] only leads to a release. The timeout
    /// is checked first, because a response that was delayed by a pause of this node must not count:
    /// batchers keep no permanent record of what they may have written.
    fn on_response(&mut self, from: VmId, claim: ClaimId, response: BatcherResponse, now: TimeUs) {
        let batcher_count = self.directory.zone_count();
        if self.entry_claims.get(&claim).is_some_and(|entry_claim| entry_claim.is_timed_out(&self.settings, now)) {
            self.abandon_claim(claim, NotRunReason::Timeout, now);
        }
        let Some(entry_claim) = self.entry_claims.get_mut(&claim) else { return };
        if entry_claim.phase != ClaimPhase::Requesting {
            if response == BatcherResponse::Won {
                self.release_abandoned_claim(claim, now);
            }
            return;
        }
        match response {
            BatcherResponse::Won => {
                entry_claim.mark_won(now);
                self.push_decision(claim, ClaimDecision::Won);
            }
            BatcherResponse::Held { winner } => {
                entry_claim.on_held(from);
                let key = entry_claim.key;
                entry_claim.abandon(now);
                self.push_decision(claim, ClaimDecision::Held { winner });
                self.send(winner.holder, ClaimMessage::HolderCheck { key, claim: winner }, now);
                self.send_next_request(claim, now);
            }
            BatcherResponse::Refused { reason, may_be_written } => {
                if entry_claim.on_refused(from, may_be_written, batcher_count, now)
                    && reason == NotRunReason::LogUnavailable
                {
                    self.send_next_request(claim, now);
                } else {
                    self.abandon_claim(claim, reason, now);
                }
            }
        }
    }

    fn abandon_claim(&mut self, claim: ClaimId, reason: NotRunReason, now: TimeUs) {
        let Some(entry_claim) = self.entry_claims.get_mut(&claim) else { return };
        entry_claim.abandon(now);
        self.push_decision(claim, ClaimDecision::NotRun(reason));
        self.send_next_request(claim, now);
    }

    fn release_abandoned_claim(&mut self, claim: ClaimId, now: TimeUs) {
        if let Some(entry_claim) = self.entry_claims.get_mut(&claim) {
            entry_claim.restart_release(now);
            self.send_next_request(claim, now);
        }
    }

    fn push_decision(&mut self, claim: ClaimId, decision: ClaimDecision) {
        self.effects.push(ClaimEffect::Decided { claim, decision });
    }

    /// Sends the next request of a claim if it is due. The batcher in this node's zone is asked first,
    /// then those in other zones.
    fn send_next_request(&mut self, claim: ClaimId, now: TimeUs) {
        let Some(entry_claim) = self.entry_claims.get_mut(&claim).filter(|entry| entry.is_due(now)) else { return };
        let batchers = self.directory.batchers(ClaimStream::for_key(&entry_claim.key), &self.zone);
        let to = if batchers.is_empty() { self.own_vm } else { batchers[entry_claim.send_count % batchers.len()] };
        let key = entry_claim.key;
        let message = if entry_claim.phase == ClaimPhase::Releasing {
            entry_claim.record_release_sent(&self.settings, now);
            ClaimMessage::ReleaseRequest { key, claim }
        } else {
            entry_claim.record_request_sent(to, &self.settings, now);
            ClaimMessage::ClaimRequest { key, claim, key_age_ms: entry_claim.key_age_ms(now) }
        };
        self.send(to, message, now);
    }

    fn tick_entry_claims(&mut self, now: TimeUs) {
        let settings = &self.settings;
        self.entry_claims.retain(|_, entry_claim| !entry_claim.is_removable(settings, now));
        let timed_out: Vec<ClaimId> = self
            .entry_claims
            .iter()
            .filter(|(_, entry_claim)| entry_claim.is_timed_out(settings, now))
            .map(|(id, _)| *id)
            .collect();
        for claim in timed_out {
            self.abandon_claim(claim, NotRunReason::Timeout, now);
        }
        let due: Vec<ClaimId> =
            self.entry_claims.iter().filter(|(_, entry_claim)| entry_claim.is_due(now)).map(|(id, _)| *id).collect();
        for claim in due {
            self.send_next_request(claim, now);
        }
    }

    /// Creates a batcher for each stream that this node is selected for, so that it reads the stream
    /// before the first request arrives.
    fn open_batchers(&mut self) {
        for stream in ClaimStream::all() {
            if self.directory.is_batcher(self.own_vm, &self.zone, stream) {
                self.open_batcher(stream);
            }
        }
    }

    /// Advances all batchers and delivers the messages that they send to this node.
    fn advance_batchers(&mut self, now: TimeUs) {
        let interval_us = self.append_interval_us();
        loop {
            let mut local_messages = Vec::new();
            for batcher in self.batchers.values_mut() {
                batcher.advance(interval_us, &self.settings, now);
                for effect in batcher.take_effects() {
                    match effect {
                        ClaimEffect::Send { to, message } if to == self.own_vm => local_messages.push(message),
                        other => self.effects.push(other),
                    }
                }
            }
            if local_messages.is_empty() {
                return;
            }
            for message in local_messages {
                self.handle_message(self.own_vm, message, now);
            }
        }
    }

    /// Returns the interval between appends of one batcher, in microseconds, that keeps the batchers
    /// of all zones within the fleet's append budget.
    fn append_interval_us(&self) -> u64 {
        let zone_count = self.settings.zone_count.max(self.directory.zone_count() as u64);
        let batcher_count = u64::from(STREAM_COUNT) * zone_count;
        US_PER_S * batcher_count / self.settings.appends_per_s.max(1)
    }

    fn send(&mut self, to: VmId, message: ClaimMessage, now: TimeUs) {
        if to == self.own_vm {
            self.handle_message(to, message, now);
        } else {
            self.effects.push(ClaimEffect::Send { to, message });
        }
    }
}
