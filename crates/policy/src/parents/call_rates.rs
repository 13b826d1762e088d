//! Estimated rates at which running requests of each route make calls.

use std::collections::{HashMap, VecDeque};

use fulmartrestle_core::{RouteId, TimeUs};

/// Maximum number of sampled calls on one route. Several hundred distinguish a route that makes calls from
/// one that merely runs at the same time.
const MAX_SAMPLES: usize = 1_200;

/// Minimum and maximum time that the sampled calls may span, in microseconds. Numbers of running requests
/// that are milliseconds apart add no information, and rates of a minute ago are out of date.
const MIN_SAMPLE_SPAN_US: u64 = 8_000_000;
const MAX_SAMPLE_SPAN_US: u64 = 24_000_000;

/// Maximum number of distinguished parent routes; further ones are rare at one target.
const MAX_PARENT_ROUTES: usize = 8;

/// Sampled calls between two estimates.
const SAMPLES_PER_ESTIMATE: usize = 40;

/// Iterations of one estimate. The rates of routes that make no calls fall considerably in each, and the
/// next estimate continues from them.
const ESTIMATE_ITERATIONS: usize = 12;

/// Initial and minimum rate of a route, in calls per second. With a minimum, a route that begins to make
/// calls is not ruled out.
const INITIAL_RATE_PER_S: f64 = 1.0;
const MIN_RATE_PER_S: f64 = 1e-4;

const US_PER_S: f64 = 1e6;

/// Number of running requests by route index.
type RunningByRoute = [f32; MAX_PARENT_ROUTES];

#[derive(Debug, Clone, Copy)]
struct CallSample {
    at: TimeUs,
    running: RunningByRoute,
    /// Total running time of the requests of each route until `at`, in seconds.
    running_s: [f64; MAX_PARENT_ROUTES],
}

#[derive(Debug)]
struct RouteCalls {
    samples: VecDeque<CallSample>,
    rates: [f64; MAX_PARENT_ROUTES],
    samples_since_estimate: usize,
    /// Every `stride`-th call is sampled.
    stride: usize,
    calls_since_sample: usize,
}

impl Default for RouteCalls {
    fn default() -> Self {
        let rates = [INITIAL_RATE_PER_S; MAX_PARENT_ROUTES];
        Self { samples: VecDeque::new(), rates, samples_since_estimate: 0, stride: 1, calls_since_sample: 0 }
    }
}

/// Maximum likelihood estimate of call rates by the route that makes the calls: calls arrive more often
/// while more requests of the routes that make them are running.
#[derive(Debug, Default)]
pub(super) struct CallRates {
    route_indexes: HashMap<RouteId, usize>,
    running: RunningByRoute,
    running_s: [f64; MAX_PARENT_ROUTES],
    updated_at: TimeUs,
    calls: HashMap<RouteId, RouteCalls>,
}

impl CallRates {
    pub fn record_start(&mut self, route: &RouteId, now: TimeUs) {
        self.update_running_time(now);
        if !self.route_indexes.contains_key(route) && self.route_indexes.len() < MAX_PARENT_ROUTES {
            self.route_indexes.insert(route.clone(), self.route_indexes.len());
        }
        if let Some(index) = self.route_indexes.get(route) {
            self.running[*index] += 1.0;
        }
    }

    pub fn record_end(&mut self, route: &RouteId, now: TimeUs) {
        self.update_running_time(now);
        if let Some(index) = self.route_indexes.get(route) {
            self.running[*index] -= 1.0;
        }
    }

    pub fn record_call(&mut self, route: &RouteId, now: TimeUs) {
        self.update_running_time(now);
        let sample = CallSample { at: now, running: self.running, running_s: self.running_s };
        let calls = self.calls.entry(route.clone()).or_default();
        if !calls.add_sample(sample) {
            return;
        }
        calls.samples_since_estimate += 1;
        if calls.samples_since_estimate >= SAMPLES_PER_ESTIMATE {
            calls.samples_since_estimate = 0;
            calls.update_rates();
        }
    }

    /// Returns the rate at which a running request of `parent` makes calls on `route`, in calls per second.
    pub fn rate(&self, parent: &RouteId, route: &RouteId) -> f64 {
        let index = self.route_indexes.get(parent);
        let calls = self.calls.get(route);
        index.zip(calls).map_or(MIN_RATE_PER_S, |(index, calls)| calls.rates[*index])
    }

    fn update_running_time(&mut self, now: TimeUs) {
        let elapsed_s = now.us_since(self.updated_at) as f64 / US_PER_S;
        if self.updated_at > TimeUs(0) {
            for (running_s, running) in self.running_s.iter_mut().zip(self.running) {
                *running_s += f64::from(running) * elapsed_s;
            }
        }
        self.updated_at = self.updated_at.max(now);
    }
}

impl RouteCalls {
    /// Adds a call to the sample, unless it is skipped so that the sampled calls span the wanted time. This
    /// lowers the rates by the same factor for all routes, which preserves their ratios.
    fn add_sample(&mut self, sample: CallSample) -> bool {
        self.calls_since_sample += 1;
        if self.calls_since_sample < self.stride {
            return false;
        }
        self.calls_since_sample = 0;
        self.samples.push_back(sample);
        let span_us = |samples: &VecDeque<CallSample>| samples.front().map_or(0, |first| sample.at.us_since(first.at));
        while self.samples.len() > MAX_SAMPLES || span_us(&self.samples) > MAX_SAMPLE_SPAN_US {
            self.samples.pop_front();
        }
        if self.samples.len() == MAX_SAMPLES && span_us(&self.samples) < MIN_SAMPLE_SPAN_US {
            self.stride *= 2;
            let mut keep = false;
            self.samples.retain(|_| {
                keep = !keep;
                keep
            });
        }
        true
    }

    /// Estimates the rates for which the calls are most likely, by expectation maximization: each call is
    /// divided among the running routes by their rates, and the new rate of a route is its sum of parts
    /// divided by its running time.
    fn update_rates(&mut self) {
        let (Some(first), Some(last)) = (self.samples.front(), self.samples.back()) else { return };
        let mut running_s = [0.0; MAX_PARENT_ROUTES];
        for (index, route_running_s) in running_s.iter_mut().enumerate() {
            *route_running_s = last.running_s[index] - first.running_s[index];
        }
        for _ in 0..ESTIMATE_ITERATIONS {
            let mut attributed_calls = [0.0; MAX_PARENT_ROUTES];
            for sample in &self.samples {
                let weights = weights(&self.rates, &sample.running);
                let total: f64 = weights.iter().sum();
                if total > 0.0 {
                    attributed_calls.iter_mut().zip(weights).for_each(|(part, weight)| *part += weight / total);
                }
            }
            for (index, rate) in self.rates.iter_mut().enumerate() {
                if running_s[index] > 0.0 {
                    *rate = (attributed_calls[index] / running_s[index]).max(MIN_RATE_PER_S);
                }
            }
        }
    }
}

fn weights(rates: &[f64; MAX_PARENT_ROUTES], running: &RunningByRoute) -> [f64; MAX_PARENT_ROUTES] {
    let mut weights = [0.0; MAX_PARENT_ROUTES];
    for (index, weight) in weights.iter_mut().enumerate() {
        *weight = rates[index] * f64::from(running[index]);
    }
    weights
}
