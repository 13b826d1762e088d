//! At which rate running requests of each route make calls.

use std::collections::{HashMap, VecDeque};

use fulmartrestle_core::{RouteId, TimeUs};

/// Calls on one route that are remembered. Several hundred tell a route that makes calls from one that
/// only runs beside it.
const MAX_EVENTS: usize = 1_200;

/// Shortest and longest time that the remembered calls may span, in microseconds. Numbers of running
/// requests that are milliseconds apart tell nothing new, and rates of a minute ago are out of date.
const MIN_SPAN_US: u64 = 8_000_000;
const MAX_SPAN_US: u64 = 24_000_000;

/// Routes that are told apart; the ones after these are rare at one target.
const MAX_ROUTES: usize = 8;

/// Remembered calls between two estimates.
const EVENTS_PER_ESTIMATE: usize = 40;

/// Steps of one estimate. The rates of routes that make no calls fall by a good part in each, and the next
/// estimate goes on from them.
const STEPS: usize = 12;

/// Rate of a route before anything is known and the least rate of any, in calls a second. The least
/// keeps a route that begins to make calls from being ruled out.
const INITIAL_RATE: f64 = 1.0;
const LEAST_RATE: f64 = 1e-4;

const US_PER_S: f64 = 1e6;

/// How many requests of each route ran, and for how long in all until then.
type PerRoute = [f32; MAX_ROUTES];

#[derive(Debug, Clone, Copy)]
struct Event {
    at: TimeUs,
    running: PerRoute,
    ran_s: [f64; MAX_ROUTES],
}

#[derive(Debug)]
struct Calls {
    events: VecDeque<Event>,
    rates: [f64; MAX_ROUTES],
    since_estimate: usize,
    /// One of so many calls is remembered.
    stride: usize,
    skipped: usize,
}

impl Default for Calls {
    fn default() -> Self {
        let rates = [INITIAL_RATE; MAX_ROUTES];
        Self { events: VecDeque::new(), rates, since_estimate: 0, stride: 1, skipped: 0 }
    }
}

/// Rates of calls by the route that makes them, as the most likely ones for what was seen: calls come
/// more often while more requests run that make them.
#[derive(Debug, Default)]
pub(super) struct CallRates {
    places: HashMap<RouteId, usize>,
    running: PerRoute,
    ran_s: [f64; MAX_ROUTES],
    updated: TimeUs,
    calls: HashMap<RouteId, Calls>,
}

impl CallRates {
    pub fn started(&mut self, route: &RouteId, now: TimeUs) {
        self.advance(now);
        if !self.places.contains_key(route) && self.places.len() < MAX_ROUTES {
            self.places.insert(route.clone(), self.places.len());
        }
        if let Some(place) = self.places.get(route) {
            self.running[*place] += 1.0;
        }
    }

    pub fn ended(&mut self, route: &RouteId, now: TimeUs) {
        self.advance(now);
        if let Some(place) = self.places.get(route) {
            self.running[*place] -= 1.0;
        }
    }

    pub fn call(&mut self, route: &RouteId, now: TimeUs) {
        self.advance(now);
        let event = Event { at: now, running: self.running, ran_s: self.ran_s };
        let calls = self.calls.entry(route.clone()).or_default();
        if !calls.remember(event) {
            return;
        }
        calls.since_estimate += 1;
        if calls.since_estimate >= EVENTS_PER_ESTIMATE {
            calls.since_estimate = 0;
            calls.estimate();
        }
    }

    /// Returns the rate at which a running request of `parent` makes calls on `route`, in calls a second.
    pub fn rate(&self, parent: &RouteId, route: &RouteId) -> f64 {
        let place = self.places.get(parent);
        let calls = self.calls.get(route);
        place.zip(calls).map_or(LEAST_RATE, |(place, calls)| calls.rates[*place])
    }

    fn advance(&mut self, now: TimeUs) {
        let elapsed_s = now.us_since(self.updated) as f64 / US_PER_S;
        if self.updated > TimeUs(0) {
            for (ran_s, running) in self.ran_s.iter_mut().zip(self.running) {
                *ran_s += f64::from(running) * elapsed_s;
            }
        }
        self.updated = self.updated.max(now);
    }
}

impl Calls {
    /// Keeps one of some calls, so that those which are kept span the wanted time. Rates come out lower by
    /// the same factor for all routes, which leaves their relation.
    fn remember(&mut self, event: Event) -> bool {
        self.skipped += 1;
        if self.skipped < self.stride {
            return false;
        }
        self.skipped = 0;
        self.events.push_back(event);
        let span_us = |events: &VecDeque<Event>| events.front().map_or(0, |first| event.at.us_since(first.at));
        while self.events.len() > MAX_EVENTS || span_us(&self.events) > MAX_SPAN_US {
            self.events.pop_front();
        }
        if self.events.len() == MAX_EVENTS && span_us(&self.events) < MIN_SPAN_US {
            self.stride *= 2;
            let mut keep = false;
            self.events.retain(|_| {
                keep = !keep;
                keep
            });
        }
        true
    }

    /// Finds the rates under which the calls are most likely, by expectation and maximisation: each call
    /// is split among the routes that ran by their rates, and each rate is a route's part over its time.
    fn estimate(&mut self) {
        let (Some(first), Some(last)) = (self.events.front(), self.events.back()) else { return };
        let mut ran_s = [0.0; MAX_ROUTES];
        for (place, ran) in ran_s.iter_mut().enumerate() {
            *ran = last.ran_s[place] - first.ran_s[place];
        }
        for _ in 0..STEPS {
            let mut parts = [0.0; MAX_ROUTES];
            for event in &self.events {
                let weights = weights(&self.rates, &event.running);
                let total: f64 = weights.iter().sum();
                if total > 0.0 {
                    parts.iter_mut().zip(weights).for_each(|(part, weight)| *part += weight / total);
                }
            }
            for (place, rate) in self.rates.iter_mut().enumerate() {
                if ran_s[place] > 0.0 {
                    *rate = (parts[place] / ran_s[place]).max(LEAST_RATE);
                }
            }
        }
    }
}

fn weights(rates: &[f64; MAX_ROUTES], running: &PerRoute) -> [f64; MAX_ROUTES] {
    let mut weights = [0.0; MAX_ROUTES];
    for (place, weight) in weights.iter_mut().enumerate() {
        *weight = rates[place] * f64::from(running[place]);
    }
    weights
}
