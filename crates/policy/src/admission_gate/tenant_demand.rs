//! What one tenant asks of a target.

use fulmartrestle_core::Class;

use crate::{BasisPoints, SheddableShares};

/// Time constant of the smoothed rates, in microseconds. Shorter ones take the chance arrivals of a
/// small tenant for a change of its demand.
const SMOOTHING_US: f64 = 400_000.0;
/// A share is never published below this, so that some calls come through and the demand stays known.
const LEAST_SHARE: f64 = 0.000_5;
/// A rate below this counts as none, in calls per second.
const LEAST_RATE_PER_S: f64 = 0.01;

/// The demand of one tenant by class, estimated from the calls that the doors let through.
#[derive(Debug, Default)]
pub(super) struct TenantDemand {
    weight: u32,
    lookup: ClassDemand,
    browse: ClassDemand,
}

/// The calls of one class that clients send, and the share that may come through.
#[derive(Debug)]
struct ClassDemand {
    sent: f64,
    sent_per_s: f64,
    share: f64,
}

impl Default for ClassDemand {
    fn default() -> Self {
        Self { sent: 0.0, sent_per_s: 0.0, share: 1.0 }
    }
}

impl TenantDemand {
    /// Counts a call that came through a door which admitted the given share. Such a call stands for
    /// the ones that the door refused meanwhile.
    pub fn offered(&mut self, class: Class, weight: u32, ingress_share: BasisPoints) {
        self.weight = weight.max(1);
        let sent = ingress_share.fraction().max(LEAST_SHARE).recip();
        match class {
            Class::Browse => self.browse.sent += sent,
            Class::Lookup | Class::Protected => self.lookup.sent += sent,
        }
    }

    pub fn close_window(&mut self, window_us: u64) {
        self.lookup.close_window(window_us);
        self.browse.close_window(window_us);
    }

    pub fn weight(&self) -> f64 {
        f64::from(self.weight.max(1))
    }

    /// Returns the calls per second that the tenant would send if none were refused at the doors.
    pub fn per_s(&self) -> f64 {
        self.lookup.sent_per_s + self.browse.sent_per_s
    }

    pub fn is_idle(&self) -> bool {
        self.per_s() < LEAST_RATE_PER_S
    }

    /// Sets the shares so that `allowed_per_s` calls come through: lookups first, then browsing.
    pub fn allow(&mut self, allowed_per_s: f64) {
        let lookups_per_s = self.lookup.sent_per_s;
        self.lookup.allow(allowed_per_s);
        self.browse.allow(allowed_per_s - lookups_per_s);
    }

    pub fn shares(&self) -> SheddableShares {
        SheddableShares {
            browse: BasisPoints::from_fraction(self.browse.share),
            lookup: BasisPoints::from_fraction(self.lookup.share),
        }
    }
}

impl ClassDemand {
    fn close_window(&mut self, window_us: u64) {
        let window_us = window_us.max(1) as f64;
        let weight = 1.0 - (-window_us / SMOOTHING_US).exp();
        let sent_per_s = self.sent * 1e6 / window_us;
        self.sent_per_s += (sent_per_s - self.sent_per_s) * weight;
        self.sent = 0.0;
    }

    fn allow(&mut self, allowed_per_s: f64) {
        let share = if self.sent_per_s > 0.0 { allowed_per_s / self.sent_per_s } else { 1.0 };
        self.share = share.clamp(LEAST_SHARE, 1.0);
    }
}
