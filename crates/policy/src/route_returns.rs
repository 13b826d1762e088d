//! Returns of a tenant's refused callers on one route. See `docs/design/refused-callers.md`.
//!
//! Load pattern: for many seconds a route is admitted only in part, and callers that were refused come back beside new
//! requests.

use fulmartrestle_core::TimeUs;

/// Maximum number of admissions by which callers that return may exceed the admitted share. New requests give them up
/// afterwards, so that the total stays the same.
const MAX_ADVANCE: f64 = 10.0;

/// Bounds of the Retry-After of shed requests, in milliseconds. In less time, admission does not change; a caller waits
/// at most a third of its time left, and gives up if it is told to wait longer.
const MIN_RETRY_AFTER_MS: f64 = 300.0;
const MAX_RETRY_AFTER_MS: f64 = 2_000.0;

/// Shortest time between measurements of the trend, in milliseconds: that of the calculations of the share.
const TREND_INTERVAL_MS: u64 = 100;

/// Time without a measurement after which a new shortage begins, in milliseconds. The share is not recorded while
/// everything is admitted.
const SHORTAGE_GAP_MS: u64 = 1_000;

/// Weight of a new measurement in the trend.
const TREND_WEIGHT: f64 = 0.3;

const MS_PER_S: f64 = 1e3;

/// Admitted share of one tenant on a route, its trend, and the admissions that returning callers took in advance.
#[derive(Debug, Default)]
pub struct RouteReturns {
    share: f64,
    trend_per_s: f64,
    measured_at: Option<TimeUs>,
    advance: f64,
}

impl RouteReturns {
    /// Updates the admitted share and its trend.
    pub fn record_share(&mut self, share: f64, now: TimeUs) {
        let elapsed_ms = self.measured_at.map(|measured_at| now.ms_since(measured_at));
        if elapsed_ms.is_some_and(|elapsed_ms| elapsed_ms < TREND_INTERVAL_MS) {
            return;
        }
        let trend_per_s = elapsed_ms.map_or(0.0, |elapsed_ms| (share - self.share) * MS_PER_S / elapsed_ms as f64);
        self.trend_per_s += (trend_per_s - self.trend_per_s) * TREND_WEIGHT;
        self.share = share;
        self.measured_at = Some(now);
        if elapsed_ms.is_some_and(|elapsed_ms| elapsed_ms > SHORTAGE_GAP_MS) {
            (self.trend_per_s, self.advance) = (0.0, 0.0);
        }
    }

    /// Returns whether a caller that returns as told is admitted ahead of new requests.
    pub fn admit_return(&mut self) -> bool {
        let admitted = self.advance < MAX_ADVANCE;
        if admitted {
            self.advance += 1.0 - self.share;
        }
        admitted
    }

    /// Returns whether a new request is admitted. `draw` is a random number from 0 to 1.
    pub fn admit_new(&mut self, draw: f64) -> bool {
        let admitted = draw < self.share;
        // Below one, the advance is the probability that it is given back.
        if admitted && draw < self.share * self.advance {
            self.advance -= 1.0;
            return false;
        }
        admitted
    }

    /// Returns the admissions that were taken in advance and not given back.
    pub fn advance(&self) -> f64 {
        self.advance
    }

    /// Returns the time after which a refused caller should return, in milliseconds: when all requests are admitted if
    /// the share goes on rising, and otherwise the longer the less is admitted. `draw` is a random number from 0 to 1
    /// that spreads the returns over the second half of that time.
    pub fn retry_after_ms(&self, wait_limit_ms: Option<u64>, draw: f64) -> u64 {
        let missing = 1.0 - self.share;
        let by_shortage = MIN_RETRY_AFTER_MS + missing * (MAX_RETRY_AFTER_MS - MIN_RETRY_AFTER_MS);
        let by_trend = if self.trend_per_s > 0.0 { missing / self.trend_per_s * MS_PER_S } else { MAX_RETRY_AFTER_MS };
        let limit_ms = wait_limit_ms.map_or(MAX_RETRY_AFTER_MS, |limit_ms| limit_ms as f64).max(MIN_RETRY_AFTER_MS);
        let latest = by_shortage.min(by_trend).max(MIN_RETRY_AFTER_MS * 2.0).min(limit_ms);
        let earliest = (latest / 2.0).max(MIN_RETRY_AFTER_MS);
        (earliest + draw * (latest - earliest)) as u64
    }
}
