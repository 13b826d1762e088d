//! Which zones are evacuated, from the operator's records and from what other nodes have read of them. See
//! `docs/design/zone-evacuation.md`.
//!
//! Load pattern: an operator moves all traffic out of a zone, and a few readers of the store spread the news. Messages
//! arrive late and out of order, nodes are paused or partitioned, and the store may come back from an older copy.
//! States are therefore ordered by the store's era and offset, and a zone whose record may only be lost stays evacuated
//! until the operator had time to write it again.

use std::collections::{BTreeMap, BTreeSet};

use fulmartrestle_core::{AvailabilityZone, LogEra, LogOffset, TimeUs};
use fulmartrestle_derive::local;

use crate::EvacuationReport;

/// Time for the operator to write again what the store has lost, in milliseconds.
const REWRITE_TIME_MS: u64 = 2_500;

/// An evacuation record of the operator.
#[local]
pub struct EvacuationRecord {
    /// Era of the store in which the record was read.
    pub era: LogEra,
    /// Offset of the record.
    pub offset: LogOffset,
    /// The zone.
    pub zone: AvailabilityZone,
    /// Whether the zone is evacuated; otherwise its evacuation is reverted.
    pub evacuated: bool,
}

/// What is known about a zone in the current era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ZoneState {
    /// The newest record evacuates the zone.
    Evacuated,
    /// The evacuation was reverted in this era. This is kept so that a zone carried over by another node has no effect.
    TakenBack,
    /// The zone was evacuated in an earlier era, and the record is missing in this one.
    Carried,
}

/// The evacuated zones as this node knows them.
#[derive(Clone, Debug, Default)]
pub struct EvacuationState {
    /// Era and end offset of the state; `None` before the first read or report.
    position: Option<(LogEra, LogOffset)>,
    zones: BTreeMap<AvailabilityZone, ZoneState>,
    /// Until when records of an earlier era may be missing, so that carried zones stay evacuated.
    rewrite_until: TimeUs,
    /// Whether any node of the fleet has ever known an evacuation.
    has_been_used: bool,
}

impl EvacuationState {
    /// Applies one record. A reader applies all records of an era in their order, so the state is complete up to it.
    pub fn apply_record(&mut self, record: &EvacuationRecord, now: TimeUs) {
        self.has_been_used = true;
        let end_offset = LogOffset(record.offset.0.saturating_add(1));
        self.enter_era(record.era, REWRITE_TIME_MS, now);
        if self.position.is_some_and(|position| (record.era, end_offset) <= position) {
            return;
        }
        let zone_state = if record.evacuated { ZoneState::Evacuated } else { ZoneState::TakenBack };
        self.zones.insert(record.zone.clone(), zone_state);
        self.position = Some((record.era, end_offset));
    }

    /// Applies the latest records of all keys, which were read up to `end_offset`. `zones` are those with an evacuation
    /// record; the absence of a record reverts an evacuation.
    pub fn apply_listing(
        &mut self,
        era: LogEra,
        end_offset: LogOffset,
        zones: &BTreeSet<AvailabilityZone>,
        now: TimeUs,
    ) {
        self.has_been_used |= !zones.is_empty();
        self.enter_era(era, REWRITE_TIME_MS, now);
        if self.position.is_none_or(|position| (era, end_offset) >= position) {
            self.replace_evacuated(zones);
            self.position = Some((era, end_offset));
        }
    }

    /// Records that all records of the known era up to `end_offset` have been applied, although the last ones are not about
    /// evacuations.
    pub fn record_end(&mut self, era: LogEra, end_offset: LogOffset) {
        if let Some(position) = &mut self.position
            && position.0 == era
        {
            position.1 = end_offset.max(position.1);
        }
    }

