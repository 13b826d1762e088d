//! A tenant's rate, judged from outside.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fulmartrestle_derive::local;

const US_PER_S: f64 = 1_000_000.0;

/// Rounding of the bucket's content must not turn a just conforming request into a violation.
const ROUNDING_TOKENS: f64 = 1e-6;

/// A tenant's contract.
#[local]
#[derive(Copy)]
pub struct RateLimit {
    /// Requests per second.
    pub rate_per_s: u64,
    /// Requests at once.
    pub burst: u64,
}

/// A request that was admitted at some time between the two.
#[local]
#[derive(Copy)]
pub struct Admission {
    /// When the caller sent it, in microseconds.
    pub sent_us: u64,
    /// When a target began to work on it, in microseconds.
    pub started_us: u64,
}

/// A token bucket that starts full.
struct TokenBucket {
    limit: RateLimit,
    tokens: f64,
    now_us: f64,
}

impl TokenBucket {
    fn new(limit: RateLimit) -> Self {
        Self { limit, tokens: limit.burst as f64, now_us: 0.0 }
    }

    fn advance(&mut self, now_us: f64) {
        let gained = (now_us - self.now_us).max(0.0) * self.limit.rate_per_s as f64 / US_PER_S;
        self.tokens = (self.tokens + gained).min(self.limit.burst as f64);
        self.now_us = self.now_us.max(now_us);
    }

    fn try_take(&mut self) -> bool {
        let available = self.tokens >= 1.0 - ROUNDING_TOKENS;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    /// Returns when the next token is there, which is now when one is left.
    fn next_token_us(&self) -> f64 {
        let missing_tokens = (1.0 - self.tokens).max(0.0);
        self.now_us + missing_tokens * US_PER_S / self.limit.rate_per_s.max(1) as f64
    }
}

/// Returns for each of the times, which must be in order, whether a request sent then keeps to the limit.
/// Requests that don't keep to it use nothing up.
pub fn check_conformance(limit: RateLimit, sent_us: &[u64]) -> Vec<bool> {
    let mut bucket = TokenBucket::new(limit);
    let check = |sent_us: &u64| {
        bucket.advance(*sent_us as f64);
        bucket.try_take()
    };
    sent_us.iter().map(check).collect()
}

/// Returns how many admissions break the limit whatever their exact times were. The exact times are
/// unknown; the check searches for times between sending and start that keep to the limit, which the
/// earliest-deadline order finds when there are any.
pub fn count_rate_violations(limit: RateLimit, mut admissions: Vec<Admission>) -> u64 {
    admissions.sort_by_key(|admission| admission.sent_us);
    let mut bucket = TokenBucket::new(limit);
    let mut waiting = BinaryHeap::new();
    let mut late = 0;
    for admission in admissions {
        late += serve_waiting(&mut bucket, &mut waiting, admission.sent_us as f64);
        bucket.advance(admission.sent_us as f64);
        waiting.push(Reverse(admission.started_us));
    }
    late + serve_waiting(&mut bucket, &mut waiting, f64::INFINITY)
}

/// Serves those that wait, earliest deadline first, with the tokens that come before `until_us`. A token
/// that is there at that time is left for those that are sent then and may be more urgent. Returns how
/// many deadlines were missed. One that is late uses up no token, so that each counts once.
fn serve_waiting(bucket: &mut TokenBucket, waiting: &mut BinaryHeap<Reverse<u64>>, until_us: f64) -> u64 {
    let mut late = 0;
    while let Some(Reverse(deadline_us)) = waiting.peek() {
        let token_us = bucket.next_token_us();
        if token_us > *deadline_us as f64 + 1.0 {
            late += 1;
        } else if token_us >= until_us {
            break;
        } else {
            bucket.advance(token_us);
            bucket.try_take();
        }
        waiting.pop();
    }
    late
}
