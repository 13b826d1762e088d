//! Limits the large responses that are forwarded at the same time.
//!
//! Load pattern: many callers on weak links request downloads and read them slowly or not at all. Each unread response
//! occupies a flow-control window and a write buffer, which together exceed the memory of a small VM.

use std::sync::Arc;

use fulmartrestle_transport::{BodyWatcher, ByteBody, REPLAY_LIMIT_BYTES, WatchedBody};
use http_body_util::BodyExt;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Share of the memory that large responses may use.
const MEMORY_SHARE: f64 = 0.25;

/// Estimated memory of one unread large response, in kilobytes. 70 of them used 171 KB each at the caller's node and 134 KB
/// at the target's.
const RESPONSE_KB: f64 = 192.0;

/// Lower bound of the limit, for processes with little memory.
const MIN_RESPONSES: usize = 16;

/// Limit of the large responses that are forwarded at the same time.
#[derive(Debug)]
pub struct LargeResponseLimit {
    permits: Arc<Semaphore>,
}

/// Ends the count of a response when its body ends or is dropped.
struct ResponsePermit {
    permit: Option<OwnedSemaphorePermit>,
}

impl LargeResponseLimit {
    /// Returns a limit derived from the process's memory.
    pub fn new(memory_mb: u64) -> Self {
        let by_memory = memory_mb as f64 * 1024.0 * MEMORY_SHARE / RESPONSE_KB;
        Self { permits: Arc::new(Semaphore::new((by_memory as usize).max(MIN_RESPONSES))) }
    }

    /// Counts a response until its body ends, unless it is so small that it is held in memory anyway. Returns `None` if
    /// there are too many; then the response must not be forwarded.
    pub fn hold(&self, content_length: Option<u64>, body: ByteBody) -> Option<ByteBody> {
        if content_length.is_some_and(|length| length <= REPLAY_LIMIT_BYTES as u64) {
            return Some(body);
        }
        let permit = Arc::clone(&self.permits).try_acquire_owned().ok()?;
        Some(WatchedBody::new(body, ResponsePermit { permit: Some(permit) }).boxed_unsync())
    }
}

impl BodyWatcher for ResponsePermit {
    fn on_end(&mut self, _complete: bool) {
        self.permit = None;
    }
}
