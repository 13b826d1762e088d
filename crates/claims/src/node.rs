//! One node's part in claims: entry for its own calls, batcher for those of its zone.

use std::collections::BTreeMap;

use fulmartrestle_core::{AvailabilityZone, TimeUs, VmId};

use crate::{
    AppendResult, BatcherReply, ClaimDecision, ClaimEffect, ClaimId, ClaimKey, ClaimMember, ClaimMessage,
    ClaimSettings, ClaimStream, LogRequestId, NotRunReason, ReadResult, STREAM_COUNT, batcher::Batcher,
    batcher::NewClaim, directory::Directory, entry::EntryClaim, entry::EntryPhase,
};

const US_PER_S: u64 = 1_000_000;

/// Bits of a log request_id that count the requests of one batcher.
const TOKEN_BITS: u32 = 40;

/// Claims of one node. It does no I/O: the caller carries out [`ClaimNode::take_effects`] and brings
/// back the results, each with the present time.
#[derive(Clone, Debug)]
pub struct ClaimNode {
    own: VmId,
    zone: AvailabilityZone,
    settings: ClaimSettings,
    directory: Directory,
    batchers: BTreeMap<ClaimStream, Batcher>,
    entries: BTreeMap<ClaimId, EntryClaim>,
    next_number: u64,
    opened_batchers: u64,
    effects: Vec<ClaimEffect>,
}

impl ClaimNode {
    /// Returns a node with empty memory. `own` must be drawn anew at every start.
    pub fn new(own: VmId, zone: AvailabilityZone, settings: ClaimSettings) -> Self {
        Self {
            own,
            zone,
            settings,
            directory: Directory::default(),
            batchers: BTreeMap::new(),
            entries: BTreeMap::new(),
            next_number: 0,
            opened_batchers: 0,
            effects: Vec::new(),
        }
    }

    /// Takes over the live members as this node sees them. The node itself always counts.
    pub fn set_members(&mut self, members: &[ClaimMember], now: TimeUs) {
        let mut view = members.to_vec();
        if !view.iter().any(|member| member.vm == self.own) {
            view.push(ClaimMember { vm: self.own, zone: self.zone.clone() });
        }
        self.directory.update(&view);
        self.advance_batchers(now);
    }

    /// Sets how many zones share the appends, as the fleet's configuration says.
    pub fn set_zone_count(&mut self, zone_count: u64) {
        self.settings.zone_count = zone_count.max(1);
    }

    /// Claims a key that its caller drew `key_age_ms` ago. The returned id names the claim in the
    /// verdict, which may be among the effects at once. Only a claim that has won may run its call.
    pub fn begin_claim(&mut self, key: ClaimKey, key_age_ms: u64, now: TimeUs) -> ClaimId {
        self.next_number += 1;
        let claim = ClaimId { holder: self.own, number: self.next_number };
        self.entries.insert(claim, EntryClaim::new(key, key_age_ms, now));
        if key_age_ms > self.settings.window_ms {
            self.give_up(claim, NotRunReason::OutsideWindow, now);
            return claim;
        }
        self.drive_entry(claim, now);
        self.advance_batchers(now);
        claim
    }

    /// Gives up a claim whose call certainly has not run and will not run: a claim that has won and
    /// whose call was refused before any target got it, or one whose caller went away while it
    /// waited. Once the release is on the log another claim of the key can win. No verdict follows.
    pub fn release_claim(&mut self, claim: ClaimId, now: TimeUs) {
        let Some(entry) = self.entries.get_mut(&claim) else { return };
        if matches!(entry.phase, EntryPhase::Asking | EntryPhase::Won) {
            entry.give_up(now);
            self.drive_entry(claim, now);
            self.advance_batchers(now);
        }
    }

    /// Takes in the result of an append.
    pub fn on_append_result(&mut self, request_id: LogRequestId, result: AppendResult, now: TimeUs) {
        for batcher in self.batchers.values_mut() {
            batcher.on_append_result(request_id, result, now);
        }
        self.advance_batchers(now);
    }

