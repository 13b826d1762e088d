//! The rights that other nodes have leased to this one for one shard.

use std::collections::HashMap;

use fulmartrestle_core::{TimeUs, VmId};

/// Rights to issue tokens for one shard. The tokens that they have yielded are counted in node-microseconds: the
/// time for which a right was held, summed over all rights.
#[derive(Debug, Default)]
pub struct LeasedRights {
    leases: HashMap<VmId, TimeUs>,
    own: bool,
    held_node_us: u64,
    counted_until: TimeUs,
}

impl LeasedRights {
    /// Records a lease of `lessor`, which ends at `until`. An earlier end than the known one has no effect.
    pub fn record_lease(&mut self, lessor: VmId, until: TimeUs, now: TimeUs) {
        self.advance(now);
        if until > now {
            let known = self.leases.entry(lessor).or_insert(until);
            *known = until.max(*known);
        }
    }

    /// Removes the lease of a lessor whose process has ended.
    pub fn remove(&mut self, lessor: VmId, now: TimeUs) {
        self.advance(now);
        self.leases.remove(&lessor);
    }

    /// Sets whether this node uses its own right.
    pub fn set_own(&mut self, own: bool, now: TimeUs) {
        self.advance(now);
        self.own = own;
    }

    /// Counts the time up to `now`, and drops the leases that have ended.
    pub fn advance(&mut self, now: TimeUs) {
        let counted_until = self.counted_until;
        if now <= counted_until {
            return;
        }
        let leased_us: u64 = self.leases.values().map(|until| (*until).min(now).us_since(counted_until)).sum();
        let own_us = if self.own { now.us_since(counted_until) } else { 0 };
        self.held_node_us += leased_us + own_us;
        self.leases.retain(|_, until| *until > now);
        self.counted_until = now;
    }

    /// Returns the number of rights held at the last [`LeasedRights::advance`].
    pub fn count(&self) -> usize {
        self.leases.len() + usize::from(self.own)
    }

    /// Returns the time for which rights have been held, summed over all of them, in microseconds.
    pub fn held_node_us(&self) -> u64 {
        self.held_node_us
    }
}
