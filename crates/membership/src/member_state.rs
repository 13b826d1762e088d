//! State of a member as seen by one node.

use fulmartrestle_derive::value;

/// State of a member. Within one incarnation, a later state in this order overrides an earlier one.
#[value]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member announced that it is about to stop, and accepts no new work.
    Leaving,
    /// The member did not answer a probe and has not refuted the suspicion yet.
    Suspect,
    /// The whole zone of the member is unreachable. This state is local to each node and never sent. It ends when
    /// the heartbeat of the zone advances again, and the member keeps its incarnation.
    Unreachable,
    /// The member did not refute a suspicion in time, or another VM has taken over its address.
    Dead,
}

impl MemberState {
    /// Returns whether the member is considered reachable. A suspect is, because it may refute the suspicion.
    pub const fn is_reachable(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving | Self::Suspect)
    }

    /// Returns whether new work may be assigned to the member.
    pub const fn accepts_new_work(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}