    /// Takes in the result of a read.
    pub fn on_read_result(&mut self, request_id: LogRequestId, result: &ReadResult, now: TimeUs) {
        for batcher in self.batchers.values_mut() {
            batcher.on_read_result(request_id, result, &self.settings, now);
        }
        self.advance_batchers(now);
    }

    /// Takes in a message from another node.
    pub fn on_message(&mut self, from: VmId, message: ClaimMessage, now: TimeUs) {
        self.handle(from, message, now);
        self.advance_batchers(now);
    }

    /// Does what time brings: repeats requests and releases, gives up late claims, reads on. Call it
    /// every 10 ms.
    pub fn tick(&mut self, now: TimeUs) {
        self.tick_entries(now);
        self.open_batchers();
        self.advance_batchers(now);
        self.batchers
            .retain(|stream, batcher| !batcher.is_idle() || self.directory.is_batcher(self.own, &self.zone, *stream));
    }

    /// Returns what is to be done, in order.
    pub fn take_effects(&mut self) -> Vec<ClaimEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns how many keys this node remembers as batcher.
    pub fn key_count(&self) -> usize {
        self.batchers.values().map(Batcher::key_count).sum()
    }

    /// Returns how many own claims this node remembers.
    pub fn claim_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns how many given-up claims wait for their release to be written.
    pub fn pending_release_count(&self) -> usize {
        self.entries.values().filter(|entry| entry.phase == EntryPhase::Releasing).count()
    }

    fn handle(&mut self, from: VmId, message: ClaimMessage, now: TimeUs) {
        match message {
            ClaimMessage::ClaimRequest { key, claim, key_age_ms } => {
                self.batcher(&key).on_claim(from, NewClaim { key, claim, key_age_ms }, now);
            }
            ClaimMessage::ReleaseRequest { key, claim } => self.batcher(&key).on_release(from, key, claim),
            ClaimMessage::ClaimReply { claim, reply } => self.on_reply(from, claim, reply, now),
            ClaimMessage::ReleaseDone { claim } => {
                if let Some(entry) = self.entries.get_mut(&claim) {
                    entry.close(now);
                }
            }
            ClaimMessage::HolderCheck { claim, .. } => self.release_given_up(claim, now),
        }
    }

    fn batcher(&mut self, key: &ClaimKey) -> &mut Batcher {
        self.open_batcher(ClaimStream::for_key(key))
    }

    fn open_batcher(&mut self, stream: ClaimStream) -> &mut Batcher {
        self.batchers.entry(stream).or_insert_with(|| {
            self.opened_batchers += 1;
            Batcher::new(stream, LogRequestId(self.opened_batchers << TOKEN_BITS))
        })
    }

    /// Takes in a batcher's reply. Any claim but an asking one has had its verdict, which stands. A
    /// reply that waited while this node was paused comes too late: batchers don't
    /// remember for ever what they may have written.
    fn on_reply(&mut self, from: VmId, claim: ClaimId, reply: BatcherReply, now: TimeUs) {
        let batchers = self.directory.zone_count();
        if self.entries.get(&claim).is_some_and(|entry| entry.is_timed_out(&self.settings, now)) {
            self.give_up(claim, NotRunReason::Timeout, now);
        }
        let Some(entry) = self.entries.get_mut(&claim) else { return };
        if entry.phase != EntryPhase::Asking {
            if reply == BatcherReply::Won {
                self.release_given_up(claim, now);
            }
            return;
        }
        match reply {
            BatcherReply::Won => {
                entry.win(now);
                self.push_decision(claim, ClaimDecision::Won);
            }
            BatcherReply::Held { winner } => {
                entry.on_held(from);
                let key = entry.key;
                entry.give_up(now);
                self.push_decision(claim, ClaimDecision::Held { winner });
                self.send(winner.holder, ClaimMessage::HolderCheck { key, claim: winner }, now);
                self.drive_entry(claim, now);
            }
            BatcherReply::Refused { reason, may_be_written } => {
                if entry.on_refused(from, may_be_written, batchers, now) && reason == NotRunReason::LogUnavailable {
                    self.drive_entry(claim, now);
                } else {
                    self.give_up(claim, reason, now);
                }
            }
        }
    }

