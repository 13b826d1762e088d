//! Configuration of the membership protocol.

use fulmartrestle_derive::record;

/// Settings of the membership protocol. With the defaults, a crashed member is taken out of use within 3 s.
#[record]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// Interval between probes of the same ring neighbour, and between probes across zones, in milliseconds.
    pub probe_interval_ms: u64,
    /// Time in which a probed member has to answer directly before indirect probes are sent, in milliseconds.
    pub ack_timeout_ms: u64,
    /// Additional time for the indirect probes, in milliseconds.
    pub indirect_timeout_ms: u64,
    /// Time in which a suspect has to refute the suspicion, in milliseconds.
    pub suspicion_timeout_ms: u64,
    /// Number of successors on the ring of its zone that each member probes.
    pub ring_neighbours: usize,
    /// Number of members that are asked to probe an unresponsive member indirectly.
    pub helpers: usize,
    /// Interval between rounds of messages that carry only rumours, in milliseconds.
    pub gossip_interval_ms: u64,
    /// Number of members that receive the rumours of each round.
    pub gossip_fanout: usize,
    /// Interval at which the heartbeat counter of this node's zone is incremented, in milliseconds.
    pub zone_beat_interval_ms: u64,
    /// Time without an increase of its heartbeat counter after which a zone is unreachable, in milliseconds.
    pub zone_timeout_ms: u64,
    /// Interval between exchanges of directory digests (anti-entropy), in milliseconds.
    pub sync_interval_ms: u64,
    /// Interval between attempts to reach a dead or unreachable member, in milliseconds. In fleets of more than 16
    /// members it grows with the fleet, so that the whole fleet makes 16 attempts in each interval.
    pub reconnect_interval_ms: u64,
    /// Time for which dead members are retained, in milliseconds. It is longer than partitions between regions last.
    pub dead_retention_ms: u64,
    /// Byte rate available to rumours and directory synchronisation, in bytes per second. Probes are always sent, and
    /// count against it.
    pub budget_bytes_per_s: u64,
    /// Whether a queued rumour is dropped when a newer one about the same subject is queued.
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
