//! A simulated log with lost responses, delayed writes, outages and trimming.

use std::collections::{BTreeMap, VecDeque};

use fulmartrestle_claims::{AppendResult, ClaimBatch, ClaimRecord, ClaimStream, ReadPage, ReadResult};
use fulmartrestle_core::{LogOffset, TimeUs};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

const MAX_BATCHES_PER_PAGE: usize = 20;

/// Fault probabilities per thousand appends or reads, and the expected number of outages per 100 s.
#[derive(Clone, Debug, Default)]
pub struct LogFaults {
    pub unavailable: u64,
    pub response_lost_written: u64,
    pub response_lost_not_written: u64,
    pub response_lost_written_late: u64,
    pub outage_per_100_s: u64,
}

#[derive(Clone, Debug, Default)]
struct SimStream {
    batches: VecDeque<(TimeUs, ClaimBatch)>,
    next_offset: u64,
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
    delayed_appends: Vec<(TimeUs, ClaimStream, Vec<ClaimRecord>)>,
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
            delayed_appends: Vec::new(),
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
        if draw < faults.response_lost_not_written {
            return AppendResult::ResponseLost;
        }
        if draw < faults.response_lost_not_written + faults.response_lost_written_late {
            self.delayed_appends.push((now.plus_ms(rng.random_range(50..4_000)), stream, records));
            return AppendResult::ResponseLost;
        }
        let offset = self.write(stream, records, now);
        let response_lost =
            draw < faults.response_lost_not_written + faults.response_lost_written_late + faults.response_lost_written;
        if response_lost { AppendResult::ResponseLost } else { AppendResult::Written(offset) }
    }

    pub fn read(&mut self, stream: ClaimStream, from: LogOffset, rng: &mut ChaCha8Rng, now: TimeUs) -> ReadResult {
        if now < self.down_until || rng.random_range(0..1_000) < self.faults.unavailable {
            return ReadResult::Unavailable;
        }
        let sim_stream = self.streams.entry(stream).or_default();
        let first_index = sim_stream.batches.partition_point(|(_, batch)| batch.offset < from);
        let wanted = sim_stream.batches.iter().skip(first_index);
        let batches = wanted.take(MAX_BATCHES_PER_PAGE).map(|(_, batch)| batch.clone()).collect();
        let (end_offset, trimmed_before) = (LogOffset(sim_stream.next_offset), LogOffset(sim_stream.trimmed_before));
        ReadResult::Page(ReadPage { batches, end_offset, trimmed_before })
    }

    pub fn tick(&mut self, now: TimeUs) {
        let due: Vec<_> = self.delayed_appends.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, stream, records) in due {
            self.write(stream, records, now);
        }
        for stream in self.streams.values_mut() {
            while stream.batches.front().is_some_and(|(at, _)| now.ms_since(*at) > self.retention_ms) {
                stream.batches.pop_front();
            }
            stream.trimmed_before = stream.batches.front().map_or(stream.next_offset, |(_, batch)| batch.offset.0);
        }
    }

    fn write(&mut self, stream: ClaimStream, records: Vec<ClaimRecord>, now: TimeUs) -> LogOffset {
        let sim_stream = self.streams.entry(stream).or_default();
        let offset = LogOffset(sim_stream.next_offset);
        sim_stream.next_offset += 1;
        self.records += records.len() as u64;
        let encoded = bincode::serde::encode_to_vec(&records, bincode::config::standard());
        self.bytes += encoded.expect("records encode").len() as u64;
        sim_stream.batches.push_back((now, ClaimBatch { offset, records }));
        offset
    }
}
