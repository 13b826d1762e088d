//! Goodput over time.

/// Goodput is judged over windows of this length; shorter ones vary too much at some hundred requests
/// per second.
const WINDOW_US: u64 = 1_000_000;

/// Windows begin at multiples of this after a trigger's end.
const WINDOW_STEP_US: u64 = 100_000;

const RECOVERED_FRACTION: f64 = 0.95;

const US_PER_MS: u64 = 1_000;
const US_PER_S: f64 = 1_000_000.0;

/// Returns the events per second between the two times.
pub(crate) fn rate_per_s(ended_us: &[u64], from_us: u64, until_us: u64) -> f64 {
    let count = ended_us.iter().filter(|ended| (from_us..until_us).contains(*ended)).count();
    let length_s = until_us.saturating_sub(from_us) as f64 / US_PER_S;
    if length_s > 0.0 { count as f64 / length_s } else { 0.0 }
}

/// Returns the time from the end of the trigger until goodput is back at 95 % of its level before, in
/// milliseconds; `None` when it was not back by the end of the run. `ended_us` are the times at which
/// requests were answered whole.
pub fn recovery_ms(ended_us: &[u64], before_per_s: f64, trigger_end_us: u64, run_us: u64) -> Option<u64> {
    let mut from_us = trigger_end_us;
    while from_us + WINDOW_US <= run_us {
        if rate_per_s(ended_us, from_us, from_us + WINDOW_US) >= RECOVERED_FRACTION * before_per_s {
            return Some((from_us - trigger_end_us) / US_PER_MS);
        }
        from_us += WINDOW_STEP_US;
    }
    None
}
