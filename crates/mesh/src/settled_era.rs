//! The last era in which the store is known to hold all that its writers have written again. See `docs/FORMATS.md`.
//!
//! Load pattern: all nodes start while the store has just come back from an older copy. None of them has seen the era before,
//! and the older copy names an earlier one as settled.

use fulmartrestle_core::{LogEra, lock};
use fulmartrestle_platform_log::KeyedRecord;

use crate::event_log::LogLine;
use crate::state::MeshState;

/// Key of the record among the nodes' registrations. Builds that don't know it pass over keys that are no address.
const KEY: &str = "settled-era";

/// Returns the record that names `era` as settled.
pub fn settled_era_record(era: LogEra) -> Vec<u8> {
    KeyedRecord::encode(KEY, era.0.to_string().as_bytes())
}

/// Applies the settled era among the records of the nodes' stream. One that can't be read counts as missing.
pub fn apply_settled_era(state: &MeshState, records: &[KeyedRecord]) {
    let Some(record) = records.iter().find(|record| record.key == KEY) else { return };
    let era = std::str::from_utf8(&record.value).ok().and_then(|text| text.parse().ok()).map(LogEra);
    if era.is_none() {
        let value = String::from_utf8_lossy(&record.value);
        state.log(LogLine::new("settled_era_unreadable").text("value", value));
    }
    *lock(&state.settled_era) = era;
}
