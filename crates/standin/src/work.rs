//! The work of one request: wait for a slot, take time, call other services.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::request::Parts;

use crate::shared::Shared;
use crate::{CONTEXT_HEADER, ChildError, ChildRequest, REQUEST_ID_HEADER};

/// Counts one up while it lives, also when the request is cancelled.
struct Counted<'a>(&'a AtomicU64);

impl<'a> Counted<'a> {
    fn new(counter: &'a AtomicU64) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Does the work of one request and returns the number of calls to other services that it made. The slot
/// is held throughout, as a thread of a real worker would be. Dropping the future cancels the work.
pub(crate) async fn run(shared: &Shared, parts: &Parts) -> Result<u32, ChildError> {
    let queued = Counted::new(&shared.queued);
    let slot = shared.slots.acquire().await;
    drop(queued);
    let _running = Counted::new(&shared.running);
    shared.recorder().started(parts, Instant::now());
    work_for(shared.draw_service_time()).await;
    let calls = call_children(shared, parts).await;
    drop(slot);
    calls
}

async fn work_for(service_time: Duration) {
    tokio::time::sleep(service_time).await;
}

async fn call_children(shared: &Shared, parts: &Parts) -> Result<u32, ChildError> {
    let mut calls = 0;
    for child in &shared.settings.children {
        for _ in 0..child.count {
            call_child(shared, parts, &child.path, calls).await?;
            calls += 1;
        }
    }
    Ok(calls)
}

/// Makes one call. Its path ends with its place in the tree of calls, so that each call of a request has
/// a path of its own.
async fn call_child(shared: &Shared, parts: &Parts, prefix: &str, place: u32) -> Result<(), ChildError> {
    let Some(caller) = &shared.children else {
        return Err(ChildError::NoResponse("the target has no way to call other services".to_owned()));
    };
    let parent_place = parts.uri.path().trim_start_matches('/').split_once('/').map_or("", |(_, rest)| rest);
    let request = ChildRequest {
        path: format!("{prefix}/{parent_place}.{place}"),
        context: parts.headers.get(CONTEXT_HEADER).cloned(),
        request_id: parts.headers.get(REQUEST_ID_HEADER).cloned(),
    };
    caller.call(request).await
}