    fn give_up(&mut self, claim: ClaimId, reason: NotRunReason, now: TimeUs) {
        let Some(entry) = self.entries.get_mut(&claim) else { return };
        entry.give_up(now);
        self.push_decision(claim, ClaimDecision::NotRun(reason));
        self.drive_entry(claim, now);
    }

    fn release_given_up(&mut self, claim: ClaimId, now: TimeUs) {
        if let Some(entry) = self.entries.get_mut(&claim) {
            entry.release_again(now);
            self.drive_entry(claim, now);
        }
    }

    fn push_decision(&mut self, claim: ClaimId, decision: ClaimDecision) {
        self.effects.push(ClaimEffect::Decided { claim, decision });
    }

    /// Sends a claim's next request, to the batcher of the own zone first and then to the others.
    fn drive_entry(&mut self, claim: ClaimId, now: TimeUs) {
        let Some(entry) = self.entries.get_mut(&claim).filter(|entry| entry.is_due(now)) else { return };
        let batchers = self.directory.batchers(ClaimStream::for_key(&entry.key), &self.zone);
        let to = if batchers.is_empty() { self.own } else { batchers[entry.attempts % batchers.len()] };
        let key = entry.key;
        let message = if entry.phase == EntryPhase::Releasing {
            entry.on_release_sent(&self.settings, now);
            ClaimMessage::ReleaseRequest { key, claim }
        } else {
            entry.on_asked(to, &self.settings, now);
            ClaimMessage::ClaimRequest { key, claim, key_age_ms: entry.key_age_ms(now) }
        };
        self.send(to, message, now);
    }

    fn tick_entries(&mut self, now: TimeUs) {
        let settings = &self.settings;
        self.entries.retain(|_, entry| !entry.is_forgettable(settings, now));
        let late: Vec<ClaimId> =
            self.entries.iter().filter(|(_, entry)| entry.is_timed_out(settings, now)).map(|(id, _)| *id).collect();
        for claim in late {
            self.give_up(claim, NotRunReason::Timeout, now);
        }
        let due: Vec<ClaimId> = self.entries.iter().filter(|(_, entry)| entry.is_due(now)).map(|(id, _)| *id).collect();
        for claim in due {
            self.drive_entry(claim, now);
        }
    }

    /// Starts reading the streams that this node is likely to be asked about.
    fn open_batchers(&mut self) {
        for stream in ClaimStream::all() {
            if self.directory.is_batcher(self.own, &self.zone, stream) {
                self.open_batcher(stream);
            }
        }
    }

    /// Lets all batchers go on, and delivers what they send to this node itself.
    fn advance_batchers(&mut self, now: TimeUs) {
        let pause_us = self.append_pause_us();
        loop {
            let mut local = Vec::new();
            for batcher in self.batchers.values_mut() {
                batcher.advance(pause_us, &self.settings, now);
                for effect in batcher.take_effects() {
                    match effect {
                        ClaimEffect::Send { to, message } if to == self.own => local.push(message),
                        other => self.effects.push(other),
                    }
                }
            }
            if local.is_empty() {
                return;
            }
            for message in local {
                self.handle(self.own, message, now);
            }
        }
    }

    /// Returns the pause between appends of one stream that keeps all zones' batchers together
    /// within the fleet's budget.
    fn append_pause_us(&self) -> u64 {
        let zone_count = self.settings.zone_count.max(self.directory.zone_count() as u64);
        let batchers = u64::from(STREAM_COUNT) * zone_count;
        US_PER_S * batchers / self.settings.appends_per_s.max(1)
    }

    fn send(&mut self, to: VmId, message: ClaimMessage, now: TimeUs) {
        if to == self.own {
            self.handle(to, message, now);
        } else {
            self.effects.push(ClaimEffect::Send { to, message });
        }
    }
}
