//! Messages between [`HttpLog`](crate::HttpLog) and the stand-in server, as JSON.

use fulmartrestle_core::LogOffset;
use fulmartrestle_derive::record;

use crate::hex::HexBytes;
use crate::{LogEntry, ReadPage};

/// Largest request and answer, in bytes; larger ones are refused so that memory stays bounded.
pub(crate) const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Body of an append.
#[record]
#[serde(deny_unknown_fields)]
pub(crate) struct AppendRequest {
    pub(crate) records: Vec<HexBytes>,
}

/// Answer to an append that took effect.
#[record]
pub(crate) struct AppendAnswer {
    pub(crate) offset: LogOffset,
}

/// Body of a request to drop old records.
#[record]
#[serde(deny_unknown_fields)]
pub(crate) struct TrimRequest {
    pub(crate) before: LogOffset,
}

/// Answer to a request that was refused.
#[record]
pub(crate) struct Failure {
    pub(crate) error: String,
    pub(crate) first: Option<LogOffset>,
}

/// One record as it travels.
#[record]
pub(crate) struct WireEntry {
    offset: LogOffset,
    payload: HexBytes,
    wall_ms: u64,
}

/// Answer to a read.
#[record]
pub(crate) struct WirePage {
    records: Vec<WireEntry>,
    next: LogOffset,
    end: LogOffset,
    first: LogOffset,
}

impl From<ReadPage> for WirePage {
    fn from(page: ReadPage) -> Self {
        let records = page.records.into_iter().map(WireEntry::from).collect();
        Self { records, next: page.next, end: page.end, first: page.first }
    }
}

impl From<WirePage> for ReadPage {
    fn from(page: WirePage) -> Self {
        let records = page.records.into_iter().map(LogEntry::from).collect();
        Self { records, next: page.next, end: page.end, first: page.first }
    }
}

impl From<LogEntry> for WireEntry {
    fn from(entry: LogEntry) -> Self {
        Self { offset: entry.offset, payload: HexBytes(entry.payload), wall_ms: entry.wall_ms }
    }
}

impl From<WireEntry> for LogEntry {
    fn from(entry: WireEntry) -> Self {
        Self { offset: entry.offset, payload: entry.payload.0, wall_ms: entry.wall_ms }
    }
}
