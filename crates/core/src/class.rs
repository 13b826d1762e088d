//! The importance of a route.

use fulmartrestle_derive::value;

use crate::ParseError;

/// How important a route's calls are. Browsing and lookups are shed before anything protected. Between
/// the two, a tenant's own browsing goes before its lookups, but fairness between tenants comes first:
/// a tenant that sends too many lookups must not push out another's browsing. See `docs/ADMISSION.md`.
#[value]
#[derive(Default)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Browsing: shed before the same tenant's lookups.
    #[default]
    Browse,
    /// Lookups of single records.
    Lookup,
    /// Pairings and certificates: shed only when no lower class is admitted.
    Protected,
}

impl Class {
    /// All classes, least important first.
    pub const ALL: [Self; 3] = [Self::Browse, Self::Lookup, Self::Protected];

    /// Returns the class's place in [`Class::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the class's name as it is written in configuration.
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
