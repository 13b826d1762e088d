//! Goodput over time and recovery from triggers.

/// Length of the windows in which goodput is compared. Shorter windows vary too much at a few hundred
/// requests per second.
const WINDOW_US: u64 = 1_000_000;

/// Interval between the starts of windows after the end of a trigger.
const WINDOW_STEP_US: u64 = 100_000;

/// Goodput has recovered at this fraction of the goodput before the triggers.
const RECOVERED_FRACTION: f64 = 0.95;

const US_PER_MS: u64 = 1_000;
const US_PER_S: f64 = 1_000_000.0;

/// Returns the rate of events from `from_us` until before `until_us`, in events per second.
pub(crate) fn rate_per_s(ended_us: &[u64], from_us: u64, until_us: u64) -> f64 {
    let count = ended_us.iter().filter(|ended| (from_us..until_us).contains(*ended)).count();
    let length_s = until_us.saturating_sub(from_us) as f64 / US_PER_S;
    if length_s > 0.0 { count as f64 / length_s } else { 0.0 }
}

/// Returns the time from the end of the trigger until goodput is back at 95 % of `before_per_s`, in
/// milliseconds, or `None` if it does not recover before the end of the run. `ended_us` are the times of
/// complete responses.
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
