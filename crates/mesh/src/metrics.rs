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
    counters: BTreeMap<(&'static str, String), u64>,
    gauges: BTreeMap<&'static str, u64>,
    histograms: BTreeMap<(&'static str, String), Histogram>,
}

/// Counters, gauges and histograms of one node.
#[derive(Debug, Default)]
pub struct Metrics {
    tables: Mutex<Tables>,
}

impl Metrics {
    /// Increments the counter `name` with the given label.
    pub fn increment(&self, name: &'static str, label: &str) {
        let mut tables = lock(&self.tables);
        *tables.counters.entry((name, label.to_owned())).or_default() += 1;
    }

    /// Sets the gauge `name`.
    pub fn set_gauge(&self, name: &'static str, value: u64) {
        lock(&self.tables).gauges.insert(name, value);
    }

    /// Adds a duration to the histogram `name` with the given label.
    pub fn observe_us(&self, name: &'static str, label: &str, duration_us: u64) {
        let mut tables = lock(&self.tables);
        let histogram = tables.histograms.entry((name, label.to_owned())).or_default();
        histogram.count += 1;
        histogram.sum_us += duration_us;
        for (count, bound_ms) in histogram.counts.iter_mut().zip(BUCKET_BOUNDS_MS) {
            if duration_us <= bound_ms * US_PER_MS {
                *count += 1;
            }
        }
    }

    /// Returns the value of a counter; 0 if it was never incremented.
    pub fn counter(&self, name: &'static str, label: &str) -> u64 {
        lock(&self.tables).counters.get(&(name, label.to_owned())).copied().unwrap_or_default()
    }

    /// Returns all metrics as text, one per line.
    pub fn render(&self) -> String {
        let tables = lock(&self.tables);
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        for ((name, label), value) in &tables.counters {
            let _ = writeln!(text, "fulmartrestle_{name}_total{{label=\"{label}\"}} {value}");
        }
        for (name, value) in &tables.gauges {
            let _ = writeln!(text, "fulmartrestle_{name} {value}");
        }
        for ((name, label), histogram) in &tables.histograms {
            histogram.render(name, label, &mut text);
        }
        text
    }
}

impl Histogram {
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
