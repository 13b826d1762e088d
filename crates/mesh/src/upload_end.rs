//! The end of a request body that is forwarded while it arrives, while a node may stop. See `docs/DRAIN.md`.

use std::sync::{Arc, Mutex};

use fulmartrestle_core::{TimeUs, lock};
use fulmartrestle_transport::ReplayBody;
use tokio::sync::Notify;

use crate::clock::BootClock;

/// How far the end of a body has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndState {
    Arriving,
    /// It was forwarded at this time, so that the target can begin to work.
    Forwarded(TimeUs),
    /// It will not be forwarded.
    Withheld,
}

#[derive(Debug)]
struct SharedEnd {
    state: Mutex<EndState>,
    withheld: Notify,
}

/// Knows whether the end of a request body was forwarded. Clones refer to the same body.
#[derive(Clone, Debug)]
pub struct UploadEnd {
    clock: BootClock,
    shared: Arc<SharedEnd>,
}

impl UploadEnd {
    /// Returns `body` in a form that asks `may_end` before its end is forwarded, and what becomes of its end.
    /// `announced_bytes` is its length, if it is known.
    pub fn hold(
        body: ReplayBody,
        announced_bytes: Option<u64>,
        clock: BootClock,
        may_end: impl Fn(TimeUs) -> bool + Send + Unpin + 'static,
    ) -> (ReplayBody, Self) {
        let state = match body.has_arrived(announced_bytes) {
            true => EndState::Forwarded(clock.now()),
            false => EndState::Arriving,
        };
        let shared = Arc::new(SharedEnd { state: Mutex::new(state), withheld: Notify::new() });
        let end = Self { clock, shared };
        let held = end.clone();
        let body = body.hold_end(announced_bytes, move || {
            let now = held.clock.now();
            held.settle(if may_end(now) { EndState::Forwarded(now) } else { EndState::Withheld });
            !held.is_withheld()
        });
        (body, end)
    }

    /// Withholds the end unless it was forwarded. Returns whether it is withheld.
    pub fn withhold(&self) -> bool {
        self.settle(EndState::Withheld);
        self.is_withheld()
    }

    /// Returns whether the end is withheld, so that no target runs the request.
    pub fn is_withheld(&self) -> bool {
        *lock(&self.shared.state) == EndState::Withheld
    }

    /// Returns when the end was forwarded.
    pub fn forwarded_at(&self) -> Option<TimeUs> {
        match *lock(&self.shared.state) {
            EndState::Forwarded(at) => Some(at),
            EndState::Arriving | EndState::Withheld => None,
        }
    }

    /// Waits until the end is withheld: by the body itself, or because `too_late` ends while the body still arrives. Does not
    /// return once the end was forwarded.
    pub async fn wait_until_withheld(&self, too_late: impl Future<Output = ()>) {
        tokio::select! {
            () = self.shared.withheld.notified() => {}
            () = too_late => if !self.withhold() {
                std::future::pending::<()>().await;
            }
        }
    }

    fn settle(&self, end: EndState) {
        let mut state = lock(&self.shared.state);
        if *state == EndState::Arriving {
            *state = end;
            if end == EndState::Withheld {
                self.shared.withheld.notify_one();
            }
        }
    }
}
