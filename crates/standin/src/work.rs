//! The work of a request: wait for a slot, wait for the service time, call other services.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::request::Parts;

use crate::shared_state::SharedState;
use crate::{CONTEXT_HEADER, ChildError, ChildRequest, REQUEST_ID_HEADER};

/// Increments a counter and decrements it on drop, so that cancelled requests are counted correctly too.
struct CountGuard<'a>(&'a AtomicU64);

impl<'a> CountGuard<'a> {
    fn new(counter: &'a AtomicU64) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Performs the work of a request and returns the number of calls to other services that it made. It holds its
/// slot throughout, as a real worker would hold a thread. Dropping the future cancels the work.
pub(crate) async fn perform(shared: &SharedState, parts: &Parts) -> Result<u32, ChildError> {
    let queued = CountGuard::new(&shared.queued);
    let slot = shared.slots.acquire().await;
    drop(queued);
    let _running = CountGuard::new(&shared.running);
    shared.recorder().record_start(parts, Instant::now());
    simulate_work(shared.sample_service_time()).await;
    let calls = call_children(shared, parts).await;
    drop(slot);
    calls
}

/// Simulates work by sleeping for `service_time`.
async fn simulate_work(service_time: Duration) {
    tokio::time::sleep(service_time).await;
}

/// Makes the calls of the settings in order and returns their number.
async fn call_children(shared: &SharedState, parts: &Parts) -> Result<u32, ChildError> {
    let mut calls = 0;
    for child in &shared.settings.children {
        for _ in 0..child.count {
            call_child(shared, parts, &child.path, calls).await?;
            calls += 1;
        }
    }
    Ok(calls)
}

/// Makes one call. The path ends with the position of the call in the call tree, for example `/archive/7.0`,
/// so that every call of a request has a unique path.
async fn call_child(shared: &SharedState, parts: &Parts, prefix: &str, index: u32) -> Result<(), ChildError> {
    let Some(caller) = &shared.child_caller else {
        return Err(ChildError::NoResponse("no node is configured for calls to other services".to_owned()));
    };
    let parent_suffix = parts.uri.path().trim_start_matches('/').split_once('/').map_or("", |(_, rest)| rest);
    let request = ChildRequest {
        path: format!("{prefix}/{parent_suffix}.{index}"),
        context: parts.headers.get(CONTEXT_HEADER).cloned(),
        request_id: parts.headers.get(REQUEST_ID_HEADER).cloned(),
    };
    caller.call(request).await
}
