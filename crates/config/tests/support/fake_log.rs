//! An in-memory log with a reference replica that applies every record.

use std::collections::BTreeMap;

use fulmartrestle_config::plan::PlanId;
use fulmartrestle_config::propagation::ReadResult;
use fulmartrestle_config::replica::{ApplyOutcome, CertificationResult, ConfigHash, LogRecord, Replica};
use fulmartrestle_core::{LogOffset, TimeUs};

const MAX_READ_RECORDS: usize = 50;

pub struct FakeLog {
    records: Vec<(TimeUs, Vec<u8>)>,
    first_retained: usize,
    /// Applies every record as it is written.
    pub reference: Replica,
    /// The reference's hash at each offset.
    hashes: Vec<ConfigHash>,
    /// The results of certifying the written plans by the reference replica.
    pub decided: BTreeMap<PlanId, CertificationResult>,
}

impl Default for FakeLog {
    fn default() -> Self {
        let mut reference = Replica::default();
        reference.set_first_retained(LogOffset(0));
        let hashes = vec![reference.hash()];
        Self { records: Vec::new(), first_retained: 0, reference, hashes, decided: BTreeMap::new() }
    }
}

impl FakeLog {
    pub fn end(&self) -> LogOffset {
        LogOffset(self.records.len() as u64)
    }

    /// Returns the end of the log as of `time`.
    pub fn end_at(&self, time: TimeUs) -> LogOffset {
        LogOffset(self.records.partition_point(|(written_at, _)| *written_at <= time) as u64)
    }

    /// Returns the offset after the last plan that was written up to `time`.
    pub fn end_of_plans_at(&self, time: TimeUs) -> LogOffset {
        let end = self.end_at(time).0 as usize;
        let is_plan = |(_, bytes): &(TimeUs, Vec<u8>)| matches!(LogRecord::decode(bytes), LogRecord::Confirm(_));
        let last = self.records[..end].iter().rposition(is_plan);
        LogOffset(last.map_or(0, |offset| offset as u64 + 1))
    }

    pub fn hash_at(&self, offset: LogOffset) -> Option<ConfigHash> {
        self.hashes.get(offset.0 as usize).copied()
    }

    pub fn read(&self, from: LogOffset) -> ReadResult {
        let first = self.first_retained;
        if (from.0 as usize) < first {
            return ReadResult::Trimmed { first: LogOffset(first as u64) };
        }
        let wanted = self.records.iter().skip(from.0 as usize).take(MAX_READ_RECORDS);
        let records = wanted.map(|(_, record)| record.clone()).collect();
        ReadResult::Records { from, records, end: self.end() }
    }

    pub fn write(&mut self, now: TimeUs, bytes: Vec<u8>) -> LogOffset {
        let offset = self.end();
        let record = LogRecord::decode(&bytes);
        self.records.push((now, bytes));
        let applied = self.reference.apply_record(offset, &record);
        self.hashes.push(self.reference.hash());
        if let (LogRecord::Confirm(plan), ApplyOutcome::Applied(Some(result))) = (&record, applied) {
            self.decided.entry(plan.id).or_insert(result);
        }
        offset
    }

    /// Drops records that are older than the retention time.
    pub fn trim(&mut self, now: TimeUs, retention_ms: u64) {
        while self.first_retained < self.records.len() {
            let (written_at, _) = self.records[self.first_retained];
            if now.ms_since(written_at) < retention_ms {
                break;
            }
            self.first_retained += 1;
        }
    }
}
