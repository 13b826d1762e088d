//! How much of a target's traffic its gate admits, as it rides on every answer.

use fulmartrestle_core::{Class, Service, Tenant, number_newtype};
use fulmartrestle_derive::{record, value};

number_newtype!(
    /// A share in ten-thousandths. Thousandths would be too coarse for a tenant that sends a hundred
    /// times what can be admitted.
    BasisPoints,
    u16,
    "share in basis points"
);
number_newtype!(
    /// Short hash of a tenant's name, so that a level stays small on the wire.
    TenantHash,
    u32,
    "tenant hash"
);

/// Most tenants that a level names. Eight cover the tenants far beyond their fair share; the rest
/// use the common share, and a longer list would cost bytes on every answer.
pub const MAX_TENANT_SHARES: usize = 8;

impl BasisPoints {
    /// The whole.
    pub const FULL: Self = Self(10_000);
    /// Nothing.
    pub const ZERO: Self = Self(0);

    /// Returns the nearest share to `part`, where `1.0` is the whole.
    pub fn from_fraction(part: f64) -> Self {
        Self((part.clamp(0.0, 1.0) * f64::from(Self::FULL.0)).round() as u16)
    }

    /// Returns the share as a fraction, where `1.0` is the whole.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Self::FULL.0)
    }
}

impl TenantHash {
    /// Hashes a tenant's name with 32-bit FNV-1a, which is stable between processes.
    pub fn from_tenant(tenant: &Tenant) -> Self {
        const OFFSET: u32 = 0x811c_9dc5;
        const PRIME: u32 = 0x0100_0193;
        let hash = tenant.as_str().bytes().fold(OFFSET, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME));
        Self(hash)
    }
}

/// The admitted shares of the two classes that may be shed. Browsing is cut first: while some of it
/// is admitted, lookups are admitted whole.
#[value]
pub struct SheddableShares {
    /// The admitted share of browsing.
    pub browse: BasisPoints,
    /// The admitted share of lookups.
    pub lookup: BasisPoints,
}

impl Default for SheddableShares {
    fn default() -> Self {
        Self { browse: BasisPoints::FULL, lookup: BasisPoints::FULL }
    }
}

/// The admitted shares of one tenant.
#[value]
#[derive(Default)]
pub struct TenantShares {
    /// The tenant; zero in an unused entry.
    pub tenant: TenantHash,
    /// The shares of its calls that are admitted.
    pub shares: SheddableShares,
}

/// The admitted shares of one target. See `docs/ADMISSION.md`.
#[value]
pub struct AdmissionLevel {
    /// The admitted share of protected calls, below the whole only when nothing else is admitted.
    pub protected: BasisPoints,
    /// The shares of all tenants that aren't listed.
    pub common: SheddableShares,
    /// Tenants whose shares are lower, lowest first.
    pub tenants: [TenantShares; MAX_TENANT_SHARES],
    /// Calls offered to the target per second, the weight of this level among the service's targets.
    pub offered_per_s: u32,
}

impl Default for AdmissionLevel {
    fn default() -> Self {
        Self {
            protected: BasisPoints::FULL,
            common: SheddableShares::default(),
            tenants: [TenantShares::default(); MAX_TENANT_SHARES],
            offered_per_s: 0,
        }
    }
}

impl AdmissionLevel {
    /// Returns whether calls of some class or tenant are shed.
    pub fn is_shedding(&self) -> bool {
        let whole = self.protected == BasisPoints::FULL && self.common == SheddableShares::default();
        !whole || self.listed_tenants().next().is_some()
    }

    /// Returns the tenants that are listed.
    pub fn listed_tenants(&self) -> impl Iterator<Item = &TenantShares> {
        self.tenants.iter().filter(|entry| entry.tenant != TenantHash::default())
    }

    /// Returns the shares of a tenant's calls that may be shed.
    pub fn sheddable_shares(&self, tenant: TenantHash) -> SheddableShares {
        self.listed_tenants().find(|entry| entry.tenant == tenant).map_or(self.common, |entry| entry.shares)
    }

    /// Returns the admitted share of a tenant's calls of one class.
    pub fn admitted_share(&self, class: Class, tenant: TenantHash) -> BasisPoints {
        match class {
            Class::Protected => self.protected,
            Class::Lookup => self.sheddable_shares(tenant).lookup,
            Class::Browse => self.sheddable_shares(tenant).browse,
        }
    }
}

/// What a node knows of a service further down the chain, as it tells its callers.
#[record]
#[derive(Eq)]
pub struct AdmissionLevelReport {
    /// The service.
    pub service: Service,
    /// The level, put together from the service's targets.
    pub level: AdmissionLevel,
    /// How long ago a target sent news of it, in milliseconds. Reports that go round keep their age,
    /// so that nodes can't keep an old level alive among themselves.
    pub age_ms: u64,
}
