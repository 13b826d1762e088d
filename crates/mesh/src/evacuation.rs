//! Applies the operator's evacuation of zones on this node. See `docs/design/zone-evacuation.md`.

use std::collections::BTreeSet;

use fulmartrestle_core::{AvailabilityZone, LogEra, LogOffset, TimeUs, lock};
use fulmartrestle_platform_log::KeyedRecord;
use fulmartrestle_policy::{EvacuationRecord, EvacuationReport, EvacuationState};

use crate::event_log::LogLine;
use crate::state::MeshState;

/// Longest part of a record's value in a log line, in bytes.
const MAX_LOGGED_VALUE_BYTES: usize = 200;

/// The evacuated zones as this node knows them, and those that it has applied.
#[derive(Debug, Default)]
pub struct Evacuation {
    state: EvacuationState,
    applied: BTreeSet<AvailabilityZone>,
    must_read: bool,
}

impl Evacuation {
    /// Returns the state for the other nodes.
    pub fn report(&self, now: TimeUs) -> Option<EvacuationReport> {
        self.state.report(now)
    }

    /// Returns whether another node knows more than its message could hold, so that the store has to be read.
    pub fn must_read(&self) -> bool {
        self.must_read
    }
}

/// Applies records that were read in their order. `prefix` is that of the keys of evacuations. `end_offset` is the end of
/// the stream if the read has reached it.
pub fn apply_evacuation_records(
    state: &MeshState,
    prefix: &str,
    era: LogEra,
    records: &[KeyedRecord],
    end_offset: Option<LogOffset>,
) {
    update(state, "store", |evacuation, now| {
        for record in records {
            let Some(zone) = decode_zone(state, prefix, record) else { continue };
            let record = EvacuationRecord { era, offset: record.offset, zone, evacuated: !record.value.is_empty() };
            evacuation.state.apply_record(&record, now);
        }
        if let Some(end_offset) = end_offset.filter(|_| evacuation.must_read) {
            evacuation.must_read = false;
            evacuation.state.record_end(era, end_offset);
        }
    });
}

/// Applies the latest records of all keys, which were read up to `end_offset`.
pub fn apply_evacuation_listing(
    state: &MeshState,
    prefix: &str,
    era: LogEra,
    end_offset: LogOffset,
    records: &[KeyedRecord],
) {
    update(state, "store", |evacuation, now| {
        evacuation.must_read = false;
        let present = records.iter().filter(|record| !record.value.is_empty());
        let zones = present.filter_map(|record| decode_zone(state, prefix, record)).collect();
        evacuation.state.apply_listing(era, end_offset, &zones, now);
    });
}

/// Merges what another node knows. A change is passed on at once.
pub fn merge_evacuation(state: &MeshState, report: &EvacuationReport) {
    update(state, "peer", |evacuation, now| {
        let was_used = evacuation.state.report(now).is_some();
        if evacuation.state.merge(report, now) && !evacuation.must_read {
            evacuation.must_read = true;
            state.store_due.notify_one();
        }
        if !was_used {
            // The other node may have an older state, so this one starts to send its own.
            state.status_due.notify_one();
        }
    });
}

/// Ends the evacuation of zones whose records the operator has not written again in a new era.
pub fn refresh_evacuation(state: &MeshState) {
    update(state, "rewrite time", |_, _| {});
}

/// Changes the state, and applies the difference to the choice of targets and to the gate. The lock is held until both
/// have it, so that two changes are applied in their order.
fn update(state: &MeshState, source: &str, change: impl FnOnce(&mut Evacuation, TimeUs)) {
    let mut evacuation = lock(&state.evacuation);
    let now = state.now();
    change(&mut evacuation, now);
    let zones = evacuation.state.evacuated_zones(now);
    state.metrics.set_gauge("evacuated_zones", zones.len() as u64);
    if zones == evacuation.applied {
        return;
    }
    lock(&state.load_balancer).set_evacuated(zones.clone());
    state.gate.set_evacuated(zones.contains(&state.settings().availability_zone));
    let (era, offset) = evacuation.state.last_offset();
    let log = |event, zone: &AvailabilityZone| {
        let line = LogLine::new(event).text("zone", zone).number("offset", offset.0).number("era", era.0);
        state.log(line.text("source", source));
    };
    zones.difference(&evacuation.applied).for_each(|zone| log("zone_evacuated", zone));
    evacuation.applied.difference(&zones).for_each(|zone| log("zone_taken_back", zone));
    evacuation.applied = zones;
    state.status_due.notify_one();
}

/// Returns the zone that a record is about, or `None` if it is not about an evacuation or its name cannot be that of a
/// zone. The key alone names the zone, so an unexpected value still evacuates it.
fn decode_zone(state: &MeshState, prefix: &str, record: &KeyedRecord) -> Option<AvailabilityZone> {
    let name = record.key.strip_prefix(prefix)?;
    let log = |event| {
        let shown = &record.value[..record.value.len().min(MAX_LOGGED_VALUE_BYTES)];
        let line = LogLine::new(event).text("key", &record.key).text("value", String::from_utf8_lossy(shown));
        state.log(line.number("offset", record.offset.0));
    };
    let is_object = serde_json::from_slice::<serde_json::Map<String, serde_json::Value>>(&record.value).is_ok();
    if !record.value.is_empty() && !is_object {
        log("evacuation_value_unreadable");
    }
    let zone: Option<AvailabilityZone> = name.parse().ok();
    let is_known = zone
        .as_ref()
        .is_some_and(|zone| *zone == state.settings().availability_zone || lock(&state.peers).may_have_nodes_in(zone));
    if !is_known {
        log("evacuation_zone_without_nodes");
    }
    zone
}
