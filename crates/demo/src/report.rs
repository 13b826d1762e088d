//! The result of a run.

use std::fmt;

use fulmartrestle_core::Class;
use fulmartrestle_derive::record;

use crate::{DeploymentName, PolicyName, ScenarioName, Violation};

/// Requests of one class.
#[record]
#[derive(Copy)]
pub struct ClassShare {
    /// The class.
    pub class: Class,
    /// Requests that clients began with.
    pub requests: u64,
    /// Those answered whole.
    pub whole: u64,
}

/// Sends that ended in the same way.
#[record]
pub struct OutcomeCount {
    /// How they ended, with the reason of a refusal.
    pub outcome: String,
    /// Their number.
    pub sends: u64,
}

/// Goodput before, during and after the triggers.
#[record]
#[derive(Copy)]
pub struct PhaseGoodput {
    /// From the end of the warm-up to the first trigger.
    pub before_per_s: f64,
    /// From the first trigger's beginning to the last one's end.
    pub during_per_s: f64,
    /// From the last trigger's end to the end of the load.
    pub after_per_s: f64,
}

/// The result of a run, measured at the callers and the stand-in targets.
#[record]
pub struct DemoReport {
    /// The deployment.
    pub deployment: DeploymentName,
    /// The scenario.
    pub scenario: ScenarioName,
    /// What stood between callers and targets.
    pub policy: PolicyName,
    /// Length of the load.
    pub seconds: u64,
    /// The seed.
    pub seed: u64,
    /// Requests that clients began with; each may have been sent several times.
    pub requests: u64,
    /// Sends of all requests.
    pub sends: u64,
    /// Requests that were answered whole.
    pub whole: u64,
    /// Requests whose last send was refused as not run.
    pub not_run: u64,
    /// Requests whose last send was refused with an unknown outcome.
    pub unknown: u64,
    /// Requests whose last send failed in another way.
    pub failed: u64,
    /// Requests answered whole per second of the load.
    pub goodput_per_s: f64,
    /// Time from the end of the last trigger until goodput is back at 95 % of its level before; absent
    /// when it was not back by the end, zero without a trigger.
    pub recovery_ms: Option<u64>,
    /// Goodput of the worst-served tenant over its fair share.
    pub worst_tenant_share: f64,
    /// Requests within their tenant's rate that got no whole answer.
    pub refused_within_rate: u64,
    /// Most tries at targets that one send caused, over its whole chain, the first included.
    pub max_tries_per_request: u32,
    /// Requests that must not be repeated and ran more than once.
    pub ran_twice: u64,
    /// Requests that reached a target with a caller's key.
    pub keys_seen_by_targets: u64,
    /// Time from a key's withdrawal to the last start of a request with it; absent without a withdrawal.
    pub withdrawn_key_ms: Option<u64>,
    /// Time from the confirmation of the first configuration until every node acted on it.
    pub config_in_force_ms: u64,
    /// What the fleet adds to a direct call at the median, without other load.
    pub added_p50_us: u64,
    /// What it adds at the 99th percentile.
    pub added_p99_us: u64,
    /// Median time of direct calls outside the target, without other load.
    pub direct_p50_us: u64,
    /// 99th percentile of the same.
    pub direct_p99_us: u64,
    /// Median time outside the target under the load before the first trigger, with all waiting that
    /// doesn't happen in the target.
    pub loaded_p50_us: u64,
    /// 99th percentile of the same.
    pub loaded_p99_us: u64,
    /// Number of invariants that did not hold.
    pub invariant_violations: u64,
    /// Which ones.
    pub violations: Vec<Violation>,
    /// Goodput before, during and after the triggers.
    pub goodput: PhaseGoodput,
    /// Requests answered whole in each second of the load.
    pub goodput_by_s: Vec<u64>,
    /// Requests by class.
    pub classes: Vec<ClassShare>,
    /// Sends by how they ended.
    pub outcomes: Vec<OutcomeCount>,
}

impl DemoReport {
    /// Returns the report as one line of JSON.
    pub fn to_json_line(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns the exit code of a process that made this run: 1 when an invariant was violated.
    pub fn exit_code(&self) -> u8 {
        u8::from(self.invariant_violations > 0)
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let optional_ms = |value: Option<u64>, none: &str| value.map_or(none.to_owned(), |ms| format!("{ms} ms"));
        writeln!(
            formatter,
            "{} / {} / {}: {} s, seed {}",
            self.deployment, self.scenario, self.policy, self.seconds, self.seed
        )?;
        writeln!(
            formatter,
            "  requests {} (sends {}): whole {}, not run {}, unknown {}, failed {}",
            self.requests, self.sends, self.whole, self.not_run, self.unknown, self.failed
        )?;
        writeln!(
            formatter,
            "  goodput {:.0}/s: before {:.0}, during {:.0}, after {:.0}",
            self.goodput_per_s, self.goodput.before_per_s, self.goodput.during_per_s, self.goodput.after_per_s
        )?;
        writeln!(formatter, "  goodput by second {:?}", self.goodput_by_s)?;
        for class in &self.classes {
            writeln!(formatter, "  {:<9} {:>6} of {:>6} whole", class.class.as_str(), class.whole, class.requests)?;
        }
        writeln!(formatter, "  recovery {}", optional_ms(self.recovery_ms, "not within the run"))?;
        writeln!(formatter, "  worst tenant's share {:.2}", self.worst_tenant_share)?;
        writeln!(formatter, "  refused within rate {}", self.refused_within_rate)?;
        writeln!(formatter, "  most tries per request {}", self.max_tries_per_request)?;
        writeln!(formatter, "  ran twice {}, keys seen {}", self.ran_twice, self.keys_seen_by_targets)?;
        writeln!(formatter, "  withdrawn key stopped after {}", optional_ms(self.withdrawn_key_ms, "-"))?;
        writeln!(formatter, "  configuration in force after {} ms", self.config_in_force_ms)?;
        writeln!(
            formatter,
            "  added to a direct call: median {} us, p99 {} us (direct {} us, {} us)",
            self.added_p50_us, self.added_p99_us, self.direct_p50_us, self.direct_p99_us
        )?;
        writeln!(
            formatter,
            "  outside the target under load: median {} us, p99 {} us",
            self.loaded_p50_us, self.loaded_p99_us
        )?;
        writeln!(formatter, "  sends by outcome:")?;
        for outcome in &self.outcomes {
            writeln!(formatter, "    {:>7}  {}", outcome.sends, outcome.outcome)?;
        }
        write!(formatter, "  invariants violated: {}", self.invariant_violations)?;
        for violation in &self.violations {
            write!(formatter, "\n    {:?} ({})", violation.invariant, violation.count)?;
        }
        Ok(())
    }
}
