//! The order in which requests are served.

use fulmartrestle_core::number_newtype;

number_newtype!(
    /// Urgency of a request; the smallest number goes first. The operator's priority is the upper part,
    /// so that no lower part outweighs it. See `docs/ADMISSION.md`.
    Rank,
    u32,
    "rank"
);

/// Bits below the priorities, in which requests of one priority are spread.
const SPREAD_BITS: u32 = 8;

impl Rank {
    /// Calls whose request is not known. Refusing one wastes all the work above it.
    pub const HIGHEST: Self = Self(0);

    /// Returns the rank of a new request. `tenant` is the tenant's own priority, which goes before the
    /// route's; the route's orders requests of one tenant priority.
    pub const fn for_request(tenant: Option<u8>, route: u8) -> Self {
        let first = match tenant {
            Some(tenant) => tenant,
            None => route,
        };
        Self(2 * (1 + ((first as u32) << SPREAD_BITS | route as u32)))
    }

    /// Returns the rank of calls that serve a request of this rank: before new requests of the same
    /// urgency, because work was done for them.
    #[must_use]
    pub const fn for_child_call(self) -> Self {
        Self(self.0.saturating_sub(1) | 1)
    }
}
