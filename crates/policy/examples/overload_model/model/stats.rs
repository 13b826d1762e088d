//! Statistics of a run of the model.

use fulmartrestle_core::TimeUs;
use fulmartrestle_policy::checks::InvariantCounters;

/// Length of the goodput buckets, in microseconds.
pub const BUCKET_US: u64 = 250_000;

/// Request counts of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassStats {
    /// New requests.
    pub demanded: u64,
    /// Requests that got a complete response.
    pub answered: u64,
    /// Requests that their clients gave up on.
    pub lost: u64,
}

/// Counts of one run.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Completely answered requests, by the time of the response, in buckets by tenant.
    pub answered: Vec<Vec<u32>>,
    /// New requests, in buckets by tenant.
    pub demanded: Vec<Vec<u32>>,
    /// Request counts by class.
    pub by_class: [ClassStats; 3],
    /// Work done by targets, in microseconds.
    pub work_us: u64,
    /// Work done for sends that were not answered in time, in microseconds.
    pub wasted_us: u64,
    /// Maximum number of retries that one send caused in the whole chain.
    pub max_retries: u32,
    /// Number of sends by clients.
    pub sends: u64,
    /// Responses that arrived after their attempt was given up.
    pub late_responses: u64,
    /// Maximum number of targets crashed by one request sent as [`super::settings::Fault::CrashRequest`].
    pub max_crashes: u32,
    /// Calls that gates and tables still count at the end although their clients have gone.
    pub leaked_calls: usize,
    /// Violations of invariants.
    pub violations: InvariantCounters,
}

impl Stats {
    /// Increments the count of a tenant in the bucket of a time.
    pub fn count_in_bucket(buckets: &mut Vec<Vec<u32>>, tenants: usize, tenant: usize, at: TimeUs) {
        let bucket = (at.0 / BUCKET_US) as usize;
        if buckets.len() <= bucket {
            buckets.resize(bucket + 1, vec![0; tenants]);
        }
        buckets[bucket][tenant] += 1;
    }

    /// Returns the completely answered requests per second between two times.
    pub fn goodput_per_s(&self, from: TimeUs, to: TimeUs) -> f64 {
        let answered: u32 = in_range(&self.answered, from, to).flatten().sum();
        f64::from(answered) * 1e6 / (to.us_since(from)) as f64
    }

    /// Returns one tenant's requests per second: new ones and completely answered ones.
    pub fn tenant_per_s(&self, tenant: usize, from: TimeUs, to: TimeUs) -> (f64, f64) {
        let seconds = to.us_since(from) as f64 / 1e6;
        let sum = |buckets| in_range(buckets, from, to).map(|bucket| f64::from(bucket[tenant])).sum::<f64>();
        (sum(&self.demanded) / seconds, sum(&self.answered) / seconds)
    }

    /// Returns the time in seconds after `from` until goodput reached `threshold_per_s` for a full second,
    /// or `None` if it did not before the end.
    pub fn recovery_s(&self, from: TimeUs, threshold_per_s: f64) -> Option<f64> {
        let bucket_s = BUCKET_US as f64 / 1e6;
        let first = (from.0 / BUCKET_US) as usize;
        let goodput: Vec<f64> = self.answered.iter().map(|bucket| f64::from(bucket.iter().sum::<u32>())).collect();
        let window = (1.0 / bucket_s) as usize;
        let recovered =
            goodput.get(first..)?.windows(window).position(|next| next.iter().sum::<f64>() >= threshold_per_s);
        recovered.map(|bucket| bucket as f64 * bucket_s)
    }
}

fn in_range(buckets: &[Vec<u32>], from: TimeUs, to: TimeUs) -> impl Iterator<Item = &Vec<u32>> {
    let first = ((from.0 / BUCKET_US) as usize).min(buckets.len());
    let last = ((to.0 / BUCKET_US) as usize).min(buckets.len());
    buckets[first..last].iter()
}
