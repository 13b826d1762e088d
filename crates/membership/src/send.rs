//! Assembly of outgoing messages within the byte budget.

use std::net::SocketAddr;

use fulmartrestle_core::TimeUs;

use crate::budget::BudgetShare;
use crate::member_entry::MemberEntry;
use crate::{
    MAX_DATAGRAM_BYTES, MemberDelta, MemberState, Membership, MembershipMessage, MessageKind, OutgoingMessage, Rumour,
};

/// Size of the IP and UDP headers of a datagram, in bytes. It counts against the budget.
const IP_UDP_HEADER_BYTES: usize = 28;

impl Membership {
    /// Queues a message for sending, with as many rumours as fit into the datagram and the budget.
    pub(crate) fn send(&mut self, to: SocketAddr, kind: MessageKind, now: TimeUs) {
        let mut message = MembershipMessage {
            from: self.own_vm,
            kind,
            heartbeats: self.zones.heartbeats(),
            rumours: Vec::new(),
            digest: self.piggybacked_digest().cloned(),
        };
        let size_bytes = message.size_bytes();
        let share = budget_share(&message.kind);
        let budget_bytes = match share {
            BudgetShare::Rumours => self.budget.available_bytes(share),
            BudgetShare::Sync => 0,
        };
        let rumour_bytes = MAX_DATAGRAM_BYTES.saturating_sub(size_bytes).min(budget_bytes);
        let transmission_limit = self.transmission_limit();
        message.rumours = self.rumours.take_for_message(rumour_bytes, transmission_limit);
        for rumour in &mut message.rumours {
            self.refresh_age(rumour, now);
        }
        self.budget.charge(share, message.size_bytes() + IP_UDP_HEADER_BYTES);
        self.outgoing.push(OutgoingMessage { to, message });
    }

    /// Sends a suspect or dead member its state, so that it can refute it.
    pub(crate) fn send_accusation(&mut self, entry: &MemberEntry, now: TimeUs) {
        let delta = MemberDelta {
            vm: entry.vm,
            incarnation: entry.incarnation,
            state: entry.state,
            age_ms: age_ms(entry, now),
        };
        let message = MembershipMessage {
            from: self.own_vm,
            kind: MessageKind::Gossip,
            heartbeats: self.zones.heartbeats(),
            rumours: vec![Rumour::Delta(delta)],
            digest: None,
        };
        self.budget.charge(BudgetShare::Rumours, message.size_bytes() + IP_UDP_HEADER_BYTES);
        self.outgoing.push(OutgoingMessage { to: entry.peer_address(), message });
    }

    /// Returns whether a share of the budget suffices for a deferrable message of `size_bytes`.
    pub(crate) fn can_afford(&self, share: BudgetShare, size_bytes: usize) -> bool {
        self.budget.available_bytes(share) >= size_bytes + IP_UDP_HEADER_BYTES
    }

    /// Returns the number of times that a rumour is sent, which is 17 with 7,100 members. A member that takes part in
    /// the dissemination then misses a rumour with probability e^-17. With five fewer transmissions, one member in
    /// fifty missed it in one run of ten.
    fn transmission_limit(&self) -> u16 {
        let members = self.directory.len() as u32 + 1;
        (3 * members.ilog10() + 8) as u16
    }

    /// Updates the durations in a rumour by the time that it spent in the queue.
    fn refresh_age(&self, rumour: &mut Rumour, now: TimeUs) {
        match rumour {
            Rumour::Row(row) => {
                let known = self.member(row.vm, now);
                if let Some(known) = known.filter(|known| known.incarnation == row.incarnation) {
                    row.target = known.target;
                }
            }
            Rumour::Delta(delta) => {
                let Some(entry) = self.directory.get(delta.vm) else { return };
                if delta.state == MemberState::Suspect && entry.state == MemberState::Suspect {
                    delta.age_ms = age_ms(entry, now);
                }
            }
            Rumour::Broadcast(_) => {}
        }
    }
}

fn age_ms(entry: &MemberEntry, now: TimeUs) -> u16 {
    u16::try_from(now.ms_since(entry.since)).unwrap_or(u16::MAX)
}

fn budget_share(kind: &MessageKind) -> BudgetShare {
    match kind {
        MessageKind::Ping { .. }
        | MessageKind::PingRequest { .. }
        | MessageKind::Ack { .. }
        | MessageKind::Nack { .. }
        | MessageKind::Gossip => BudgetShare::Rumours,
        MessageKind::SyncDigests { .. }
        | MessageKind::SyncPull { .. }
        | MessageKind::SyncRequest { .. }
        | MessageKind::SyncRows { .. } => BudgetShare::Sync,
    }
}
