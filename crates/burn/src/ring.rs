//! Ring buffer of time buckets.

use crate::CallCounts;

/// Call counts in a fixed number of time buckets of equal width, so that memory doesn't grow with time or calls.
#[derive(Clone, Debug)]
pub struct Ring {
    bucket_ms: u64,
    newest_index: u64,
    buckets: Box<[CallCounts]>,
}

impl Ring {
    /// Returns an empty ring of `len` buckets of `bucket_ms` milliseconds each.
    pub fn new(bucket_ms: u64, len: usize) -> Self {
        Self { bucket_ms, newest_index: 0, buckets: vec![CallCounts::default(); len].into_boxed_slice() }
    }

    /// Returns the counts of the bucket that covers `wall_ms`, after clearing the buckets that it replaces.
    pub fn bucket_mut(&mut self, wall_ms: u64) -> &mut CallCounts {
        let index = wall_ms / self.bucket_ms;
        self.advance_to(index);
        let position = self.position(index);
        &mut self.buckets[position]
    }

    /// Returns the sum of the last `count` buckets, up to and including the one that covers `wall_ms`.
    pub fn sum_last(&self, wall_ms: u64, count: u64) -> CallCounts {
        let mut sum = CallCounts::default();
        let last = wall_ms / self.bucket_ms;
        for index in last.saturating_sub(count.saturating_sub(1))..=last {
            sum.add(&self.bucket(index));
        }
        sum
    }

    /// Returns the counts of the bucket with this index since the Unix epoch; zero if it is no longer held.
    pub fn bucket(&self, index: u64) -> CallCounts {
        let is_held = index <= self.newest_index && index + self.buckets.len() as u64 > self.newest_index;
        if is_held { self.buckets[self.position(index)] } else { CallCounts::default() }
    }

    /// Advances the ring to the bucket `index` and clears the buckets in between. Clears the whole ring if
    /// `index` is at least the ring's length away, for example because the wall clock was set back.
    fn advance_to(&mut self, index: u64) {
        let len = self.buckets.len() as u64;
        if index + len <= self.newest_index || index >= self.newest_index + len {
            self.buckets.fill(CallCounts::default());
            self.newest_index = index;
        }
        while self.newest_index < index {
            self.newest_index += 1;
            let position = self.position(self.newest_index);
            self.buckets[position] = CallCounts::default();
        }
    }

    /// Returns the position of a bucket in the buffer.
    fn position(&self, index: u64) -> usize {
        (index % self.buckets.len() as u64) as usize
    }

    /// Returns the heap memory in use, in bytes.
    pub fn heap_bytes(&self) -> usize {
        self.buckets.len() * size_of::<CallCounts>()
    }
}
