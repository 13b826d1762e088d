//! Order in which requests are served.

use fulmartrestle_core::number_newtype;

number_newtype!(
    /// Urgency of a request; the lowest number is served first. The operator's priority is in the upper
    /// bits, so that no lower bits outweigh it. See `docs/ADMISSION.md`.
    Rank,
    u32,
    "rank"
);

/// Bits for the route's priority, which orders requests whose tenants have the same priority.
const ROUTE_PRIORITY_BITS: u32 = 8;

impl Rank {
    /// Rank of calls whose request is unknown. Refusing one wastes all the work done upstream of it.
    pub const HIGHEST: Self = Self(0);

    /// Returns the rank of a new request. `tenant` is the tenant's own priority, which takes precedence
    /// over the route's; the route's orders requests whose tenants have the same priority.
    pub const fn for_request(tenant: Option<u8>, route: u8) -> Self {
        let primary = match tenant {
            Some(tenant) => tenant,
            None => route,
        };
        Self(2 * (1 + ((primary as u32) << ROUTE_PRIORITY_BITS | route as u32)))
    }

    /// Returns the rank of calls that serve a request of this rank. They precede new requests of the same
    /// urgency, because work has been done for them.
    #[must_use]
    pub const fn for_child_call(self) -> Self {
        Self(self.0.saturating_sub(1) | 1)
    }
}
