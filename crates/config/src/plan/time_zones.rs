//! Local times in named time zones.

use jiff::civil::DateTime;
use jiff::tz::{AmbiguousOffset, TimeZone, TimeZoneDatabase};

use super::PlanFault;

/// A local time that exists exactly once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedTime {
    /// Milliseconds since 1970 in UTC.
    pub unix_ms: i64,
    /// The local time with its offset and zone.
    pub local: String,
}

/// The rules of all named time zones. A time is resolved once, when the plan is made; readers of
/// the plan take the resolved time, so that nodes with other rules can't disagree.
#[derive(Clone, Debug)]
pub struct TimeZones {
    database: TimeZoneDatabase,
}

impl TimeZones {
    /// Uses the rules that are installed on this machine. They are read from its files.
    pub fn from_system() -> Self {
        Self { database: TimeZoneDatabase::from_env() }
    }

    /// Resolves a local time in a named time zone.
    ///
    /// # Errors
    ///
    /// Returns a fault when the time can't be read, the zone is unknown, or the local time is
    /// skipped or repeated by a change of the zone's offset; then both readings are named.
    pub fn resolve(&self, local_time: &str, time_zone: &str) -> Result<ResolvedTime, PlanFault> {
        let civil: DateTime = local_time
            .parse()
            .map_err(|_| PlanFault::invalid("local_time", local_time, "expected YYYY-MM-DDTHH:MM"))?;
        let zone = self
            .database
            .get(time_zone)
            .map_err(|_| PlanFault::invalid("time_zone", time_zone, "unknown time zone"))?;
        let ambiguous = zone.to_ambiguous_zoned(civil);
        let offsets = match ambiguous.offset() {
            AmbiguousOffset::Unambiguous { .. } => None,
            AmbiguousOffset::Gap { before, after } => Some((true, before, after)),
            AmbiguousOffset::Fold { before, after } => Some((false, before, after)),
        };
        let Some((skipped, before, after)) = offsets else {
            let zoned =
                ambiguous.unambiguous().map_err(|_| PlanFault::invalid("local_time", local_time, "out of range"))?;
            return Ok(ResolvedTime { unix_ms: zoned.timestamp().as_millisecond(), local: zoned.to_string() });
        };
        let reading = |offset: jiff::tz::Offset| match offset.to_timestamp(civil) {
            Ok(timestamp) => describe(timestamp, &zone),
            Err(_) => "out of range".to_owned(),
        };
        let (time, zone_name) = (local_time.to_owned(), time_zone.to_owned());
        Err(if skipped {
            PlanFault::LocalTimeSkipped(time, zone_name, reading(before), reading(after))
        } else {
            PlanFault::LocalTimeRepeated(time, zone_name, reading(before), reading(after))
        })
    }
}

/// Returns a time as UTC and as the zone's local time.
fn describe(timestamp: jiff::Timestamp, zone: &TimeZone) -> String {
    format!("{timestamp} ({})", timestamp.to_zoned(zone.clone()))
}
