//! Availability zones of the fleet, with their probe rings and heartbeat counters.

use fulmartrestle_core::{AvailabilityZone, TimeUs, VmId};

use crate::ZoneHeartbeat;

/// State of one zone.
#[derive(Clone, Debug)]
pub struct ZoneEntry {
    pub name: AvailabilityZone,
    pub hash: u32,
    /// Members that are not dead, ordered by ID. This is the order of the probe ring.
    pub ring: Vec<VmId>,
    /// Highest known value of the heartbeat counter.
    pub heartbeat: u32,
    /// When the heartbeat counter last increased. In this node's zone, a message from a member counts as well.
    pub last_seen_at: TimeUs,
    /// When the heartbeat counter last increased, in this node's zone too.
    pub heartbeat_raised_at: TimeUs,
    pub unreachable_since: Option<TimeUs>,
}

impl ZoneEntry {
    /// Adds a member to the ring.
    pub fn insert(&mut self, vm: VmId) {
        if let Err(index) = self.ring.binary_search(&vm) {
            self.ring.insert(index, vm);
        }
    }

    /// Removes a member from the ring.
    pub fn remove(&mut self, vm: VmId) {
        if let Ok(index) = self.ring.binary_search(&vm) {
            self.ring.remove(index);
        }
    }

    /// Returns the successors of `vm` on the ring, nearest first, without `vm` itself.
    pub fn successors(&self, vm: VmId) -> impl Iterator<Item = VmId> + '_ {
        let start = self.ring.partition_point(|other| *other <= vm);
        let (before, after) = self.ring.split_at(start);
        after.iter().chain(before).copied().filter(move |other| *other != vm)
    }
}

/// All known zones. The zone of this node has index 0.
#[derive(Clone, Debug)]
pub struct ZoneTable {
    zones: Vec<ZoneEntry>,
}

impl ZoneTable {
    /// Index of the zone of this node.
    pub const OWN_INDEX: u16 = 0;

    /// Creates a table that contains only the zone of this node.
    pub fn new(own: &AvailabilityZone) -> Self {
        let mut table = Self { zones: Vec::new() };
        table.intern(own, TimeUs::default());
        table
    }

    /// Returns the index of the zone named `name`, adding it when it is new.
    pub fn intern(&mut self, name: &AvailabilityZone, now: TimeUs) -> u16 {
        if let Some(index) = self.index_of(name) {
            return index;
        }
        self.zones.push(ZoneEntry {
            name: name.clone(),
            hash: zone_hash(name),
            ring: Vec::new(),
            heartbeat: 0,
            last_seen_at: now,
            heartbeat_raised_at: now,
            unreachable_since: None,
        });
        (self.zones.len() - 1) as u16
    }

    /// Returns the index of the zone named `name`.
    pub fn index_of(&self, name: &AvailabilityZone) -> Option<u16> {
        self.zones.iter().position(|zone| zone.name == *name).map(|index| index as u16)
    }

    /// Returns the zone at `index`.
    pub fn get(&self, index: u16) -> &ZoneEntry {
        &self.zones[usize::from(index)]
    }

    /// Returns the zone at `index` for modification.
    pub fn get_mut(&mut self, index: u16) -> &mut ZoneEntry {
        &mut self.zones[usize::from(index)]
    }

    /// Returns the indexes of all zones.
    pub fn indexes(&self) -> std::ops::Range<u16> {
        0..self.zones.len() as u16
    }

    /// Returns all zones, ordered by index.
    pub fn iter(&self) -> impl Iterator<Item = &ZoneEntry> {
        self.zones.iter()
    }

    /// Returns the heartbeat counters to attach to a message.
    pub fn heartbeats(&self) -> Vec<ZoneHeartbeat> {
        let started = self.zones.iter().filter(|zone| zone.heartbeat > 0);
        started.map(|zone| ZoneHeartbeat { zone_hash: zone.hash, count: zone.heartbeat }).collect()
    }

    /// Adopts the heartbeat counters of a message that are higher than the local ones.
    pub fn merge_heartbeats(&mut self, heartbeats: &[ZoneHeartbeat], now: TimeUs) {
        for heartbeat in heartbeats {
            let zone =
                self.zones.iter_mut().find(|zone| zone.hash == heartbeat.zone_hash && zone.heartbeat < heartbeat.count);
            if let Some(zone) = zone {
                zone.heartbeat = heartbeat.count;
                zone.last_seen_at = now;
                zone.heartbeat_raised_at = now;
            }
        }
    }
}

/// Returns the hash that identifies a zone in messages. It is the same on all nodes.
fn zone_hash(name: &AvailabilityZone) -> u32 {
    let hash = blake3::hash(name.as_str().as_bytes());
    let bytes = hash.as_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}
