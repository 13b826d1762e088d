//! Planned stops of targets.

use std::net::SocketAddr;

use fulmartrestle_core::{AvailabilityZone, Service, text_id};
use fulmartrestle_derive::record;

use super::Row;

text_id!(
    /// Identifies a planned stop.
    StopId,
    "stop id"
);

/// Selects the targets of a planned stop.
#[record]
#[derive(Eq)]
#[serde(rename_all = "snake_case")]
pub enum StopScope {
    /// All targets of a service.
    Service(Service),
    /// All targets in a zone.
    Zone(AvailabilityZone),
    /// The target that announced this address.
    Target(SocketAddr),
}

impl std::fmt::Display for StopScope {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Service(service) => write!(formatter, "service {service}"),
            Self::Zone(zone) => write!(formatter, "zone {zone}"),
            Self::Target(address) => write!(formatter, "target {address}"),
        }
    }
}

/// A planned stop: from its time on, its targets receive no new requests.
#[record]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct StopRow {
    /// The stop's id.
    pub stop: StopId,
    /// The targets that stop.
    pub scope: StopScope,
    /// When the targets stop, in milliseconds since the Unix epoch.
    pub at_unix_ms: i64,
    /// The IANA time zone in which the operator stated the time.
    pub time_zone: String,
    /// The local time with its UTC offset and time zone, for example
    /// `2026-03-29T03:30:00+02:00[Europe/Rome]`.
    pub local_time: String,
}

impl StopRow {
    /// Returns whether the time of the stop has come.
    pub const fn is_due(&self, now_unix_ms: i64) -> bool {
        now_unix_ms >= self.at_unix_ms
    }

    /// Returns the time in UTC, for example `2026-03-29T01:30:00Z`. A time that is out of range is returned in
    /// milliseconds since the Unix epoch.
    pub fn utc_time(&self) -> String {
        let timestamp = jiff::Timestamp::from_millisecond(self.at_unix_ms);
        timestamp.map_or_else(|_| format!("{} ms", self.at_unix_ms), |timestamp| timestamp.to_string())
    }
}

impl Row for StopRow {
    type Key = StopId;

    fn key(&self) -> &StopId {
        &self.stop
    }
}
