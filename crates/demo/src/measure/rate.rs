//! Conformance to a tenant's rate limit, based on records of callers and targets.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fulmartrestle_derive::local;

const US_PER_S: f64 = 1_000_000.0;

/// Tolerance in tokens. Without it, rounding errors would make a request that just conforms a violation.
const ROUNDING_TOLERANCE_TOKENS: f64 = 1e-6;

/// Rate limit of a tenant.
#[local]
#[derive(Copy)]
pub struct RateLimit {
    /// Requests per second.
    pub rate_per_s: u64,
    /// Number of requests that may be sent at once.
    pub burst: u64,
}

/// An admitted request. The exact time of its admission is unknown but lies between the two times.
#[local]
#[derive(Copy)]
pub struct Admission {
    /// When the caller sent it, in microseconds.
    pub sent_us: u64,
    /// When a target started the request, in microseconds.
    pub started_us: u64,
}

/// Token bucket that starts full.
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
        let available = self.tokens >= 1.0 - ROUNDING_TOLERANCE_TOKENS;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    /// Returns when the next token is available, in microseconds, which is now if a token is left.
    fn next_token_us(&self) -> f64 {
        let missing_tokens = (1.0 - self.tokens).max(0.0);
        self.now_us + missing_tokens * US_PER_S / self.limit.rate_per_s.max(1) as f64
    }
}

/// Returns for each time in `sent_us`, which must be sorted, whether a request sent at that time conforms to
/// the limit. Requests that do not conform consume no tokens.
pub fn check_conformance(limit: RateLimit, sent_us: &[u64]) -> Vec<bool> {
    let mut bucket = TokenBucket::new(limit);
    let check = |sent_us: &u64| {
        bucket.advance(*sent_us as f64);
        bucket.try_take()
    };
    sent_us.iter().map(check).collect()
}

/// Returns the number of admissions that violate the limit, whatever their exact times were. These are
/// unknown, so the check looks for admission times between send and start that conform to the limit.
/// Earliest-deadline-first order finds such times if there are any.
pub fn count_rate_violations(limit: RateLimit, mut admissions: Vec<Admission>) -> u64 {
    admissions.sort_by_key(|admission| admission.sent_us);
    let mut bucket = TokenBucket::new(limit);
    let mut waiting = BinaryHeap::new();
    let mut missed = 0;
    for admission in admissions {
        missed += serve_waiting(&mut bucket, &mut waiting, admission.sent_us as f64);
        bucket.advance(admission.sent_us as f64);
        waiting.push(Reverse(admission.started_us));
    }
    missed + serve_waiting(&mut bucket, &mut waiting, f64::INFINITY)
}

/// Assigns tokens that become available before `until_us` to waiting requests, earliest deadline first. A
/// token that is available at `until_us` is left for requests that are sent at that time, which may have
/// earlier deadlines. Returns the number of missed deadlines. A request that misses its deadline consumes
/// no token, so that it does not cause further violations.
fn serve_waiting(bucket: &mut TokenBucket, waiting: &mut BinaryHeap<Reverse<u64>>, until_us: f64) -> u64 {
    let mut missed = 0;
    while let Some(Reverse(deadline_us)) = waiting.peek() {
        let token_us = bucket.next_token_us();
        if token_us > *deadline_us as f64 + 1.0 {
            missed += 1;
        } else if token_us >= until_us {
            break;
        } else {
            bucket.advance(token_us);
            bucket.try_take();
        }
        waiting.pop();
    }
    missed
}
