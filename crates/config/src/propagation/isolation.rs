//! Whether a node's zone is in contact with the log and with other zones.

use fulmartrestle_core::TimeUs;
use fulmartrestle_derive::record;

use crate::fleet::RouteRow;
use crate::settings::IsolationSettings;

/// What the node's zone has lost contact with. A zone in contact with the log or with any other zone still
/// receives withdrawals of rights.
#[record]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Isolation {
    /// The zone is in contact with the log, directly or through other zones.
    Connected,
    /// The zone is in contact with other zones, but none of them with the log.
    LogOnlyLost {
        /// Time of the last contact with the log, on this node's clock.
        since: TimeUs,
    },
    /// The zone is in contact with neither the log nor another zone.
    Isolated {
        /// Time of the last contact with either, on this node's clock.
        since: TimeUs,
    },
}

impl Isolation {
    /// Returns whether calls of `route` may be served. An isolated zone refuses calls of at-most-once
    /// routes, because their claims need the log. It serves calls of other routes for as long as
    /// `settings` allows.
    pub fn permits(&self, route: &RouteRow, settings: &IsolationSettings, now: TimeUs) -> bool {
        let Self::Isolated { since } = self else { return true };
        let isolated_ms = now.ms_since(*since);
        if route.at_most_once {
            false
        } else if route.open_to_all {
            settings.open_calls_for_ms.is_none_or(|max_ms| isolated_ms <= max_ms)
        } else {
            isolated_ms <= settings.keyed_calls_for_ms
        }
    }

    /// Returns the name used in logs.
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
