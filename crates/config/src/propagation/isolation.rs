//! Whether a node's zone hears the log and other zones.

use fulmartrestle_core::TimeUs;
use fulmartrestle_derive::record;

use crate::fleet::RouteRow;
use crate::settings::IsolationSettings;

/// What the node's zone has lost contact with. A zone that hears the log or any other zone still
/// learns of withdrawals.
#[record]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Isolation {
    /// The zone hears the log, itself or through others.
    Connected,
    /// The zone hears other zones, but none of them hears the log.
    LogOnlyLost {
        /// When the log was last heard, on this node's clock.
        since: TimeUs,
    },
    /// The zone hears neither the log nor another zone.
    Isolated {
        /// When either was last heard, on this node's clock.
        since: TimeUs,
    },
}

impl Isolation {
    /// Returns whether calls of `route` go on. In an isolated zone at-most-once routes are refused,
    /// because their claims need the log; the others go on for as long as the settings say.
    pub fn permits(&self, route: &RouteRow, settings: &IsolationSettings, now: TimeUs) -> bool {
        let Self::Isolated { since } = self else { return true };
        let isolated_ms = now.ms_since(*since);
        if route.at_most_once {
            false
        } else if route.open_to_all {
            settings.open_calls_for_ms.is_none_or(|bound_ms| isolated_ms <= bound_ms)
        } else {
            isolated_ms <= settings.keyed_calls_for_ms
        }
    }

    /// Returns a name for status and logs.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Connected => "connected",
            Self::LogOnlyLost { .. } => "log lost",
            Self::Isolated { .. } => "isolated",
        }
    }
}

impl std::fmt::Display for Isolation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}
