//! Report of a demo run.

use std::fmt;

use fulmartrestle_core::Class;
use fulmartrestle_derive::record;

use crate::{DeploymentName, PolicyName, ScenarioName, Violation};

/// Requests and complete responses of one class.
#[record]
#[derive(Copy)]
pub struct ClassShare {
    /// Priority class.
    pub class: Class,
    /// Number of requests that clients started.
    pub requests: u64,
    /// Number of requests with a complete response.
    pub whole: u64,
}

/// Number of sends with the same outcome.
#[record]
pub struct OutcomeCount {
    /// Outcome of the sends, with the reason of a refusal or failure.
    pub outcome: String,
    /// Number of sends.
    pub sends: u64,
}

/// Goodput before, during and after the triggers, in complete responses per second.
#[record]
#[derive(Copy)]
pub struct PhaseGoodput {
    /// Goodput from the end of the warm-up to the beginning of the first trigger.
    pub before_per_s: f64,
    /// Goodput from the beginning of the first trigger to the end of the last.
    pub during_per_s: f64,
    /// Goodput from the end of the last trigger to the end of the load.
    pub after_per_s: f64,
}

/// Report of a demo run, measured at the callers and the stand-in targets.
#[record]
pub struct DemoReport {
    /// Name of the deployment.
    pub deployment: DeploymentName,
    /// Name of the scenario.
    pub scenario: ScenarioName,
    /// Policy under test.
    pub policy: PolicyName,
    /// Duration of the load in seconds.
    pub seconds: u64,
    /// Random seed of the run.
    pub seed: u64,
    /// Number of requests that clients started; each may have been sent several times.
    pub requests: u64,
    /// Number of sends of all requests.
    pub sends: u64,
    /// Number of requests with a complete response.
    pub whole: u64,
    /// Number of requests whose last send was refused as not run.
    pub not_run: u64,
    /// Number of requests whose last send was refused with an unknown outcome.
    pub unknown: u64,
    /// Number of requests whose last send failed in another way.
    pub failed: u64,
    /// Complete responses per second of the load.
    pub goodput_per_s: f64,
    /// Time from the end of the last trigger until goodput is back at 95 % of the goodput before the
    /// triggers; absent if it does not recover before the end of the run, zero without triggers.
    pub recovery_ms: Option<u64>,
    /// Smallest ratio of a tenant's goodput to its fair share.
    pub worst_tenant_share: f64,
    /// Number of requests within their tenant's rate limit that got no complete response.
    pub refused_within_rate: u64,
    /// Largest number of attempts at targets that one send caused over its whole call chain, including the
    /// first.
    pub max_tries_per_request: u32,
    /// Number of idempotency keys whose request was started more than once.
    pub ran_twice: u64,
    /// Number of requests that reached a target with a caller's API key.
    pub keys_seen_by_targets: u64,
    /// Time from the withdrawal of a key to the last start of a request with that key; absent if no key was
    /// withdrawn.
    pub withdrawn_key_ms: Option<u64>,
    /// Time from the confirmation of the first configuration until all nodes had applied it.
    pub config_in_force_ms: u64,
    /// Median latency through the fleet minus that of direct calls, without other load.
    pub added_p50_us: u64,
    /// 99th percentile of the latency through the fleet minus that of direct calls, without other load.
    pub added_p99_us: u64,
    /// Median latency of direct calls outside the target, without other load.
    pub direct_p50_us: u64,
    /// 99th percentile of the latency of direct calls outside the target, without other load.
    pub direct_p99_us: u64,
    /// Median latency outside the target under load before the first trigger, including all queueing
    /// outside the target.
    pub loaded_p50_us: u64,
    /// 99th percentile of the latency outside the target under load before the first trigger.
    pub loaded_p99_us: u64,
    /// Number of violated invariants.
    pub invariant_violations: u64,
    /// Violated invariants.
    pub violations: Vec<Violation>,
    /// Goodput before, during and after the triggers.
    pub goodput: PhaseGoodput,
    /// Complete responses in each second of the load.
    pub goodput_by_s: Vec<u64>,
    /// Requests and complete responses by class.
    pub classes: Vec<ClassShare>,
    /// Sends by outcome.
    pub outcomes: Vec<OutcomeCount>,
}

impl DemoReport {
    /// Returns the report as one line of JSON.
    pub fn to_json_line(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns the exit code of a process that made this run: 1 if an invariant was violated, otherwise 0.
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
        writeln!(formatter, "  recovery {}", optional_ms(self.recovery_ms, "not before the end of the run"))?;
        writeln!(formatter, "  worst tenant's share {:.2}", self.worst_tenant_share)?;
        writeln!(formatter, "  refused within rate limit {}", self.refused_within_rate)?;
        writeln!(formatter, "  most attempts per send {}", self.max_tries_per_request)?;
        writeln!(formatter, "  ran twice {}, keys seen {}", self.ran_twice, self.keys_seen_by_targets)?;
        writeln!(formatter, "  withdrawn key last used after {}", optional_ms(self.withdrawn_key_ms, "-"))?;
        writeln!(formatter, "  configuration in force after {} ms", self.config_in_force_ms)?;
        writeln!(
            formatter,
            "  latency added to a direct call: median {} us, p99 {} us (direct {} us, {} us)",
            self.added_p50_us, self.added_p99_us, self.direct_p50_us, self.direct_p99_us
        )?;
        writeln!(
            formatter,
            "  latency outside the target under load: median {} us, p99 {} us",
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
