//! How messages are put together within the byte budget.

use std::net::SocketAddr;

use fulmartrestle_core::TimeUs;

use crate::budget::BudgetShare;
use crate::slot::Slot;
use crate::{
    MAX_DATAGRAM_BYTES, MemberDelta, MemberState, Membership, MembershipMessage, MembershipSend, MessageKind, Rumour,
};

/// Bytes of the IP and UDP headers of a datagram, counted against the budget.
const HEADER_BYTES: usize = 28;

impl Membership {
    /// Sends a message with as many rumours as fit into the datagram and the budget.
    pub(crate) fn send(&mut self, to: SocketAddr, kind: MessageKind, now: TimeUs) {
        let mut message = MembershipMessage {
            from: self.own,
            kind,
            beats: self.zones.beats(),
            rumours: Vec::new(),
            digest: self.digest().cloned(),
        };
        let size_bytes = message.size_bytes();
        let share = share_of(&message.kind);
        let budget_bytes = match share {
            BudgetShare::Rumours => self.budget.left_bytes(share),
            BudgetShare::Sync => 0,
        };
        let room_bytes = MAX_DATAGRAM_BYTES.saturating_sub(size_bytes).min(budget_bytes);
        let limit = self.transmission_limit();
        message.rumours = self.rumours.take(room_bytes, limit);
        for rumour in &mut message.rumours {
            self.refresh_age(rumour, now);
        }
        self.budget.charge(share, message.size_bytes() + HEADER_BYTES);
        self.outgoing.push(MembershipSend { to, message });
    }

    /// Tells a member directly that it is held for suspect or dead.
    pub(crate) fn tell_suspicion(&mut self, slot: &Slot, now: TimeUs) {
        let delta =
            MemberDelta { vm: slot.vm, incarnation: slot.incarnation, state: slot.state, age_ms: age_ms(slot, now) };
        let message = MembershipMessage {
            from: self.own,
            kind: MessageKind::Gossip,
            beats: self.zones.beats(),
            rumours: vec![Rumour::Delta(delta)],
            digest: None,
        };
        self.budget.charge(BudgetShare::Rumours, message.size_bytes() + HEADER_BYTES);
        self.outgoing.push(MembershipSend { to: slot.peer_address(), message });
    }

    /// Whether a share of the budget has room for a message of `size_bytes` that can wait.
    pub(crate) fn can_afford(&self, share: BudgetShare, size_bytes: usize) -> bool {
        self.budget.left_bytes(share) >= size_bytes + HEADER_BYTES
    }

    /// Returns how often a rumour is sent: at 7,100 members, 17 times. A member that takes part in the spread misses
    /// a rumour with probability e^-17 then; five fewer left one of fifty without it in one run of ten.
    fn transmission_limit(&self) -> u16 {
        let members = self.directory.len() as u32 + 1;
        (3 * members.ilog10() + 8) as u16
    }

    /// Brings the durations in a rumour up to date with the time that it waited here.
    fn refresh_age(&self, rumour: &mut Rumour, now: TimeUs) {
        match rumour {
            Rumour::Row(row) => {
                let known = self.member(row.vm, now);
                if let Some(known) = known.filter(|known| known.incarnation == row.incarnation) {
                    row.target = known.target;
                }
            }
            Rumour::Delta(delta) => {
                let Some(slot) = self.directory.get(delta.vm) else { return };
                if delta.state == MemberState::Suspect && slot.state == MemberState::Suspect {
                    delta.age_ms = age_ms(slot, now);
                }
            }
            Rumour::Broadcast(_) => {}
        }
    }
}

fn age_ms(slot: &Slot, now: TimeUs) -> u16 {
    u16::try_from(now.ms_since(slot.since)).unwrap_or(u16::MAX)
}

fn share_of(kind: &MessageKind) -> BudgetShare {
    match kind {
        MessageKind::Ping { .. }
        | MessageKind::PingRequest { .. }
        | MessageKind::Ack { .. }
        | MessageKind::Nack { .. }
        | MessageKind::Gossip => BudgetShare::Rumours,
        MessageKind::SyncDigests { .. }
        | MessageKind::SyncPull { .. }
        | MessageKind::SyncWant { .. }
        | MessageKind::SyncRows { .. } => BudgetShare::Sync,
    }
}
