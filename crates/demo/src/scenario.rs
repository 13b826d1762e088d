//! What happens during a run.

use crate::named_enum::named_enum;
use crate::phase::{Phase, Trigger};

named_enum!(
    /// The scenarios. Finer failures belong to the tests.
    ScenarioName, "scenario", {
        /// Load at its usual level and no fault.
        Calm = "calm",
        /// Demand above the fleet's capacity, and clients that retry hard.
        Surge = "surge",
        /// The service at the bottom of the chains slows down.
        DeepSlow = "deep-slow",
        /// One large tenant sends several times its rate.
        NoisyTenant = "noisy-tenant",
        /// Traffic moves to another zone and to deeper routes.
        PeakShift = "peak-shift",
        /// The platform's log is down.
        LogOutage = "log-outage",
        /// One zone is cut off from the others and from the log.
        ZoneCut = "zone-cut",
        /// A key is withdrawn from callers that are still connected.
        KeyWithdrawn = "key-withdrawn",
        /// One target leaves and then stops.
        TargetLeaves = "target-leaves",
        /// Several at once, twice.
        Mixed = "mixed",
    }
);

const SURGE_FACTOR: f64 = 4.0;
const NOISY_FACTOR: f64 = 12.0;
const SLOW_FACTOR: f64 = 6.0;

/// Milder factors for triggers that come together.
const MIXED_SURGE_FACTOR: f64 = 2.5;
const MIXED_SLOW_FACTOR: f64 = 3.0;

impl ScenarioName {
    /// Returns one sentence that says what happens.
    pub const fn description(self) -> &'static str {
        match self {
            Self::Calm => "usual load, no fault",
            Self::Surge => "four times the usual demand; clients retry hard",
            Self::DeepSlow => "the service at the bottom of the chains takes six times as long",
            Self::NoisyTenant => "one large tenant sends twelve times its usual load, four times its rate",
            Self::PeakShift => "traffic moves to another zone and to deeper routes",
            Self::LogOutage => "the platform's log is down",
            Self::ZoneCut => "one zone is cut off from the others and from the log",
            Self::KeyWithdrawn => "a key is withdrawn from callers that stay connected",
            Self::TargetLeaves => "one target leaves and then stops",
            Self::Mixed => "surge, slow service and cut zone at once; later again with a noisy tenant and the log down",
        }
    }

    /// Returns what happens when, in shares of the run.
    pub fn phases(self) -> Vec<Phase> {
        match self {
            Self::Calm => Vec::new(),
            Self::Surge => vec![Phase::new(0.3, 0.55, Trigger::Surge { factor: SURGE_FACTOR })],
            Self::DeepSlow => vec![Phase::new(0.3, 0.55, Trigger::SlowService { factor: SLOW_FACTOR })],
            Self::NoisyTenant => vec![Phase::new(0.3, 0.6, Trigger::NoisyTenant { factor: NOISY_FACTOR })],
            Self::PeakShift => vec![Phase::new(0.4, 0.4, Trigger::PeakShift)],
            Self::LogOutage => vec![Phase::new(0.3, 0.6, Trigger::LogOutage)],
            Self::ZoneCut => vec![Phase::new(0.3, 0.6, Trigger::ZoneCut)],
            Self::KeyWithdrawn => vec![Phase::new(0.3, 0.3, Trigger::KeyWithdrawn)],
            Self::TargetLeaves => vec![Phase::new(0.3, 0.6, Trigger::TargetLeaves)],
            Self::Mixed => [first_mixed_phases(0.2, 0.35), second_mixed_phases(0.55, 0.7)].concat(),
        }
    }
}

fn first_mixed_phases(begin_share: f64, end_share: f64) -> Vec<Phase> {
    let triggers = [
        Trigger::Surge { factor: MIXED_SURGE_FACTOR },
        Trigger::SlowService { factor: MIXED_SLOW_FACTOR },
        Trigger::ZoneCut,
    ];
    triggers.map(|trigger| Phase::new(begin_share, end_share, trigger)).to_vec()
}

fn second_mixed_phases(begin_share: f64, end_share: f64) -> Vec<Phase> {
    let triggers = [Trigger::NoisyTenant { factor: NOISY_FACTOR }, Trigger::LogOutage];
    let triggers = triggers.map(|trigger| Phase::new(begin_share, end_share, trigger));
    [first_mixed_phases(begin_share, end_share), triggers.to_vec()].concat()
}
