//! The state of a member as one node sees it.

use fulmartrestle_derive::value;

/// The state of a member. States of one incarnation are ordered: a later one replaces an earlier one.
#[value]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Has said that it is about to stop; takes no new work.
    Leaving,
    /// Did not answer a probe and has not refuted it yet.
    Suspect,
    /// Its whole zone has fallen silent. This is each node's own view and is never sent; it ends when
    /// the zone is heard again, with the same incarnation.
    Unreachable,
    /// Did not refute a suspicion in time, or was replaced by another VM under its address.
    Dead,
}

impl MemberState {
    /// Whether the member can be reached as far as is known. A suspect still counts: it may refute.
    pub const fn is_reachable(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving | Self::Suspect)
    }

    /// Whether new work may go to the member.
    pub const fn accepts_new_work(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}
