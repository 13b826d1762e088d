//! A log with lost answers, late writes, outages and trimming.

use std::collections::{BTreeMap, VecDeque};

use fulmartrestle_claims::{AppendResult, ClaimBatch, ClaimRecord, ClaimStream, ReadPage, ReadResult};
use fulmartrestle_core::{LogOffset, TimeUs};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

const PAGE_BATCHES: usize = 20;

/// Chances per thousand appends or reads.
#[derive(Clone, Debug, Default)]
pub struct LogFaults {
    pub unavailable: u64,
    pub lost_written: u64,
    pub lost_not_written: u64,
    pub lost_written_late: u64,
    pub outage_per_100_s: u64,
}

#[derive(Clone, Debug, Default)]
struct SimStream {
    batches: VecDeque<(TimeUs, ClaimBatch)>,
    next: u64,
    trimmed_before: u64,
}

pub struct SimLog {
    pub faults: LogFaults,
    pub retention_ms: u64,
    pub down_until: TimeUs,
    pub appends: u64,
    pub records: u64,
    pub bytes: u64,
    streams: BTreeMap<ClaimStream, SimStream>,
    late: Vec<(TimeUs, ClaimStream, Vec<ClaimRecord>)>,
}

impl SimLog {
    pub fn new(faults: LogFaults, retention_ms: u64) -> Self {
        Self {
            faults,
            retention_ms,
            down_until: TimeUs(0),
            appends: 0,
            records: 0,
            bytes: 0,
            streams: BTreeMap::new(),
            late: Vec::new(),
        }
    }

    pub fn append(
        &mut self,
        stream: ClaimStream,
        records: Vec<ClaimRecord>,
        rng: &mut ChaCha8Rng,
        now: TimeUs,
    ) -> AppendResult {
        self.appends += 1;
        let faults = self.faults.clone();
        let draw = rng.random_range(0..1_000);
        if now < self.down_until || draw < faults.unavailable {
            return AppendResult::Unavailable;
        }
        let draw = rng.random_range(0..1_000);
        if draw < faults.lost_not_written {
            return AppendResult::ResponseLost;
        }
        if draw < faults.lost_not_written + faults.lost_written_late {
            self.late.push((now.plus_ms(rng.random_range(50..4_000)), stream, records));
            return AppendResult::ResponseLost;
        }
        let offset = self.write(stream, records, now);
        let lost = draw < faults.lost_not_written + faults.lost_written_late + faults.lost_written;
        if lost { AppendResult::ResponseLost } else { AppendResult::Written(offset) }
    }

    pub fn read(&mut self, stream: ClaimStream, from: LogOffset, rng: &mut ChaCha8Rng, now: TimeUs) -> ReadResult {
        if now < self.down_until || rng.random_range(0..1_000) < self.faults.unavailable {
            return ReadResult::Unavailable;
        }
        let found = self.streams.entry(stream).or_default();
        let first = found.batches.partition_point(|(_, batch)| batch.offset < from);
        let wanted = found.batches.iter().skip(first);
        let batches = wanted.take(PAGE_BATCHES).map(|(_, batch)| batch.clone()).collect();
        let (end_offset, trimmed_before) = (LogOffset(found.next), LogOffset(found.trimmed_before));
        ReadResult::Page(ReadPage { batches, end_offset, trimmed_before })
    }

    pub fn tick(&mut self, now: TimeUs) {
        let due: Vec<_> = self.late.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, stream, records) in due {
            self.write(stream, records, now);
        }
        for stream in self.streams.values_mut() {
            while stream.batches.front().is_some_and(|(at, _)| now.ms_since(*at) > self.retention_ms) {
                stream.batches.pop_front();
            }
            stream.trimmed_before = stream.batches.front().map_or(stream.next, |(_, batch)| batch.offset.0);
        }
    }

    fn write(&mut self, stream: ClaimStream, records: Vec<ClaimRecord>, now: TimeUs) -> LogOffset {
        let found = self.streams.entry(stream).or_default();
        let offset = LogOffset(found.next);
        found.next += 1;
        self.records += records.len() as u64;
        let encoded = bincode::serde::encode_to_vec(&records, bincode::config::standard());
        self.bytes += encoded.expect("records encode").len() as u64;
        found.batches.push_back((now, ClaimBatch { offset, records }));
        offset
    }
}
