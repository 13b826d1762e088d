//! When refused callers were told to return. See `docs/design/refused-callers.md`.
//!
//! Load pattern: while a route is admitted only in part, a caller that is refused comes back once. If it has the same
//! chance as a new request each time, it gains from coming back early, and some callers are refused twice while others
//! that came later are admitted.

use std::collections::{HashMap, VecDeque};

use fulmartrestle_core::{Fingerprint, RouteId, Tenant, TimeUs};

use crate::Rank;
use crate::route_returns::RouteReturns;

/// Maximum number of refused callers that are remembered. The oldest are forgotten first and count as new.
const MAX_PLACES: usize = 4_096;

/// Maximum number of remembered callers with the same request. Their bodies are not known at admission.
const MAX_PLACES_PER_REQUEST: usize = 64;

/// How much earlier than told a caller may return, in milliseconds: timers and clocks of callers differ by a few.
const EARLY_TOLERANCE_MS: u64 = 30;

/// How much later than told a caller may return, in milliseconds. Callers that wait longer have given up.
const PLACE_VALID_MS: u64 = 3_000;

/// Maximum number of routes, ranks and tenants whose returns are tracked. A further one replaces all, which loses only
/// their trends and advances.
const MAX_RETURNS: usize = 4_096;

/// Maximum number of admissions that callers of all routes and tenants together may take in advance. With many tenants
/// that each take a few, a service that admits next to nothing would be flooded.
const MAX_ADVANCE: f64 = 20.0;

/// Time constant with which that number is forgotten, in milliseconds. A tenant that sends nothing more gives nothing back.
const ADVANCE_TIME_CONSTANT_MS: f64 = 2_000.0;

/// A request as it is known before its body is read.
#[derive(Clone, Copy, Debug)]
pub struct ArrivedRequest<'r> {
    /// Fingerprint of the request without its body.
    pub fingerprint: Fingerprint,
    /// Route of the request.
    pub route: &'r RouteId,
    /// Rank of the request.
    pub rank: Rank,
    /// Tenant of the caller; `None` on a public route.
    pub tenant: Option<&'r Tenant>,
}

/// Refused callers of equal requests.
#[derive(Debug, Default)]
struct RequestPlaces {
    /// Times at which the callers were told to return, earliest first.
    due: VecDeque<TimeUs>,
    /// Number of refusals that have not expired.
    refusals: usize,
    early_arrivals: u32,
}

/// Remembers refused callers for a few seconds, and admits those that return as told ahead of new requests.
#[derive(Debug, Default)]
pub struct RefusedCallers {
    places: HashMap<Fingerprint, RequestPlaces>,
    /// All places in the order of the refusals. Places that were taken remain until they expire.
    insertion_order: VecDeque<(Fingerprint, TimeUs)>,
    /// Tenants have shares of their own, so that none gives up admissions for the returns of another.
    returns: HashMap<(RouteId, Rank, Option<Tenant>), RouteReturns>,
    advance: f64,
    advance_updated_at: TimeUs,
}

impl RefusedCallers {
    /// Returns whether a request is admitted while the admitted share of its route and tenant is `share`. `draw` is a random
    /// number from 0 to 1. Admissions of callers that return replace those of new requests.
    pub fn admit(&mut self, request: ArrivedRequest, share: f64, draw: f64, now: TimeUs) -> bool {
        let returns_as_told = self.take_place(request.fingerprint, now);
        if share >= 1.0 {
            return true;
        }
        self.advance *= (-(now.ms_since(self.advance_updated_at) as f64) / ADVANCE_TIME_CONSTANT_MS).exp();
        self.advance_updated_at = now;
        let has_precedence = returns_as_told && self.advance < MAX_ADVANCE;
        let returns = self.returns(request);
        returns.record_share(share, now);
        let advance_before = returns.advance();
        let admitted = (has_precedence && returns.admit_return()) || returns.admit_new(draw);
        let change = returns.advance() - advance_before;
        self.advance += change;
        admitted
    }

    /// Records that a request is refused, and returns the time after which its caller should return, in milliseconds:
    /// at most `wait_limit_ms` unless that is too short for any change. `draw` is a random number from 0 to 1.
    pub fn refuse(&mut self, request: ArrivedRequest, wait_limit_ms: Option<u64>, draw: f64, now: TimeUs) -> u64 {
        let retry_after_ms = self.returns(request).retry_after_ms(wait_limit_ms, draw);
        let due = now.plus_ms(retry_after_ms);
        self.remove_expired(now);
        let places = self.places.entry(request.fingerprint).or_default();
        if places.refusals < MAX_PLACES_PER_REQUEST {
            let position = places.due.partition_point(|other| *other <= due);
            places.due.insert(position, due);
            places.refusals += 1;
            self.insertion_order.push_back((request.fingerprint, due));
        }
        retry_after_ms
    }

    /// Returns the number of remembered places, including those that were taken but have not expired.
    pub fn remembered_places(&self) -> usize {
        self.insertion_order.len()
    }

    /// Takes the earliest place of a request that is due. A caller that returns early loses its place. As a caller
    /// returns once, a second early arrival is that of another caller with an equal request, and takes nothing.
    fn take_place(&mut self, fingerprint: Fingerprint, now: TimeUs) -> bool {
        let Some(places) = self.places.get_mut(&fingerprint) else { return false };
        while places.due.front().is_some_and(|due| now.ms_since(*due) > PLACE_VALID_MS) {
            places.due.pop_front();
        }
        let Some(due) = places.due.front() else { return false };
        let is_due = due.ms_since(now) <= EARLY_TOLERANCE_MS;
        places.early_arrivals += u32::from(!is_due);
        if is_due || (places.early_arrivals == 1 && places.due.len() == 1) {
            places.due.pop_front();
        }
        is_due
    }

    fn remove_expired(&mut self, now: TimeUs) {
        while let Some((fingerprint, due)) = self.insertion_order.front().copied() {
            if self.insertion_order.len() < MAX_PLACES && now.ms_since(due) <= PLACE_VALID_MS {
                return;
            }
            self.insertion_order.pop_front();
            let Some(places) = self.places.get_mut(&fingerprint) else { continue };
            if let Some(position) = places.due.iter().position(|other| *other == due) {
                places.due.remove(position);
            }
            places.refusals -= 1;
            if places.refusals == 0 {
                self.places.remove(&fingerprint);
            }
        }
    }

    fn returns(&mut self, request: ArrivedRequest) -> &mut RouteReturns {
        let key = (request.route.clone(), request.rank, request.tenant.cloned());
        if self.returns.len() >= MAX_RETURNS && !self.returns.contains_key(&key) {
            self.returns.clear();
        }
        self.returns.entry(key).or_default()
    }
}
