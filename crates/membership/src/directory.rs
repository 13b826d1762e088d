//! In-memory directory of all members.

use fulmartrestle_core::{Service, TimeUs, VmId};

use crate::member_entry::{MemberEntry, TargetEntry};
use crate::name_table::NameTable;
use crate::zone_table::ZoneTable;
use crate::{MemberRow, MemberState, TargetInfo};

/// Number of buckets. With 7,100 members, the rows of a bucket fill one datagram.
pub const BUCKETS: usize = 256;

/// Number of rows by which the capacity of a full bucket grows. Doubling would leave a quarter of the memory
/// unused.
const BUCKET_GROWTH_ROWS: usize = 4;

/// All rows, partitioned into buckets by the top byte of the member's ID. IDs are random, so the buckets have
/// similar sizes, and a lookup needs no separate index.
#[derive(Clone, Debug)]
pub struct Directory {
    buckets: Vec<Vec<MemberEntry>>,
    digests: Vec<u32>,
    services: NameTable<Service>,
    len: usize,
}

impl Directory {
    /// Returns an empty directory.
    pub fn new() -> Self {
        Self { buckets: vec![Vec::new(); BUCKETS], digests: vec![0; BUCKETS], services: NameTable::new(), len: 0 }
    }

    /// Returns the index of the bucket of `vm`.
    pub fn bucket_of(vm: VmId) -> u8 {
        (vm.0 >> 56) as u8
    }

    /// Returns the number of rows, including those of dead members.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the digests of all buckets, ordered by bucket. Each is the XOR of the digests of its rows.
    pub fn digests(&self) -> &[u32] {
        &self.digests
    }

    /// Returns the rows of one bucket, ordered by ID.
    pub fn bucket(&self, bucket: u8) -> &[MemberEntry] {
        &self.buckets[usize::from(bucket)]
    }

    /// Returns all rows, ordered by ID.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.buckets.iter().flatten()
    }

    /// Returns the row of `vm`.
    pub fn get(&self, vm: VmId) -> Option<&MemberEntry> {
        let bucket = self.bucket(Self::bucket_of(vm));
        let index = bucket.binary_search_by_key(&vm, |entry| entry.vm).ok()?;
        Some(&bucket[index])
    }

    /// Stores a row, replacing an earlier one of the same member.
    pub fn put(&mut self, entry: MemberEntry) {
        let bucket_index = usize::from(Self::bucket_of(entry.vm));
        let bucket = &mut self.buckets[bucket_index];
        self.digests[bucket_index] ^= entry.digest();
        match bucket.binary_search_by_key(&entry.vm, |other| other.vm) {
            Ok(index) => {
                self.digests[bucket_index] ^= bucket[index].digest();
                bucket[index] = entry;
            }
            Err(index) => {
                if bucket.len() == bucket.capacity() {
                    bucket.reserve_exact(BUCKET_GROWTH_ROWS);
                }
                bucket.insert(index, entry);
                self.len += 1;
            }
        }
    }

    /// Removes the row of `vm`, if there is one.
    pub fn remove(&mut self, vm: VmId) {
        let bucket_index = usize::from(Self::bucket_of(vm));
        let bucket = &mut self.buckets[bucket_index];
        if let Ok(index) = bucket.binary_search_by_key(&vm, |other| other.vm) {
            self.digests[bucket_index] ^= bucket[index].digest();
            bucket.remove(index);
            self.len -= 1;
        }
    }

    /// Converts a target to its stored form, interning the name of its service.
    pub fn intern_target(&mut self, target: &TargetInfo, now: TimeUs) -> TargetEntry {
        TargetEntry {
            service: self.services.intern(&target.service),
            leaving: target.leaving,
            slots: target.slots,
            connections: target.connections,
            warm_up_ms: target.warm_up_ms,
            started_at_us: now.0 as i64 - i64::from(target.age_ms) * 1_000,
        }
    }

    /// Converts an entry to a row with resolved names and the given state.
    pub fn to_row(&self, entry: &MemberEntry, state: MemberState, zones: &ZoneTable, now: TimeUs) -> MemberRow {
        MemberRow {
            vm: entry.vm,
            incarnation: entry.incarnation,
            zone: zones.get(entry.zone).name.clone(),
            peer_address: entry.peer_address(),
            state,
            target: entry.target.as_ref().map(|target| self.to_target(target, now)),
        }
    }

    fn to_target(&self, target: &TargetEntry, now: TimeUs) -> TargetInfo {
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

    /// Returns the memory used by the rows and their buckets, in bytes.
    pub fn size_bytes(&self) -> usize {
        let rows: usize = self.buckets.iter().map(Vec::capacity).sum();
        rows * size_of::<MemberEntry>() + BUCKETS * (size_of::<Vec<MemberEntry>>() + size_of::<u32>())
    }
}
