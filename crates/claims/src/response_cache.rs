//! First answers of finished calls, held for re-sends.

use std::collections::{BTreeMap, VecDeque};

use fulmartrestle_core::TimeUs;
use fulmartrestle_derive::record;

use crate::ClaimKey;

/// Bytes that each held answer costs besides its text and body.
const ENTRY_BYTES: usize = 128;

/// One header of an answer.
#[record]
#[derive(Eq)]
pub struct ResponseHeader {
    /// The header's name.
    pub name: String,
    /// The header's value as sent.
    pub value: Vec<u8>,
}

/// A whole answer.
#[record]
#[derive(Eq)]
pub struct BufferedResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers in order.
    pub headers: Vec<ResponseHeader>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl BufferedResponse {
    fn size_bytes(&self) -> usize {
        let headers: usize = self.headers.iter().map(|header| header.name.len() + header.value.len()).sum();
        ENTRY_BYTES + headers + self.body.len()
    }
}

/// Bounds of the cache.
#[record]
#[derive(Eq)]
pub struct ResponseCacheSettings {
    /// How long an answer is held at most, in milliseconds. Default 900,000.
    pub max_age_ms: u64,
    /// Bytes of all answers together. Default 16 MiB.
    pub max_bytes: usize,
    /// Bytes of one answer; a larger one is not held. Default 256 KiB.
    pub max_response_bytes: usize,
}

impl Default for ResponseCacheSettings {
    fn default() -> Self {
        Self { max_age_ms: 900_000, max_bytes: 16 << 20, max_response_bytes: 256 << 10 }
    }
}

/// Answers by claim key; the oldest go first when space runs out.
#[derive(Clone, Debug)]
pub struct ResponseCache {
    settings: ResponseCacheSettings,
    answers: BTreeMap<ClaimKey, BufferedResponse>,
    order: VecDeque<(TimeUs, ClaimKey)>,
    size_bytes: usize,
}

impl ResponseCache {
    /// Returns an empty cache.
    pub fn new(settings: ResponseCacheSettings) -> Self {
        Self { settings, answers: BTreeMap::new(), order: VecDeque::new(), size_bytes: 0 }
    }

    /// Holds the first answer of a call and returns whether it was taken. A later answer of the same
    /// key is ignored: the first one is what the caller may have seen.
    pub fn insert(&mut self, key: ClaimKey, answer: BufferedResponse, now: TimeUs) -> bool {
        self.forget(now);
        let size_bytes = answer.size_bytes();
        if size_bytes > self.settings.max_response_bytes || self.answers.contains_key(&key) {
            return false;
        }
        self.size_bytes += size_bytes;
        self.answers.insert(key, answer);
        self.order.push_back((now, key));
        while self.size_bytes > self.settings.max_bytes {
            self.drop_oldest();
        }
        true
    }

    /// Returns the held answer of a call.
    pub fn get(&mut self, key: &ClaimKey, now: TimeUs) -> Option<&BufferedResponse> {
        self.forget(now);
        self.answers.get(key)
    }

    /// Returns the bytes that all held answers take.
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    fn forget(&mut self, now: TimeUs) {
        while self.order.front().is_some_and(|(held_at, _)| now.ms_since(*held_at) >= self.settings.max_age_ms) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((_, key)) = self.order.pop_front() else { return };
        if let Some(answer) = self.answers.remove(&key) {
            self.size_bytes -= answer.size_bytes();
        }
    }
}
