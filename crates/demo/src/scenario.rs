//! Scenarios of faults and load changes during a run.

use crate::named_enum::named_enum;
use crate::phase::{Phase, Trigger};

named_enum!(
    /// Scenarios of a run. More specific faults are covered by the tests.
    ScenarioName, "scenario", {
        /// Usual load without faults.
        Calm = "calm",
        /// Load above the fleet's capacity, with clients that retry aggressively.
        Surge = "surge",
        /// The service at the end of the call chains is slow.
        DeepSlow = "deep-slow",
        /// One large tenant sends several times its rate limit.
        NoisyTenant = "noisy-tenant",
        /// Traffic moves to another zone and to routes with longer call chains.
        PeakShift = "peak-shift",
        /// The platform's log is unavailable.
        LogOutage = "log-outage",
        /// One zone is isolated from the others and from the log.
        ZoneCut = "zone-cut",
        /// A key is withdrawn while its callers are connected.
        KeyWithdrawn = "key-withdrawn",
        /// One target drains and then stops.
        TargetLeaves = "target-leaves",
        /// Several triggers at once, twice.
        Mixed = "mixed",
    }
);

/// Load of a surge relative to the usual load.
const SURGE_FACTOR: f64 = 4.0;

/// Load of the noisy tenant relative to its usual load. It amounts to four times the tenant's rate limit.
const NOISY_FACTOR: f64 = 12.0;

/// Service time of the slow service relative to its usual service time.
const SLOW_FACTOR: f64 = 6.0;

/// Load of a surge in scenario `mixed`, smaller because several triggers are active at once.
const MIXED_SURGE_FACTOR: f64 = 2.5;

/// Service time of the slow service in scenario `mixed`, smaller because several triggers are active at
/// once.
const MIXED_SLOW_FACTOR: f64 = 3.0;

impl ScenarioName {
    /// Returns a one-line description.
    pub const fn description(self) -> &'static str {
        match self {
            Self::Calm => "usual load, no faults",
            Self::Surge => "four times the usual load; clients retry aggressively",
            Self::DeepSlow => "the service at the end of the call chains takes six times as long",
            Self::NoisyTenant => "one large tenant sends twelve times its usual load, four times its rate limit",
            Self::PeakShift => "traffic moves to another zone and to routes with longer call chains",
            Self::LogOutage => "the platform's log is unavailable",
            Self::ZoneCut => "one zone is isolated from the others and from the log",
            Self::KeyWithdrawn => "a key is withdrawn while its callers are connected",
            Self::TargetLeaves => "one target drains and then stops",
            Self::Mixed => {
                "surge, slow service and isolated zone at once; later again with noisy tenant and log outage"
            }
        }
    }

    /// Returns the phases of the scenario.
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

fn first_mixed_phases(begin_fraction: f64, end_fraction: f64) -> Vec<Phase> {
    let triggers = [
        Trigger::Surge { factor: MIXED_SURGE_FACTOR },
        Trigger::SlowService { factor: MIXED_SLOW_FACTOR },
        Trigger::ZoneCut,
    ];
    triggers.map(|trigger| Phase::new(begin_fraction, end_fraction, trigger)).to_vec()
}

fn second_mixed_phases(begin_fraction: f64, end_fraction: f64) -> Vec<Phase> {
    let triggers = [Trigger::NoisyTenant { factor: NOISY_FACTOR }, Trigger::LogOutage];
    let triggers = triggers.map(|trigger| Phase::new(begin_fraction, end_fraction, trigger));
    [first_mixed_phases(begin_fraction, end_fraction), triggers.to_vec()].concat()
}
