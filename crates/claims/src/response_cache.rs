//! A cache of the first response of each finished call, used to answer retries of the call.

use std::collections::{BTreeMap, VecDeque};

use fulmartrestle_core::TimeUs;
use fulmartrestle_derive::record;

use crate::ClaimKey;

/// Estimated memory overhead of a cached response besides its headers and body, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 128;

/// One header of a response.
#[record]
#[derive(Eq)]
pub struct ResponseHeader {
    /// Name of the header.
    pub name: String,
    /// Value of the header as sent, not necessarily valid UTF-8.
    pub value: Vec<u8>,
}

/// A complete response held in memory.
#[record]
#[derive(Eq)]
pub struct BufferedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers, in the order in which they were received.
    pub headers: Vec<ResponseHeader>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl BufferedResponse {
    fn size_bytes(&self) -> usize {
        let headers: usize = self.headers.iter().map(|header| header.name.len() + header.value.len()).sum();
        ENTRY_OVERHEAD_BYTES + headers + self.body.len()
    }
}

/// Limits of the response cache.
#[record]
#[derive(Eq)]
pub struct ResponseCacheSettings {
    /// Maximum age of a cached response, in milliseconds. Default 900,000.
    pub max_age_ms: u64,
    /// Maximum total size of all cached responses, in bytes. Default 16 MiB.
    pub max_bytes: usize,
    /// Maximum size of one response, in bytes. A larger one is not cached. Default 256 KiB.
    pub max_response_bytes: usize,
}

impl Default for ResponseCacheSettings {
    fn default() -> Self {
        Self { max_age_ms: 900_000, max_bytes: 16 << 20, max_response_bytes: 256 << 10 }
    }
}

/// Responses by claim key. The oldest are evicted first when the cache is full.
#[derive(Clone, Debug)]
pub struct ResponseCache {
    settings: ResponseCacheSettings,
    responses: BTreeMap<ClaimKey, BufferedResponse>,
    insertion_order: VecDeque<(TimeUs, ClaimKey)>,
    size_bytes: usize,
}

impl ResponseCache {
    /// Returns an empty cache.
    pub fn new(settings: ResponseCacheSettings) -> Self {
        Self { settings, responses: BTreeMap::new(), insertion_order: VecDeque::new(), size_bytes: 0 }
    }

    /// Caches the first response of a call and returns whether it was inserted. Later responses of the
    /// same key are ignored, because the caller may already have received the first one.
    pub fn insert(&mut self, key: ClaimKey, response: BufferedResponse, now: TimeUs) -> bool {
        self.remove_expired(now);
        let size_bytes = response.size_bytes();
        if size_bytes > self.settings.max_response_bytes || self.responses.contains_key(&key) {
            return false;
        }
        self.size_bytes += size_bytes;
        self.responses.insert(key, response);
        self.insertion_order.push_back((now, key));
        while self.size_bytes > self.settings.max_bytes {
            self.evict_oldest();
        }
        true
    }

    /// Returns the cached response of a call, if there is one.
    pub fn get(&mut self, key: &ClaimKey, now: TimeUs) -> Option<&BufferedResponse> {
        self.remove_expired(now);
        self.responses.get(key)
    }

    /// Returns the total size of all cached responses, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    fn remove_expired(&mut self, now: TimeUs) {
        while self
            .insertion_order
            .front()
            .is_some_and(|(inserted_at, _)| now.ms_since(*inserted_at) >= self.settings.max_age_ms)
        {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some((_, key)) = self.insertion_order.pop_front() else { return };
        if let Some(response) = self.responses.remove(&key) {
            self.size_bytes -= response.size_bytes();
        }
    }
}
