//! Priority classes of routes.

use fulmartrestle_derive::value;

use crate::ParseError;

/// Priority of a route's calls under overload. `Browse` and `Lookup` calls are shed before any
/// `Protected` call. Within a tenant, `Browse` is shed before `Lookup`. Fairness between tenants takes
/// precedence over that order: a tenant that sends too many lookups must not displace another tenant's
/// browsing. See `docs/ADMISSION.md`.
#[value]
#[derive(Default)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Browsing, which is shed before the same tenant's lookups.
    #[default]
    Browse,
    /// Lookups of single records.
    Lookup,
    /// Pairings and certificates, which are shed only when no lower class is admitted.
    Protected,
}

impl Class {
    /// All classes, lowest priority first.
    pub const ALL: [Self; 3] = [Self::Browse, Self::Lookup, Self::Protected];

    /// Returns the class's index in [`Class::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the class's name in the configuration.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Browse => "browse",
            Self::Lookup => "lookup",
            Self::Protected => "protected",
        }
    }
}

impl std::fmt::Display for Class {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl std::str::FromStr for Class {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|class| class.as_str() == text);
        found.ok_or_else(|| ParseError::not_a("class", text))
    }
}
