//! Exchange of crash marks between nodes. See `docs/CRASH-REQUESTS.md`.
//!
//! Each node sends the crashes of its own target to every other node with its status, until the receiver confirms
//! them. A node that starts asks a few others for all marks that they know, since those of nodes that have gone or
//! started again would reach it in no other way.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use fulmartrestle_core::{CallId, Fingerprint, TimeUs, VmId, lock};
use fulmartrestle_derive::record;
use fulmartrestle_policy::{CrashEvidence, CrashMark};

use crate::event_log::LogLine;
use crate::peer_streams::CRASH_MARKS_PATH;
use crate::state::MeshState;

/// Maximum number of marks in one status message, so that it stays below the size that networks fragment.
const MAX_MARKS_PER_MESSAGE: usize = 48;

/// Marks that are kept for nodes that have not confirmed them.
const MAX_KEPT_MARKS: usize = 4_096;

/// Nodes from which a starting node needs the marks. The first one may just have become reachable itself.
const SOURCES_NEEDED: usize = 2;

/// Interval between two requests for marks of a starting node, in milliseconds.
const FETCH_INTERVAL_MS: u64 = 250;

/// Time after the start from which a node vouches for its marks although too few nodes had all of them, in
/// milliseconds. All nodes may have started together.
const FETCH_PERIOD_MS: u64 = 3_000;

/// Time for a node to send its marks, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 1_000;

/// Largest response with marks, in bytes: those of a full table.
const MAX_RESPONSE_BYTES: usize = 512 * 1_024;

/// A crash of the sender's target.
#[record]
#[derive(Copy, Eq)]
pub struct CrashNotice {
    /// Fingerprint of a request that ran.
    pub fingerprint: Fingerprint,
    /// Attempt that ran, as numbered by the sender.
    pub attempt: CallId,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// How the attempt ended.
    pub evidence: CrashEvidence,
}

/// A part of a node's own marks, numbered in the order in which its run recorded them.
#[record]
#[derive(Default)]
pub struct CrashNotices {
    /// Number of the first one.
    pub first: u32,
    /// The notices.
    pub notices: Vec<CrashNotice>,
}

/// Response to a request for all marks.
#[record]
pub struct CrashMarksResponse {
    /// All marks that the sender knows.
    pub marks: Vec<CrashMark>,
    /// Whether the sender has received the marks of the nodes that started before it.
    pub complete: bool,
}

/// The crashes of this node's target, for the nodes that have not confirmed them.
#[derive(Debug, Default)]
pub struct CrashMarkLog {
    first: u32,
    crashes: VecDeque<(CrashMark, TimeUs)>,
}

impl CrashMarkLog {
    /// Appends the marks of `node`, which is this one. Those of other nodes are left out: they send them themselves.
    pub fn append(&mut self, node: VmId, marks: Vec<CrashMark>, now: TimeUs) {
        for mark in marks.into_iter().filter(|mark| mark.target == node) {
            let occurred_at = TimeUs(now.0.saturating_sub(mark.age_ms.saturating_mul(1_000)));
            self.crashes.push_back((mark, occurred_at));
        }
        while self.crashes.len() > MAX_KEPT_MARKS {
            self.crashes.pop_front();
            self.first = self.first.wrapping_add(1);
        }
    }

    /// Returns the next notices for a node that has received those below number `received`.
    pub fn notices_from(&self, received: u32, now: TimeUs) -> CrashNotices {
        let first = received.max(self.first);
        let to_notice = |(mark, occurred_at): &(CrashMark, TimeUs)| CrashNotice {
            fingerprint: mark.fingerprint,
            attempt: mark.attempt,
            age_ms: now.ms_since(*occurred_at),
            evidence: mark.evidence,
        };
        let missing = self.crashes.iter().skip((first - self.first) as usize);
        CrashNotices { first, notices: missing.take(MAX_MARKS_PER_MESSAGE).map(to_notice).collect() }
    }
}

impl CrashNotices {
    /// Returns the number of the notice that follows.
    pub fn end(&self) -> u32 {
        self.first.wrapping_add(self.notices.len() as u32)
    }

    /// Returns the marks of crashes of the target beside `node`.
    pub fn marks(&self, node: VmId) -> impl Iterator<Item = CrashMark> {
        self.notices.iter().map(move |notice| CrashMark {
            fingerprint: notice.fingerprint,
            target: node,
            attempt: notice.attempt,
            age_ms: notice.age_ms,
            evidence: notice.evidence,
        })
    }
}

/// Merges marks of another node and logs each request that is blocked from now on.
pub fn merge_crash_marks(state: &MeshState, marks: impl Iterator<Item = CrashMark>, now: TimeUs) {
    let mut crashes = lock(&state.crashes);
    for mark in marks {
        let is_crash = matches!(mark.evidence, CrashEvidence::Shared | CrashEvidence::Conclusive);
        if crashes.merge_mark(mark, now) && is_crash && crashes.check(mark.fingerprint, now).is_blocked() {
            state.log(LogLine::new("request_blocked").text("fingerprint", mark.fingerprint).text("node", mark.target));
        }
    }
    state.metrics.set_gauge("crash_marks", crashes.len() as u64);
}

/// Returns all marks that this node knows.
pub fn crash_marks_response(state: &MeshState) -> CrashMarksResponse {
    let complete = state.knows_crash_marks.load(Ordering::Relaxed);
    CrashMarksResponse { marks: lock(&state.crashes).all_marks(state.now()), complete }
}

/// Asks other nodes for all crash marks after the start of this one.
pub async fn fetch_crash_marks(state: Arc<MeshState>) {
    let mut asked = Vec::new();
    let mut sources = 0;
    while sources < SOURCES_NEEDED && state.now().ms_since(state.started_at) < FETCH_PERIOD_MS {
        tokio::time::sleep(Duration::from_millis(FETCH_INTERVAL_MS)).await;
        let zone = state.settings().availability_zone.clone();
        let live = lock(&state.peers).live_addresses_nearest_first(&zone, state.now());
        let next: Vec<SocketAddr> =
            live.into_iter().filter(|address| !asked.contains(address)).take(SOURCES_NEEDED).collect();
        for address in next {
            asked.push(address);
            sources += usize::from(fetch_from(&state, address).await);
        }
    }
    state.knows_crash_marks.store(true, Ordering::Relaxed);
    let known = lock(&state.crashes).len() as u64;
    state.log(LogLine::new("crash_marks_fetched").number("sources", sources as u64).number("requests", known));
}

/// Merges the marks of one node. Returns whether it had all marks.
async fn fetch_from(state: &MeshState, address: SocketAddr) -> bool {
    let request = async {
        let connection = state.peer_connections.connection(address).await?;
        connection.request::<CrashMarksResponse>(CRASH_MARKS_PATH, Bytes::new(), MAX_RESPONSE_BYTES).await
    };
    let detail = match tokio::time::timeout(Duration::from_millis(FETCH_TIMEOUT_MS), request).await {
        Ok(Ok(response)) => {
            merge_crash_marks(state, response.marks.into_iter(), state.now());
            return response.complete;
        }
        Ok(Err(error)) => error.to_string(),
        Err(_) => "timed out waiting for a response".to_owned(),
    };
    state.log(LogLine::new("crash_marks_not_fetched").text("peer", address).text("detail", detail));
    false
}
