//! The tenants of a route with the most bad and over-rate calls.

use fulmartrestle_core::Tenant;
use fulmartrestle_derive::record;

use crate::CallCounts;

/// Counts of the calls of one tenant.
#[record]
pub struct TenantCounts {
    /// The tenant.
    pub tenant: Tenant,
    /// Its calls. The counts are halved every hour.
    pub counts: CallCounts,
    /// Bad and over-rate calls that may belong to tenants that this one replaced. The tenant itself has at most
    /// this many more than `counts`.
    pub error: u32,
}

impl TenantCounts {
    /// Returns the number of bad and over-rate calls, by which tenants are sorted in reports.
    pub fn weight(&self) -> u64 {
        self.counts.bad_total() + u64::from(self.counts.over_rate)
    }
}

/// The tenants with the most bad and over-rate calls, tracked in bounded memory by the Space-Saving algorithm. A
/// tenant with more than `1 / limit` of the bad and over-rate calls of the route is always tracked.
#[derive(Clone, Debug)]
pub struct TopTenants {
    entries: Vec<TenantCounts>,
    limit: usize,
}

impl TopTenants {
    /// Returns an empty table of at most `limit` tenants.
    pub fn new(limit: usize) -> Self {
        Self { entries: Vec::new(), limit }
    }

    /// Returns the counts of `tenant`, or `None` if it isn't tracked. Good calls use this, so that they add no
    /// tenant to the table.
    pub fn get_mut(&mut self, tenant: &Tenant) -> Option<&mut CallCounts> {
        let entry = self.entries.iter_mut().find(|entry| entry.tenant == *tenant)?;
        Some(&mut entry.counts)
    }

    /// Returns the counts of `tenant`, after adding it to the table if needed. In a full table it replaces the
    /// tenant with the fewest bad and over-rate calls.
    pub fn get_or_insert(&mut self, tenant: &Tenant) -> Option<&mut CallCounts> {
        if let Some(index) = self.entries.iter().position(|entry| entry.tenant == *tenant) {
            return Some(&mut self.entries[index].counts);
        }
        let mut error = 0;
        if self.entries.len() >= self.limit {
            let lowest = (0..self.entries.len()).min_by_key(|index| self.entries[*index].weight_with_error())?;
            error = u32::try_from(self.entries[lowest].weight_with_error()).unwrap_or(u32::MAX);
            self.entries.swap_remove(lowest);
        }
        self.entries.push(TenantCounts { tenant: tenant.clone(), counts: CallCounts::default(), error });
        self.entries.last_mut().map(|entry| &mut entry.counts)
    }

    /// Returns the tracked tenants, in no particular order.
    pub fn entries(&self) -> &[TenantCounts] {
        &self.entries
    }

    /// Halves all counts and removes tenants without bad or over-rate calls.
    pub fn halve(&mut self) {
        for entry in &mut self.entries {
            entry.counts.halve();
            entry.error /= 2;
        }
        self.entries.retain(|entry| entry.weight_with_error() > 0);
    }

    /// Returns the heap memory in use, in bytes.
    pub fn heap_bytes(&self) -> usize {
        let names: usize = self.entries.iter().map(|entry| entry.tenant.as_str().len()).sum();
        self.entries.capacity() * size_of::<TenantCounts>() + names
    }
}

impl TenantCounts {
    /// Returns the weight plus the error, by which the Space-Saving algorithm selects the tenant to replace.
    fn weight_with_error(&self) -> u64 {
        self.weight() + u64::from(self.error)
    }
}
