//! A fixed number of time buckets.

use crate::Counts;

/// Counts in buckets of equal width. Memory doesn't grow with time or with calls.
#[derive(Clone, Debug)]
pub struct Ring {
    width_ms: u64,
    newest: u64,
    buckets: Box<[Counts]>,
}

impl Ring {
    /// Returns an empty ring of `len` buckets of `width_ms` milliseconds.
    pub fn new(width_ms: u64, len: usize) -> Self {
        Self { width_ms, newest: 0, buckets: vec![Counts::default(); len].into_boxed_slice() }
    }

    /// Returns the counts of the bucket at `wall_ms` for change.
    pub fn at(&mut self, wall_ms: u64) -> &mut Counts {
        let index = wall_ms / self.width_ms;
        self.move_to(index);
        let place = self.place(index);
        &mut self.buckets[place]
    }

    /// Returns the sum of the last `count` buckets up to `wall_ms`, the running one included.
    pub fn sum(&self, wall_ms: u64, count: u64) -> Counts {
        let mut sum = Counts::default();
        let last = wall_ms / self.width_ms;
        for index in last.saturating_sub(count.saturating_sub(1))..=last {
            sum.add(&self.get(index));
        }
        sum
    }

    /// Returns the counts of one bucket, zero when it isn't held.
    pub fn get(&self, index: u64) -> Counts {
        let is_held = index <= self.newest && index + self.buckets.len() as u64 > self.newest;
        if is_held { self.buckets[self.place(index)] } else { Counts::default() }
    }

    /// Clears the buckets between the newest and `index`. A wall clock that was set back by more than
    /// the ring's length starts it anew.
    fn move_to(&mut self, index: u64) {
        let len = self.buckets.len() as u64;
        if index + len <= self.newest || index >= self.newest + len {
            self.buckets.fill(Counts::default());
            self.newest = index;
        }
        while self.newest < index {
            self.newest += 1;
            let place = self.place(self.newest);
            self.buckets[place] = Counts::default();
        }
    }

    fn place(&self, index: u64) -> usize {
        (index % self.buckets.len() as u64) as usize
    }

    /// Returns the bytes held on the heap.
    pub fn size_bytes(&self) -> usize {
        self.buckets.len() * size_of::<Counts>()
    }
}
