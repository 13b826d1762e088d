//! What a node does with a message of a peer.

use std::net::SocketAddr;

use fulmartrestle_core::{TimeUs, VmId};

use crate::budget::BudgetShare;
use crate::directory::Directory;
use crate::zone_table::ZoneTable;
use crate::{MemberState, Membership, MembershipMessage, MessageKind, PeerDigest};

/// Least interval between two requests for an unknown sender's row, in milliseconds.
const ASK_SENDER_INTERVAL_MS: u64 = 100;

impl Membership {
    /// Handles a message that arrived from `from`.
    pub fn handle_message(&mut self, from: SocketAddr, message: MembershipMessage, now: TimeUs) {
        if message.from == self.own {
            return;
        }
        self.zones.merge_beats(&message.beats, now);
        for rumour in message.rumours {
            self.apply_rumour(rumour, now);
        }
        if let Some(bytes) = message.digest {
            self.digests.push(PeerDigest { vm: message.from, bytes });
        }
        let asks = !matches!(message.kind, MessageKind::Gossip | MessageKind::Ack { .. } | MessageKind::Nack { .. });
        self.note_sender(message.from, from, asks, now);
        self.answer(message.from, from, message.kind, now);
    }

    fn answer(&mut self, sender: VmId, from: SocketAddr, kind: MessageKind, now: TimeUs) {
        match kind {
            MessageKind::Ping { sequence, .. } => {
                let responder = self.own;
                self.send(from, MessageKind::Ack { sequence, responder }, now);
            }
            MessageKind::PingRequest { sequence, subject, address } => {
                let sequence = self.probes.add_relay(from, sequence, now);
                self.send(address, MessageKind::Ping { sequence, subject }, now);
            }
            MessageKind::Ack { sequence, responder } => self.on_ack(sequence, responder, now),
            MessageKind::Nack { sequence } => self.on_nack(sender, sequence),
            MessageKind::Gossip => {}
            MessageKind::SyncDigests { shift, digests } => self.on_sync_digests(from, shift, &digests, now),
            MessageKind::SyncPull { first, last } => self.send_range(from, first, last, now),
            MessageKind::SyncWant { buckets } => self.send_buckets(from, &buckets, now),
            MessageKind::SyncRows { filled, filling, rows, dead } => {
                self.on_sync_rows(filled, filling, &rows, &dead, now);
            }
        }
    }

    /// Draws conclusions from the fact that a member sent something. Only a message that asks for
    /// something is answered with what is held against its sender: two members that hold each other
    /// for dead would otherwise answer each other without end.
    fn note_sender(&mut self, vm: VmId, from: SocketAddr, asks: bool, now: TimeUs) {
        let Some(slot) = self.directory.get(vm).copied() else {
            self.note_unknown_sender(vm, from, now);
            return;
        };
        if slot.zone == ZoneTable::OWN {
            self.zones.get_mut(ZoneTable::OWN).heard_at = now;
        }
        if slot.state == MemberState::Alive {
            self.probes.forget(vm);
        }
        if asks && matches!(slot.state, MemberState::Suspect | MemberState::Dead) && slot.peer_address() == from {
            self.tell_suspicion(&slot, now);
        }
    }

    /// Asks an unknown sender for its row, and drops the member that had its address before. It asks
    /// one sender at a time, and only within the budget: two members that don't know each other would
    /// otherwise ask each other without end while neither can afford the answer.
    fn note_unknown_sender(&mut self, vm: VmId, from: SocketAddr, now: TimeUs) {
        let replaced =
            self.directory.iter().find(|slot| slot.peer_address() == from && slot.state != MemberState::Dead);
        if let Some(replaced) = replaced.map(|slot| slot.vm) {
            self.bury(replaced, now);
        }
        if now < self.timers.ask_sender_at || !self.can_afford(BudgetShare::Sync, 0) {
            return;
        }
        self.timers.ask_sender_at = now.plus_ms(ASK_SENDER_INTERVAL_MS);
        let bucket = Directory::bucket_of(vm);
        self.send(from, MessageKind::SyncWant { buckets: vec![bucket] }, now);
    }

    fn on_ack(&mut self, sequence: u32, responder: VmId, now: TimeUs) {
        if let Some(relay) = self.probes.take_relay(sequence) {
            let kind = MessageKind::Ack { sequence: relay.origin_sequence, responder };
            self.send(relay.origin, kind, now);
            return;
        }
        let Some(probe) = self.probes.take(sequence) else { return };
        if responder != probe.subject {
            self.bury(probe.subject, now);
        }
    }

    /// Notes that a neighbour of the probed member could not reach it either.
    fn on_nack(&mut self, sender: VmId, sequence: u32) {
        let Some(probe) = self.probes.get_mut(sequence) else { return };
        let zone = |vm: VmId| self.directory.get(vm).map(|slot| slot.zone);
        if zone(sender).is_some() && zone(sender) == zone(probe.subject) {
            probe.confirmed_in_zone = true;
        }
    }
}
