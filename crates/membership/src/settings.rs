//! Settings of membership.

use fulmartrestle_derive::record;

/// Settings of membership, with defaults that put a crashed member out of use within 3 s.
#[record]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// Interval between probes of one ring neighbour, and between probes across zones, in ms.
    pub probe_interval_ms: u64,
    /// Time a probed member has to answer directly, in ms.
    pub ack_timeout_ms: u64,
    /// Time the helpers have in addition, in ms.
    pub indirect_timeout_ms: u64,
    /// Time a suspect has to refute, in ms.
    pub suspicion_timeout_ms: u64,
    /// Neighbours that each member probes on the ring of its zone.
    pub ring_neighbours: usize,
    /// Helpers asked to probe a member that did not answer.
    pub helpers: usize,
    /// Interval between messages that carry rumours only, in ms.
    pub gossip_interval_ms: u64,
    /// Members that each such round goes to.
    pub gossip_fanout: usize,
    /// Interval at which a zone's heartbeat is raised, in ms.
    pub zone_beat_interval_ms: u64,
    /// Time without a rise after which a zone counts as unreachable, in ms.
    pub zone_timeout_ms: u64,
    /// Interval between exchanges of directory digests, in ms.
    pub sync_interval_ms: u64,
    /// Interval between attempts to reach members that are dead or unreachable, in ms. In fleets of
    /// more than 16 members it grows with the fleet, so that their number stays at 16 in all.
    pub reconnect_interval_ms: u64,
    /// Time for which dead members are remembered, in ms. It is longer than regions lose each other.
    pub dead_retention_ms: u64,
    /// Bytes a second that rumours and directory exchange may use; probes are sent regardless, and
    /// count against it.
    pub budget_bytes_per_s: u64,
    /// Whether an update that is superseded by a newer one of the same subject leaves the queue.
    pub drop_superseded: bool,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval_ms: 400,
            ack_timeout_ms: 250,
            indirect_timeout_ms: 350,
            suspicion_timeout_ms: 1_200,
            ring_neighbours: 2,
            helpers: 3,
            gossip_interval_ms: 150,
            gossip_fanout: 3,
            zone_beat_interval_ms: 400,
            zone_timeout_ms: 2_000,
            sync_interval_ms: 5_000,
            reconnect_interval_ms: 1_000,
            dead_retention_ms: 7_200_000,
            budget_bytes_per_s: 9_000,
            drop_superseded: true,
        }
    }
}
