//! Share of a service's calls that fail although they are repeated at another target. See
//! `docs/design/failing-service-admission.md`.
//!
//! Load pattern: most routes that call a failing service are shed, so that only a few calls per second still show
//! whether its targets refuse.

use crate::TargetAttempts;

/// Time constant of the estimate, in seconds. Without calls it falls below [`MIN_REFUSED_SHARE`] within 2.1 to 2.6 s. With
/// 0.45 s, the probing requests of a small fleet were too few to keep admission closed.
const TIME_CONSTANT_S: f64 = 0.6;

/// Maximum number of attempts that the estimate rests on. While many calls come, it follows the reports at once.
const MAX_ATTEMPTS: f64 = 40.0;

/// Number of successful attempts that are assumed beside the measured ones, so that a few refusals prove nothing.
const PRIOR_ATTEMPTS: f64 = 2.0;

/// Share of refused attempts below which a service counts as working. Repetitions at other targets hide such a share.
const MIN_REFUSED_SHARE: f64 = 0.2;

/// Share of refused attempts from which on the calls per request are not measured. Requests make fewer calls while
/// calls fail, and would seem to succeed more often than they do.
const MAX_MEASURED_SHARE: f64 = 0.1;

/// Calls per request below which a route does not depend on the service. Some calls are attributed to a wrong route.
const MIN_CALLS_PER_REQUEST: f64 = 0.8;

const MILLI: f64 = 1e3;

/// Refusals by the targets of one service, estimated from the reports of the last moments.
#[derive(Debug, Default)]
pub struct ServiceRefusals {
    reached: f64,
    refused: f64,
    /// Refused attempts whose repetition at another target would be refused as well.
    refused_twice: f64,
}

impl ServiceRefusals {
    /// Updates the estimate with `elapsed_s` seconds of attempts at the targets of the service.
    pub fn record_attempts(&mut self, targets: &[TargetAttempts], elapsed_s: f64) {
        let per_s = |milli: u32| f64::from(milli) / MILLI;
        let reached: f64 = targets.iter().map(|target| per_s(target.reached_milli)).sum();
        let refused: f64 = targets.iter().map(|target| per_s(target.refused_milli)).sum();
        let refused_twice = |target: &TargetAttempts| {
            let elsewhere = reached - per_s(target.reached_milli);
            // Without another target, a call is not repeated.
            let share_elsewhere =
                if elsewhere > 0.0 { (refused - per_s(target.refused_milli)) / elsewhere } else { 1.0 };
            per_s(target.refused_milli) * share_elsewhere
        };
        let refused_twice: f64 = targets.iter().map(refused_twice).sum();
        let new_attempts = reached * elapsed_s;
        let kept = (-elapsed_s / TIME_CONSTANT_S).exp();
        let scale = (MAX_ATTEMPTS / (self.reached * kept + new_attempts)).min(1.0);
        self.reached = (self.reached * kept + new_attempts) * scale;
        self.refused = (self.refused * kept + refused * elapsed_s) * scale;
        self.refused_twice = (self.refused_twice * kept + refused_twice * elapsed_s) * scale;
    }

    fn refused_share(&self) -> f64 {
        self.refused / (self.reached + PRIOR_ATTEMPTS)
    }

    /// Returns whether so few calls fail that requests make as many as usual.
    pub fn allows_measuring_calls(&self) -> bool {
        self.refused_share() < MAX_MEASURED_SHARE
    }

    /// Returns the expected share of requests that succeed if each makes `calls_per_request` calls to the service.
    /// Each call may be repeated once, which is optimistic while the retry budget is exhausted.
    pub fn success_share(&self, calls_per_request: f64) -> f64 {
        if self.refused_share() < MIN_REFUSED_SHARE || calls_per_request < MIN_CALLS_PER_REQUEST {
            return 1.0;
        }
        (1.0 - self.refused_twice / (self.reached + PRIOR_ATTEMPTS)).powf(calls_per_request)
    }
}
