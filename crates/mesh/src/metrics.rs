//! Counters and latency histograms, rendered as text for the metrics address.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Mutex;

use fulmartrestle_core::lock;

/// Upper bounds of the histogram buckets, in milliseconds. Each is about twice the previous one, from a cached
/// response to the longest deadlines.
const BUCKET_BOUNDS_MS: [u64; 13] = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000];

const US_PER_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct Histogram {
    counts: [u64; BUCKET_BOUNDS_MS.len()],
    count: u64,
    sum_us: u64,
}

#[derive(Debug, Default)]
struct Tables {
    counters: ByLabel<u64>,
    gauges: BTreeMap<&'static str, u64>,
    histograms: ByLabel<Histogram>,
}

/// Values by name and label. A value that exists is found without an allocation.
type ByLabel<T> = BTreeMap<&'static str, BTreeMap<String, T>>;

fn update<T: Default>(values: &mut ByLabel<T>, name: &'static str, label: &str, change: impl FnOnce(&mut T)) {
    let by_label = values.entry(name).or_default();
    match by_label.get_mut(label) {
        Some(value) => change(value),
        None => change(by_label.entry(label.to_owned()).or_default()),
    }
}

/// Counters, gauges and histograms of one node.
#[derive(Debug, Default)]
pub struct Metrics {
    tables: Mutex<Tables>,
}

impl Metrics {
    /// Increments the counter `name` with the given label.
    pub fn increment(&self, name: &'static str, label: &str) {
        update(&mut lock(&self.tables).counters, name, label, |count| *count += 1);
    }

    /// Sets the gauge `name`.
    pub fn set_gauge(&self, name: &'static str, value: u64) {
        lock(&self.tables).gauges.insert(name, value);
    }

    /// Adds a duration to the histogram `name` with the given label.
    pub fn observe_us(&self, name: &'static str, label: &str, duration_us: u64) {
        update(&mut lock(&self.tables).histograms, name, label, |histogram| histogram.observe(duration_us));
    }

    /// Returns the value of a counter; 0 if it was never incremented.
    pub fn counter(&self, name: &'static str, label: &str) -> u64 {
        let tables = lock(&self.tables);
        tables.counters.get(name).and_then(|by_label| by_label.get(label)).copied().unwrap_or_default()
    }

    /// Returns all metrics as text, one per line.
    pub fn render(&self) -> String {
        let tables = lock(&self.tables);
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        for (name, label, value) in entries(&tables.counters) {
            let _ = writeln!(text, "fulmartrestle_{name}_total{{label=\"{label}\"}} {value}");
        }
        for (name, value) in &tables.gauges {
            let _ = writeln!(text, "fulmartrestle_{name} {value}");
        }
        for (name, label, histogram) in entries(&tables.histograms) {
            histogram.render(name, label, &mut text);
        }
        text
    }
}

fn entries<T>(values: &ByLabel<T>) -> impl Iterator<Item = (&'static str, &str, &T)> {
    values.iter().flat_map(|(name, by_label)| by_label.iter().map(|(label, value)| (*name, label.as_str(), value)))
}

impl Histogram {
    fn observe(&mut self, duration_us: u64) {
        self.count += 1;
        self.sum_us += duration_us;
        for (count, bound_ms) in self.counts.iter_mut().zip(BUCKET_BOUNDS_MS) {
            if duration_us <= bound_ms * US_PER_MS {
                *count += 1;
            }
        }
    }

    fn render(&self, name: &str, label: &str, text: &mut String) {
        for (count, bound_ms) in self.counts.iter().zip(BUCKET_BOUNDS_MS) {
            let _ = writeln!(text, "fulmartrestle_{name}_ms_bucket{{label=\"{label}\",le=\"{bound_ms}\"}} {count}");
        }
        let _ = writeln!(text, "fulmartrestle_{name}_ms_bucket{{label=\"{label}\",le=\"+Inf\"}} {}", self.count);
        let sum_ms = self.sum_us / US_PER_MS;
        let _ = writeln!(text, "fulmartrestle_{name}_ms_sum{{label=\"{label}\"}} {sum_ms}");
        let _ = writeln!(text, "fulmartrestle_{name}_ms_count{{label=\"{label}\"}} {}", self.count);
    }
}
