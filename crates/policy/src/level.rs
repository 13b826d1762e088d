//! How much of a target's traffic its gate admits, as it rides on every answer.

use fulmartrestle_core::{Class, Tenant, number_newtype};
use fulmartrestle_derive::value;

number_newtype!(
    /// A share in thousandths.
    Permille,
    u16,
    "share in thousandths"
);
number_newtype!(
    /// Short hash of a tenant's name, so that a level stays small on the wire.
    TenantHash,
    u32,
    "tenant hash"
);

/// Most tenants that a level names. Eight cover the tenants far beyond their fair share; the rest
/// use the class's share, and a longer list would cost bytes on every answer.
pub const MAX_TENANT_SHARES: usize = 8;

impl Permille {
    /// The whole.
    pub const FULL: Self = Self(1_000);
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
    pub fn of(tenant: &Tenant) -> Self {
        const OFFSET: u32 = 0x811c_9dc5;
        const PRIME: u32 = 0x0100_0193;
        let hash = tenant.as_str().bytes().fold(OFFSET, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME));
        Self(hash)
    }
}

/// The admitted share of one tenant in the marginal class.
#[value]
#[derive(Default)]
pub struct TenantShare {
    /// The tenant; zero in an unused entry.
    pub tenant: TenantHash,
    /// The share of its calls that is admitted.
    pub share: Permille,
}

/// The admitted shares of one target. Classes are shed in order: at most one class, the marginal
/// one, has a share between nothing and the whole. See `docs/ADMISSION.md`.
#[value]
pub struct AdmissionLevel {
    /// The admitted share of each class, in the order of [`Class::ALL`]. In the marginal class it
    /// holds for the tenants that aren't listed.
    pub classes: [Permille; 3],
    /// The class that is shed in part: those below are shed whole, those above admitted whole.
    pub marginal: Class,
    /// Tenants whose share in the marginal class differs, lowest share first.
    pub tenants: [TenantShare; MAX_TENANT_SHARES],
    /// Calls offered to the target per second, the weight of this level among the service's targets.
    pub offered_per_s: u32,
}

impl Default for AdmissionLevel {
    fn default() -> Self {
        Self {
            classes: [Permille::FULL; 3],
            marginal: Class::Browse,
            tenants: [TenantShare::default(); MAX_TENANT_SHARES],
            offered_per_s: 0,
        }
    }
}

impl AdmissionLevel {
    /// Returns whether calls of some class or tenant are shed.
    pub fn sheds(&self) -> bool {
        let listed = self.tenants.iter().any(|entry| entry.tenant != TenantHash::default());
        listed || self.classes.iter().any(|share| *share != Permille::FULL)
    }

    /// Returns the admitted share of a tenant's calls of one class.
    pub fn share(&self, class: Class, tenant: TenantHash) -> Permille {
        let of_class = self.classes[class.index()];
        if self.marginal != class {
            return of_class;
        }
        let listed = self.tenants.iter().find(|entry| entry.tenant == tenant);
        listed.map_or(of_class, |entry| entry.share)
    }
}
