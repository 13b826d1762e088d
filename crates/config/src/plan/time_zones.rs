//! Conversion of local times in named time zones.

use jiff::civil::DateTime;
use jiff::tz::{AmbiguousOffset, TimeZone, TimeZoneDatabase};

use super::PlanErrorKind;

/// A point in time that a local time resolves to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedTime {
    /// Milliseconds since the Unix epoch.
    pub unix_ms: i64,
    /// The local time with its UTC offset and time zone.
    pub local: String,
}

/// The rules of all named time zones. A local time is resolved once, when the plan is created. Readers of the plan use
/// the resolved time, so that nodes with different rules can't disagree.
#[derive(Clone, Debug)]
pub struct TimeZones {
    database: TimeZoneDatabase,
}

impl TimeZones {
    /// Reads the time zone rules that are installed on this machine.
    pub fn from_system() -> Self {
        Self { database: TimeZoneDatabase::from_env() }
    }

    /// Resolves a local time in a named time zone.
    ///
    /// # Errors
    ///
    /// Returns an error if the time can't be parsed, the time zone is unknown, or a change of the UTC offset skips or
    /// repeats the local time. In the last case the error states both possible times.
    pub fn resolve(&self, local_time: &str, time_zone: &str) -> Result<ResolvedTime, PlanErrorKind> {
        let civil: DateTime = local_time
            .parse()
            .map_err(|_| PlanErrorKind::invalid("local_time", local_time, "expected YYYY-MM-DDTHH:MM"))?;
        let zone = self
            .database
            .get(time_zone)
            .map_err(|_| PlanErrorKind::invalid("time_zone", time_zone, "unknown time zone"))?;
        let ambiguous = zone.to_ambiguous_zoned(civil);
        let offsets = match ambiguous.offset() {
            AmbiguousOffset::Unambiguous { .. } => None,
            AmbiguousOffset::Gap { before, after } => Some((true, before, after)),
            AmbiguousOffset::Fold { before, after } => Some((false, before, after)),
        };
        let Some((is_skipped, before, after)) = offsets else {
            let zoned = ambiguous
                .unambiguous()
                .map_err(|_| PlanErrorKind::invalid("local_time", local_time, "out of range"))?;
            return Ok(ResolvedTime { unix_ms: zoned.timestamp().as_millisecond(), local: zoned.to_string() });
        };
        let interpretation = |offset: jiff::tz::Offset| match offset.to_timestamp(civil) {
            Ok(timestamp) => format_time(timestamp, &zone),
            Err(_) => "out of range".to_owned(),
        };
        let (time, zone_name) = (local_time.to_owned(), time_zone.to_owned());
        Err(if is_skipped {
            PlanErrorKind::LocalTimeSkipped(time, zone_name, interpretation(before), interpretation(after))
        } else {
            PlanErrorKind::LocalTimeRepeated(time, zone_name, interpretation(before), interpretation(after))
        })
    }
}

/// Formats a time in UTC and in local time.
fn format_time(timestamp: jiff::Timestamp, zone: &TimeZone) -> String {
    format!("{timestamp} ({})", timestamp.to_zoned(zone.clone()))
}
