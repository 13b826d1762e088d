//! The table of members.

use fulmartrestle_core::{Service, TimeUs, VmId};

use crate::names::Names;
use crate::slot::{Slot, TargetSlot};
use crate::zone_table::ZoneTable;
use crate::{MemberRow, MemberState, TargetInfo};

/// Number of buckets. At 7,100 members a bucket's rows fill one datagram.
pub const BUCKETS: usize = 256;

/// Rows by which a full bucket grows; doubling would leave a quarter of the memory unused.
const BUCKET_GROWTH: usize = 4;

/// All rows, in buckets by the top byte of the member's id. Ids are drawn at random, so the buckets
/// are of like size, and finding a row needs no index beside them.
#[derive(Clone, Debug)]
pub struct Directory {
    buckets: Vec<Vec<Slot>>,
    digests: Vec<u32>,
    services: Names<Service>,
    len: usize,
}

impl Directory {
    /// Returns an empty directory.
    pub fn new() -> Self {
        Self { buckets: vec![Vec::new(); BUCKETS], digests: vec![0; BUCKETS], services: Names::new(), len: 0 }
    }

    /// Returns the bucket that `vm` belongs to.
    pub fn bucket_of(vm: VmId) -> u8 {
        (vm.0 >> 56) as u8
    }

    /// Returns the number of rows, dead ones included.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the digests of all buckets.
    pub fn digests(&self) -> &[u32] {
        &self.digests
    }

    /// Returns the rows of one bucket.
    pub fn bucket(&self, bucket: u8) -> &[Slot] {
        &self.buckets[usize::from(bucket)]
    }

    /// Returns all rows in order of id.
    pub fn iter(&self) -> impl Iterator<Item = &Slot> {
        self.buckets.iter().flatten()
    }

    /// Returns the row of `vm`.
    pub fn get(&self, vm: VmId) -> Option<&Slot> {
        let bucket = self.bucket(Self::bucket_of(vm));
        let index = bucket.binary_search_by_key(&vm, |slot| slot.vm).ok()?;
        Some(&bucket[index])
    }

    /// Stores a row, in place of an earlier one of the same member.
    pub fn put(&mut self, slot: Slot) {
        let bucket_index = usize::from(Self::bucket_of(slot.vm));
        let bucket = &mut self.buckets[bucket_index];
        self.digests[bucket_index] ^= slot.digest();
        match bucket.binary_search_by_key(&slot.vm, |other| other.vm) {
            Ok(index) => {
                self.digests[bucket_index] ^= bucket[index].digest();
                bucket[index] = slot;
            }
            Err(index) => {
                if bucket.len() == bucket.capacity() {
                    bucket.reserve_exact(BUCKET_GROWTH);
                }
                bucket.insert(index, slot);
                self.len += 1;
            }
        }
    }

    /// Drops the row of `vm`.
    pub fn remove(&mut self, vm: VmId) {
        let bucket_index = usize::from(Self::bucket_of(vm));
        let bucket = &mut self.buckets[bucket_index];
        if let Ok(index) = bucket.binary_search_by_key(&vm, |other| other.vm) {
            self.digests[bucket_index] ^= bucket[index].digest();
            bucket.remove(index);
            self.len -= 1;
        }
    }

    /// Returns a target with its service's name interned.
    pub fn intern_target(&mut self, target: &TargetInfo, now: TimeUs) -> TargetSlot {
        TargetSlot {
            service: self.services.intern(&target.service),
            leaving: target.leaving,
            slots: target.slots,
            connections: target.connections,
            warm_up_ms: target.warm_up_ms,
            started_at_us: now.0 as i64 - i64::from(target.age_ms) * 1_000,
        }
    }

    /// Returns a row with its names, in the given state.
    pub fn to_row(&self, slot: &Slot, state: MemberState, zones: &ZoneTable, now: TimeUs) -> MemberRow {
        MemberRow {
            vm: slot.vm,
            incarnation: slot.incarnation,
            zone: zones.get(slot.zone).name.clone(),
            peer_address: slot.peer_address(),
            state,
            target: slot.target.as_ref().map(|target| self.to_target(target, now)),
        }
    }

    fn to_target(&self, target: &TargetSlot, now: TimeUs) -> TargetInfo {
        let age_ms = (now.0 as i64 - target.started_at_us).max(0) / 1_000;
        TargetInfo {
            service: self.services.get(target.service).clone(),
            slots: target.slots,
            connections: target.connections,
            warm_up_ms: target.warm_up_ms,
            leaving: target.leaving,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        }
    }

    /// Returns the bytes held by the rows and their buckets.
    pub fn size_bytes(&self) -> usize {
        let rows: usize = self.buckets.iter().map(Vec::capacity).sum();
        rows * size_of::<Slot>() + BUCKETS * (size_of::<Vec<Slot>>() + size_of::<u32>())
    }
}
