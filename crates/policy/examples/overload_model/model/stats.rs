//! What a run of the model counts.

use fulmartrestle_core::TimeUs;
use fulmartrestle_policy::checks::InvariantCounters;

/// Length of the buckets in which goodput is counted, in microseconds.
pub const BUCKET_US: u64 = 250_000;

/// Requests of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassStats {
    /// New requests.
    pub demanded: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests that their clients gave up.
    pub lost: u64,
}

/// Counts of one run.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Requests answered whole, by time of the answer, in buckets, by tenant.
    pub answered: Vec<Vec<u32>>,
    /// New requests, in buckets, by tenant.
    pub demanded: Vec<Vec<u32>>,
    /// New requests, those answered whole and those given up, by class.
    pub by_class: [ClassStats; 3],
    /// Work that targets did, in microseconds.
    pub work_us: u64,
    /// Work for sends that were not answered in time, in microseconds.
    pub wasted_us: u64,
    /// Most retries that one send caused in the whole chain.
    pub most_retries: u32,
    /// Sends by clients.
    pub sends: u64,
    /// Answers that came after their attempt was given up.
    pub late_answers: u64,
    /// Targets crashed by the requests sent as [`super::settings::Fault::CrashRequest`], the most
    /// for one request.
    pub most_crashes: u32,
    /// Calls that gates and tables still count at the end, though their clients are gone.
    pub left_over: usize,
    /// Violations of what must always hold.
    pub violations: InvariantCounters,
}

impl Stats {
    /// Counts one event in its bucket.
    pub fn count(buckets: &mut Vec<Vec<u32>>, tenants: usize, tenant: usize, at: TimeUs) {
        let bucket = (at.0 / BUCKET_US) as usize;
        if buckets.len() <= bucket {
            buckets.resize(bucket + 1, vec![0; tenants]);
        }
        buckets[bucket][tenant] += 1;
    }

    /// Returns the requests answered whole per second from one time to another.
    pub fn goodput_per_s(&self, from: TimeUs, to: TimeUs) -> f64 {
        let answered: u32 = in_range(&self.answered, from, to).flatten().sum();
        f64::from(answered) * 1e6 / (to.us_since(from)) as f64
    }

    /// Returns one tenant's requests per second: new ones and those answered whole.
    pub fn tenant_per_s(&self, tenant: usize, from: TimeUs, to: TimeUs) -> (f64, f64) {
        let seconds = to.us_since(from) as f64 / 1e6;
        let sum = |buckets| in_range(buckets, from, to).map(|bucket| f64::from(bucket[tenant])).sum::<f64>();
        (sum(&self.demanded) / seconds, sum(&self.answered) / seconds)
    }

    /// Returns how long after `from` goodput reached `wanted` per second for a whole second, in
    /// seconds, or `None` when it didn't before the end.
    pub fn recovery_s(&self, from: TimeUs, wanted: f64) -> Option<f64> {
        let bucket_s = BUCKET_US as f64 / 1e6;
        let first = (from.0 / BUCKET_US) as usize;
        let goodput: Vec<f64> = self.answered.iter().map(|bucket| f64::from(bucket.iter().sum::<u32>())).collect();
        let window = (1.0 / bucket_s) as usize;
        let recovered = goodput.get(first..)?.windows(window).position(|next| next.iter().sum::<f64>() >= wanted);
        recovered.map(|bucket| bucket as f64 * bucket_s)
    }
}

fn in_range(buckets: &[Vec<u32>], from: TimeUs, to: TimeUs) -> impl Iterator<Item = &Vec<u32>> {
    let first = ((from.0 / BUCKET_US) as usize).min(buckets.len());
    let last = ((to.0 / BUCKET_US) as usize).min(buckets.len());
    buckets[first..last].iter()
}
