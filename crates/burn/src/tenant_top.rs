//! The tenants of a route with the most bad calls.

use fulmartrestle_core::Tenant;
use fulmartrestle_derive::record;

use crate::Counts;

/// What one tenant's calls came to.
#[record]
pub struct TenantBurn {
    /// The tenant.
    pub tenant: Tenant,
    /// Its calls; those of an hour ago weigh half.
    pub counts: Counts,
    /// Bad and over-rate calls that may belong to tenants whose place this one took.
    pub error: u32,
}

impl TenantBurn {
    /// Returns the calls that this tenant is ranked by.
    pub fn weight(&self) -> u64 {
        self.counts.bad_total() + u64::from(self.counts.over_rate)
    }
}

/// A bounded list after the Space-Saving algorithm: a tenant with more than one `limit`-th of the
/// route's bad calls is always on it.
#[derive(Clone, Debug)]
pub struct TenantTop {
    entries: Vec<TenantBurn>,
    limit: usize,
}

impl TenantTop {
    /// Returns an empty list of at most `limit` tenants.
    pub fn new(limit: usize) -> Self {
        Self { entries: Vec::new(), limit }
    }

    /// Returns the counts of `tenant` for a good call, absent when it isn't on the list.
    pub fn known(&mut self, tenant: &Tenant) -> Option<&mut Counts> {
        let entry = self.entries.iter_mut().find(|entry| entry.tenant == *tenant)?;
        Some(&mut entry.counts)
    }

    /// Returns the counts of `tenant` for a bad call. When the list is full, the tenant with the
    /// fewest bad calls gives up its place.
    pub fn admit(&mut self, tenant: &Tenant) -> Option<&mut Counts> {
        if let Some(index) = self.entries.iter().position(|entry| entry.tenant == *tenant) {
            return Some(&mut self.entries[index].counts);
        }
        let mut error = 0;
        if self.entries.len() >= self.limit {
            let least = (0..self.entries.len()).min_by_key(|index| self.entries[*index].rank())?;
            error = u32::try_from(self.entries[least].rank()).unwrap_or(u32::MAX);
            self.entries.swap_remove(least);
        }
        self.entries.push(TenantBurn { tenant: tenant.clone(), counts: Counts::default(), error });
        self.entries.last_mut().map(|entry| &mut entry.counts)
    }

    /// Returns the list.
    pub fn entries(&self) -> &[TenantBurn] {
        &self.entries
    }

    /// Halves all counts and drops tenants without any.
    pub fn halve(&mut self) {
        for entry in &mut self.entries {
            entry.counts.halve();
            entry.error /= 2;
        }
        self.entries.retain(|entry| entry.rank() > 0);
    }

    /// Returns the bytes held on the heap.
    pub fn size_bytes(&self) -> usize {
        let names: usize = self.entries.iter().map(|entry| entry.tenant.as_str().len()).sum();
        self.entries.capacity() * size_of::<TenantBurn>() + names
    }
}

impl TenantBurn {
    fn rank(&self) -> u64 {
        self.weight() + u64::from(self.error)
    }
}
