//! What a node does with a message of a peer.

use std::net::SocketAddr;

use fulmartrestle_core::{TimeUs, VmId};

use crate::directory::Directory;
use crate::zone_table::ZoneTable;
use crate::{MemberState, Membership, MembershipMessage, MessageKind, PeerDigest};

impl Membership {
    /// Handles a message that arrived from `from`.
    pub fn on_datagram(&mut self, from: SocketAddr, message: MembershipMessage, now: TimeUs) {
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
        self.note_sender(message.from, from, now);
        self.answer(from, message.kind, now);
    }

    fn answer(&mut self, from: SocketAddr, kind: MessageKind, now: TimeUs) {
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
            MessageKind::Gossip => {}
            MessageKind::SyncDigests { shift, digests } => self.on_sync_digests(from, shift, &digests, now),
            MessageKind::SyncPull { first, last, filling } => self.send_rows(from, first, last, filling, now),
            MessageKind::SyncRows { first, last, filling, rows, dead } => {
                self.on_sync_rows(first, last, filling, &rows, &dead, now);
            }
        }
    }

    /// Draws conclusions from the fact that a member sent something.
    fn note_sender(&mut self, vm: VmId, from: SocketAddr, now: TimeUs) {
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
        if matches!(slot.state, MemberState::Suspect | MemberState::Dead) && slot.peer_address == from {
            self.tell_suspicion(&slot, now);
        }
    }

    /// Asks an unknown sender for its row, and drops the member that had its address before.
    fn note_unknown_sender(&mut self, vm: VmId, from: SocketAddr, now: TimeUs) {
        let replaced = self.directory.iter().find(|slot| slot.peer_address == from && slot.state != MemberState::Dead);
        if let Some(replaced) = replaced.map(|slot| slot.vm) {
            self.bury(replaced, now);
        }
        let bucket = Directory::bucket_of(vm);
        self.send(from, MessageKind::SyncPull { first: bucket, last: bucket, filling: false }, now);
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
}
