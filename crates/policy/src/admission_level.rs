//! Share of a target's traffic that its gate admits, as it is attached to every response.

use fulmartrestle_core::{Class, Service, Tenant, number_newtype};
use fulmartrestle_derive::{record, value};

number_newtype!(
    /// A share in basis points (ten-thousandths). Thousandths would be too coarse for a tenant that sends a
    /// hundred times what can be admitted.
    BasisPoints,
    u16,
    "share in basis points"
);
number_newtype!(
    /// Short hash of a tenant's name, which keeps the encoded level small.
    TenantHash,
    u32,
    "tenant hash"
);

/// Maximum number of tenants listed in a level. Eight cover the tenants far beyond their fair share; the
/// others get the common share, and a longer list would cost bytes on every response.
pub const MAX_TENANT_SHARES: usize = 8;

impl BasisPoints {
    /// The full share, 100 %.
    pub const FULL: Self = Self(10_000);
    /// The zero share.
    pub const ZERO: Self = Self(0);

    /// Returns the share nearest to `fraction`, where `1.0` is the full share.
    pub fn from_fraction(fraction: f64) -> Self {
        Self((fraction.clamp(0.0, 1.0) * f64::from(Self::FULL.0)).round() as u16)
    }

    /// Returns the share as a fraction, where `1.0` is the full share.
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

/// Admitted shares of the two sheddable classes. Browsing is shed first: while any browsing is admitted,
/// all lookups are admitted.
#[value]
pub struct SheddableShares {
    /// Admitted share of browsing calls.
    pub browse: BasisPoints,
    /// Admitted share of lookup calls.
    pub lookup: BasisPoints,
}

impl Default for SheddableShares {
    fn default() -> Self {
        Self { browse: BasisPoints::FULL, lookup: BasisPoints::FULL }
    }
}

/// Admitted shares of one tenant.
#[value]
#[derive(Default)]
pub struct TenantShares {
    /// Hash of the tenant; zero in an unused entry.
    pub tenant: TenantHash,
    /// Admitted shares of the tenant's calls.
    pub shares: SheddableShares,
}

/// Admitted shares of one target. See `docs/ADMISSION.md`.
#[value]
pub struct AdmissionLevel {
    /// Admitted share of protected calls, below 100 % only when no other calls are admitted.
    pub protected: BasisPoints,
    /// Shares of all tenants that aren't listed.
    pub common: SheddableShares,
    /// Tenants with lower shares than the common ones, lowest first.
    pub tenants: [TenantShares; MAX_TENANT_SHARES],
    /// Calls offered to the target per second, the weight of this level among those of the service's
    /// targets.
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
    /// Returns whether calls of any class or tenant are shed.
    pub fn is_shedding(&self) -> bool {
        let has_full_common_shares = self.protected == BasisPoints::FULL && self.common == SheddableShares::default();
        !has_full_common_shares || self.listed_tenants().next().is_some()
    }

    /// Returns the tenants with shares of their own.
    pub fn listed_tenants(&self) -> impl Iterator<Item = &TenantShares> {
        self.tenants.iter().filter(|entry| entry.tenant != TenantHash::default())
    }

    /// Returns the shares of a tenant's sheddable calls.
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

/// Admission level of a service further down the chain, as a node reports it to its callers.
#[record]
#[derive(Eq)]
pub struct AdmissionLevelReport {
    /// Service that the level applies to.
    pub service: Service,
    /// Level merged from the service's targets.
    pub level: AdmissionLevel,
    /// Time since a target sent an update, in milliseconds. Forwarded reports keep their age, so that nodes
    /// can't keep an outdated level alive among themselves.
    pub age_ms: u64,
}
