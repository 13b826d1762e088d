//! The availability zones that a node knows, with their rings and heartbeats.

use fulmartrestle_core::{AvailabilityZone, TimeUs, VmId};

use crate::ZoneBeat;

/// One zone.
#[derive(Clone, Debug)]
pub struct ZoneEntry {
    pub name: AvailabilityZone,
    pub hash: u32,
    /// Members that are not dead, in order of id; it is also the order of the probing ring.
    pub ring: Vec<VmId>,
    /// Highest heartbeat seen.
    pub beat: u32,
    /// When the heartbeat rose last; for the own zone, when a member of it was heard last.
    pub heard_at: TimeUs,
    /// When the heartbeat rose last, for the own zone too.
    pub risen_at: TimeUs,
    pub unreachable_since: Option<TimeUs>,
}

impl ZoneEntry {
    /// Adds a member to the ring.
    pub fn insert(&mut self, vm: VmId) {
        if let Err(index) = self.ring.binary_search(&vm) {
            self.ring.insert(index, vm);
        }
    }

    /// Takes a member off the ring.
    pub fn remove(&mut self, vm: VmId) {
        if let Ok(index) = self.ring.binary_search(&vm) {
            self.ring.remove(index);
        }
    }

    /// Returns the members after `vm` on the ring, nearest first, without `vm`.
    pub fn successors(&self, vm: VmId) -> impl Iterator<Item = VmId> + '_ {
        let start = self.ring.partition_point(|other| *other <= vm);
        let (before, after) = self.ring.split_at(start);
        after.iter().chain(before).copied().filter(move |other| *other != vm)
    }
}

/// All zones; the own zone has index 0.
#[derive(Clone, Debug)]
pub struct ZoneTable {
    zones: Vec<ZoneEntry>,
}

impl ZoneTable {
    /// Index of the node's own zone.
    pub const OWN: u16 = 0;

    /// Returns a table with the own zone.
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
            beat: 0,
            heard_at: now,
            risen_at: now,
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

    /// Returns the zone at `index` for change.
    pub fn get_mut(&mut self, index: u16) -> &mut ZoneEntry {
        &mut self.zones[usize::from(index)]
    }

    /// Returns the indexes of all zones.
    pub fn indexes(&self) -> std::ops::Range<u16> {
        0..self.zones.len() as u16
    }

    /// Returns all zones.
    pub fn iter(&self) -> impl Iterator<Item = &ZoneEntry> {
        self.zones.iter()
    }

    /// Returns the heartbeats to put into a message.
    pub fn beats(&self) -> Vec<ZoneBeat> {
        let known = self.zones.iter().filter(|zone| zone.beat > 0);
        known.map(|zone| ZoneBeat { zone_hash: zone.hash, count: zone.beat }).collect()
    }

    /// Takes over the heartbeats of a message where they are higher.
    pub fn merge_beats(&mut self, beats: &[ZoneBeat], now: TimeUs) {
        for beat in beats {
            let zone = self.zones.iter_mut().find(|zone| zone.hash == beat.zone_hash && zone.beat < beat.count);
            if let Some(zone) = zone {
                zone.beat = beat.count;
                zone.heard_at = now;
                zone.risen_at = now;
            }
        }
    }
}

/// Returns a hash of a zone's name that is the same on all nodes.
fn zone_hash(name: &AvailabilityZone) -> u32 {
    let hash = blake3::hash(name.as_str().as_bytes());
    let bytes = hash.as_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}
