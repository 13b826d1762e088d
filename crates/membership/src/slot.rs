//! A member's row as the directory stores it.

use std::net::SocketAddr;

use fulmartrestle_core::{TimeUs, VmId};

use crate::compact_address::CompactAddress;
use crate::{Incarnation, MemberState};

/// A target with its service's name interned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetSlot {
    pub service: u16,
    pub leaving: bool,
    pub slots: u32,
    pub connections: u32,
    pub warm_up_ms: u32,
    /// When the target started to take work, on this node's clock, in microseconds; negative when
    /// that was before the clock's start.
    pub started_at_us: i64,
}

/// A row with its names interned: 72 bytes, against some 200 with owned strings.
#[derive(Clone, Copy, Debug)]
pub struct Slot {
    pub vm: VmId,
    pub address: CompactAddress,
    pub incarnation: Incarnation,
    pub zone: u16,
    /// The state that the member itself published: alive or leaving.
    pub published: MemberState,
    /// The state as it was told or found; [`MemberState::Unreachable`] is never stored.
    pub state: MemberState,
    /// Whether this node's own probe raised the suspicion, so that it spreads the outcome.
    pub own_suspicion: bool,
    /// Since when the member is suspect or dead.
    pub since: TimeUs,
    pub target: Option<TargetSlot>,
}

const _: () = assert!(size_of::<Slot>() == 72);

impl Slot {
    /// Returns where the member takes datagrams.
    pub fn peer_address(&self) -> SocketAddr {
        self.address.into()
    }

    /// Returns the part of its bucket's digest that this row makes up. Dead rows make up none, so that
    /// a node that forgot one agrees with a node that remembers it. Suspicions are left out because
    /// they settle by themselves.
    pub fn digest(&self) -> u32 {
        if self.state == MemberState::Dead {
            return 0;
        }
        let mixed = (self.vm.0 ^ u64::from(self.incarnation.0).wrapping_mul(0x9E37_79B9_7F4A_7C15))
            .wrapping_mul(0xD6E8_FEB8_6659_FD93);
        (mixed >> 32) as u32 | 1
    }
}
