//! Decides which requests a node that stops still passes on. See `docs/DRAIN.md`.
//!
//! Load pattern: requests whose last bytes arrive late in the grace period, on connections that were open before it began.
//! Work that can't end within it is cut off without an answer, and must not be repeated if the request is not idempotent. A
//! request that is refused instead has not run, and its caller can turn to another node.

use fulmartrestle_core::{RouteId, Service, TimeUs};
use fulmartrestle_derive::value;
use rustc_hash::FxHashMap;

/// Length of the windows in which the longest completion is kept, and whether responses were forwarded while they arrived, in
/// milliseconds. The last two windows count.
const WINDOW_MS: u64 = 30_000;

/// Factor for completions that take longer than all recent ones.
const LONGEST_FACTOR: f64 = 1.5;

/// Time for the response to leave this node, in milliseconds. Both nodes of a call pause for up to 100 ms under load.
const RESPONSE_MARGIN_MS: u64 = 200;

/// Weight of one completion in the typical time.
const TYPICAL_WEIGHT: f64 = 0.1;

/// When a node that stops loses its callers, and when it ends.
#[value]
pub struct StopTimes {
    /// When the callers have turned to other nodes.
    pub callers_left_at: TimeUs,
    /// When connections are closed, whether or not requests are still running.
    pub end_at: TimeUs,
}

/// How long completions took, from the moment that a request was passed on.
#[derive(Clone, Copy, Debug)]
struct CompletionTime {
    typical_us: f64,
    longest_us: u64,
    longest_before_us: u64,
    window_started_at: TimeUs,
    /// Whether responses were forwarded while they arrived, which may go on after the deadline of the request.
    is_streamed: bool,
    was_streamed_before: bool,
}

impl CompletionTime {
    fn new(took_us: u64, now: TimeUs) -> Self {
        let typical_us = took_us as f64;
        Self {
            typical_us,
            longest_us: took_us,
            longest_before_us: 0,
            window_started_at: now,
            is_streamed: false,
            was_streamed_before: false,
        }
    }

    fn record(&mut self, took_us: u64, now: TimeUs) {
        self.typical_us += (took_us as f64 - self.typical_us) * TYPICAL_WEIGHT;
        if now.ms_since(self.window_started_at) >= WINDOW_MS {
            self.longest_before_us = std::mem::take(&mut self.longest_us);
            self.was_streamed_before = std::mem::take(&mut self.is_streamed);
            self.window_started_at = now;
        }
        self.longest_us = self.longest_us.max(took_us);
    }

    /// Returns the time to allow for, in microseconds: the usual one, or one that hardly any completion exceeds.
    fn expected_us(&self, certain: bool) -> u64 {
        match certain {
            true => (self.longest_us.max(self.longest_before_us) as f64 * LONGEST_FACTOR) as u64,
            false => self.typical_us as u64,
        }
    }
}

/// Learns how long requests take, and decides which of them can still be completed once the node stops.
#[derive(Debug, Default)]
pub struct StopAdmission {
    routes: FxHashMap<RouteId, CompletionTime>,
    services: FxHashMap<Service, CompletionTime>,
    stop: Option<StopTimes>,
}

impl StopAdmission {
    /// Records that a response ended which was forwarded while it arrived, to a request that was passed on `took_us` ago. Its
    /// deadline does not limit such a response.
    pub fn record_streamed(&mut self, route: &RouteId, service: &Service, took_us: u64, now: TimeUs) {
        self.record_completion(route, service, took_us, now);
        if let Some(time) = self.routes.get_mut(route) {
            time.is_streamed = true;
        }
    }

    /// Records that a request which was passed on `took_us` ago was answered, or has passed its deadline.
    pub fn record_completion(&mut self, route: &RouteId, service: &Service, took_us: u64, now: TimeUs) {
        let new_time = || CompletionTime::new(took_us, now);
        let record = |time: &mut CompletionTime| time.record(took_us, now);
        match self.routes.get_mut(route) {
            Some(time) => record(time),
            None => drop(self.routes.insert(route.clone(), new_time())),
        }
        match self.services.get_mut(service) {
            Some(time) => record(time),
            None => drop(self.services.insert(service.clone(), new_time())),
        }
    }

    /// Starts the stop of the node.
    pub fn start_stop(&mut self, stop: StopTimes) {
        self.stop = Some(stop);
    }

    /// Returns whether a request that is passed on at `now` can be completed before the node ends, see
    /// [`StopAdmission::latest_start`].
    pub fn can_complete(&self, route: &RouteId, service: &Service, deadline: TimeUs, now: TimeUs) -> bool {
        self.stop.is_none_or(|stop| {
            let latest_start = self.latest_start(route, service, deadline, stop);
            latest_start.is_none_or(|latest_start| now <= latest_start)
        })
    }

    /// Returns until when a request may be passed on so that it is completed before `stop` ends; `None` if it may be passed on at
    /// any time, because its `deadline` passes before and limits its response. While callers still arrive, the usual time decides, and what is not
    /// known is passed on; afterwards all requests must be expected to end.
    pub fn latest_start(
        &self,
        route: &RouteId,
        service: &Service,
        deadline: TimeUs,
        stop: StopTimes,
    ) -> Option<TimeUs> {
        let must_end_at = TimeUs(stop.end_at.0.saturating_sub(RESPONSE_MARGIN_MS * 1_000));
        let is_streamed = self.routes.get(route).is_some_and(|time| time.is_streamed || time.was_streamed_before);
        if deadline <= must_end_at && !is_streamed {
            return None;
        }
        let last_with_callers = TimeUs(stop.callers_left_at.0.saturating_sub(1));
        let Some(time) = self.routes.get(route).or_else(|| self.services.get(service)) else {
            return Some(last_with_callers);
        };
        let latest_start = |certain| TimeUs(must_end_at.0.saturating_sub(time.expected_us(certain)));
        let certain = latest_start(true);
        Some(if certain > last_with_callers { certain } else { latest_start(false).min(last_with_callers) })
    }
}
