//! Processing of messages from peers.

use std::net::SocketAddr;

use fulmartrestle_core::{TimeUs, VmId};

use crate::budget::BudgetShare;
use crate::directory::Directory;
use crate::zone_table::ZoneTable;
use crate::{MemberState, Membership, MembershipMessage, MessageKind, PeerDigest};

/// Minimum interval between requests for the rows of unknown senders, in milliseconds.
const SENDER_QUERY_INTERVAL_MS: u64 = 100;

impl Membership {
    /// Processes a message that arrived from the address `from`. Replies are queued for [`Self::take_outgoing`].
    pub fn handle_message(&mut self, from: SocketAddr, message: MembershipMessage, now: TimeUs) {
        if message.from == self.own_vm {
            return;
        }
        self.zones.merge_heartbeats(&message.heartbeats, now);
        for rumour in message.rumours {
            self.apply_rumour(rumour, now);
        }
        if let Some(bytes) = message.digest {
            self.peer_digests.push(PeerDigest { vm: message.from, bytes });
        }
        let expects_reply =
            !matches!(message.kind, MessageKind::Gossip | MessageKind::Ack { .. } | MessageKind::Nack { .. });
        self.handle_sender(message.from, from, expects_reply, now);
        self.handle_kind(message.from, from, message.kind, now);
    }

    fn handle_kind(&mut self, sender: VmId, from: SocketAddr, kind: MessageKind, now: TimeUs) {
        match kind {
            MessageKind::Ping { sequence, .. } => {
                let responder = self.own_vm;
                self.send(from, MessageKind::Ack { sequence, responder }, now);
            }
            MessageKind::PingRequest { sequence, subject, address } => {
                let sequence = self.probes.add_relay(from, sequence, now);
                self.send(address, MessageKind::Ping { sequence, subject }, now);
            }
            MessageKind::Ack { sequence, responder } => self.handle_ack(sequence, responder, now),
            MessageKind::Nack { sequence } => self.handle_nack(sender, sequence),
            MessageKind::Gossip => {}
            MessageKind::SyncDigests { shift, digests } => self.handle_sync_digests(from, shift, &digests, now),
            MessageKind::SyncPull { first, last } => self.send_range(from, first, last, now),
            MessageKind::SyncRequest { buckets } => self.send_buckets(from, &buckets, now),
            MessageKind::SyncRows { complete_range, is_pull_response, rows, dead } => {
                self.handle_sync_rows(complete_range, is_pull_response, &rows, &dead, now);
            }
        }
    }

    /// Updates the state of the sender of a message. A sender that is suspect or dead receives the accusation only in
    /// response to a message that expects a reply. Otherwise two members that consider each other dead would exchange
    /// accusations endlessly.
    fn handle_sender(&mut self, vm: VmId, from: SocketAddr, expects_reply: bool, now: TimeUs) {
        let Some(entry) = self.directory.get(vm).copied() else {
            self.handle_unknown_sender(vm, from, now);
            return;
        };
        if entry.zone == ZoneTable::OWN_INDEX {
            self.zones.get_mut(ZoneTable::OWN_INDEX).last_seen_at = now;
        }
        if entry.state == MemberState::Alive {
            self.probes.remove_subject(vm);
        }
        if expects_reply
            && matches!(entry.state, MemberState::Suspect | MemberState::Dead)
            && entry.peer_address() == from
        {
            self.send_accusation(&entry, now);
        }
    }

    /// Marks the previous member at the address of an unknown sender as dead, and requests the row of the sender.
    /// Requests are rate limited and sent only within the budget. Otherwise two members that do not know each other
    /// would send requests endlessly while neither has the budget to answer.
    fn handle_unknown_sender(&mut self, vm: VmId, from: SocketAddr, now: TimeUs) {
        let replaced =
            self.directory.iter().find(|entry| entry.peer_address() == from && entry.state != MemberState::Dead);
        if let Some(replaced) = replaced.map(|entry| entry.vm) {
            self.mark_dead(replaced, now);
        }
        if now < self.timers.next_sender_query_at || !self.can_afford(BudgetShare::Sync, 0) {
            return;
        }
        self.timers.next_sender_query_at = now.plus_ms(SENDER_QUERY_INTERVAL_MS);
        let bucket = Directory::bucket_of(vm);
        self.send(from, MessageKind::SyncRequest { buckets: vec![bucket] }, now);
    }

    fn handle_ack(&mut self, sequence: u32, responder: VmId, now: TimeUs) {
        if let Some(relay) = self.probes.take_relay(sequence) {
            let kind = MessageKind::Ack { sequence: relay.origin_sequence, responder };
            self.send(relay.origin, kind, now);
            return;
        }
        let Some(probe) = self.probes.take(sequence) else { return };
        if responder != probe.subject {
            self.mark_dead(probe.subject, now);
        }
    }

    /// Records that an indirect probe failed. It confirms the failure if the relaying member is in the zone of the
    /// probed member.
    fn handle_nack(&mut self, sender: VmId, sequence: u32) {
        let Some(probe) = self.probes.get_mut(sequence) else { return };
        let zone = |vm: VmId| self.directory.get(vm).map(|entry| entry.zone);
        if zone(sender).is_some() && zone(sender) == zone(probe.subject) {
            probe.confirmed_by_zone_member = true;
        }
    }
}