    /// Merges the state of another node. Returns whether the store has to be read to complete this one, because the
    /// other state is newer but did not fit into its message.
    pub fn merge(&mut self, report: &EvacuationReport, now: TimeUs) -> bool {
        self.has_been_used = true;
        self.enter_era(report.era, report.rewrite_left_ms, now);
        let is_earlier_era = self.position.is_some_and(|(era, _)| report.era < era);
        // A node that has started after the store came back learns of the lost records only from the others.
        if now < self.rewrite_until {
            let earlier = if is_earlier_era { &report.zones[..] } else { &[] };
            for zone in report.carried.iter().chain(earlier) {
                self.zones.entry(zone.clone()).or_insert(ZoneState::Carried);
            }
        }
        if is_earlier_era || self.position.is_some_and(|position| (report.era, report.end_offset) <= position) {
            return false;
        }
        if !report.is_complete {
            self.zones.extend(report.zones.iter().map(|zone| (zone.clone(), ZoneState::Evacuated)));
            return true;
        }
        self.replace_evacuated(&report.zones.iter().cloned().collect());
        self.position = Some((report.era, report.end_offset));
        false
    }

    /// Returns whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &AvailabilityZone, now: TimeUs) -> bool {
        self.zones.get(zone).is_some_and(|state| self.is_in_force(*state, now))
    }

    /// Returns the evacuated zones.
    pub fn evacuated_zones(&self, now: TimeUs) -> BTreeSet<AvailabilityZone> {
        let in_force = self.zones.iter().filter(|(_, state)| self.is_in_force(**state, now));
        in_force.map(|(zone, _)| zone.clone()).collect()
    }

    /// Returns the state for the other nodes, or `None` if none of them needs it because no zone was ever evacuated.
    pub fn report(&self, now: TimeUs) -> Option<EvacuationReport> {
        let (era, end_offset) = self.position.filter(|_| self.has_been_used)?;
        let rewrite_left_ms = self.rewrite_until.ms_since(now);
        let zones_in = |wanted: ZoneState| {
            let zones = self.zones.iter().filter(|(_, state)| **state == wanted);
            zones.map(|(zone, _)| zone.clone()).collect()
        };
        let carried = if rewrite_left_ms > 0 { zones_in(ZoneState::Carried) } else { Vec::new() };
        let zones = zones_in(ZoneState::Evacuated);
        let report = EvacuationReport { era, end_offset, zones, carried, rewrite_left_ms, is_complete: true };
        Some(report.shortened())
    }

    /// Returns the era of the state and the offset of the last record that it includes, for log lines.
    pub fn last_offset(&self) -> (LogEra, LogOffset) {
        let (era, end_offset) = self.position.unwrap_or_default();
        (era, LogOffset(end_offset.0.saturating_sub(1)))
    }

    fn is_in_force(&self, state: ZoneState, now: TimeUs) -> bool {
        match state {
            ZoneState::Evacuated => true,
            ZoneState::TakenBack => false,
            ZoneState::Carried => now < self.rewrite_until,
        }
    }

    /// Starts a newer era, or the first one that this node knows, which may have just begun. Zones that are evacuated by
    /// now are carried over for the rest of the rewrite time.
    fn enter_era(&mut self, era: LogEra, rewrite_left_ms: u64, now: TimeUs) {
        if self.position.is_some_and(|(known_era, _)| era <= known_era) {
            return;
        }
        let carried = self.evacuated_zones(now);
        self.zones = carried.into_iter().map(|zone| (zone, ZoneState::Carried)).collect();
        self.rewrite_until = now.plus_ms(rewrite_left_ms.min(REWRITE_TIME_MS));
        self.position = Some((era, LogOffset(0)));
    }

    /// Replaces the zones that were read in this era. Carried zones stay: their absence may be a loss.
    fn replace_evacuated(&mut self, evacuated: &BTreeSet<AvailabilityZone>) {
        for (zone, state) in &mut self.zones {
            if *state == ZoneState::Evacuated && !evacuated.contains(zone) {
                *state = ZoneState::TakenBack;
            }
        }
        self.zones.extend(evacuated.iter().map(|zone| (zone.clone(), ZoneState::Evacuated)));
    }
}
