//! Runs the demo from the start of the fleet to the report.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use crate::deployment::Deployment;
use crate::fleet::{BaselineFleet, Fleet, Infrastructure, NodeFleet};
use crate::latency_overhead::measure_latency_overhead;
use crate::load::{LoadGenerator, LoadProfile, draw_arrivals, generate_load};
use crate::measure::{RunRecord, SendRow, TargetRecords, summarize};
use crate::scenario_runner::ScenarioRunner;
use crate::{DemoArgs, DemoError, DemoReport, PolicyName};

const US_PER_S: u64 = 1_000_000;

/// Starts a fleet on the loopback address, sends load through it and returns the measurements. Requires a
/// `tokio` runtime with timers and sockets, preferably with several threads.
///
/// # Errors
///
/// Returns an error if an argument is invalid or the fleet can't be started or configured. Violated
/// invariants are not errors but part of the report.
pub async fn run_demo(args: DemoArgs) -> Result<DemoReport, DemoError> {
    if args.seconds == 0 {
        return Err(DemoError::InvalidArgument("the load must last at least 1 s".to_owned()));
    }
    let deployment = Arc::new(Deployment::named(args.deployment));
    let infrastructure = Infrastructure::default();
    let fleet = start_fleet(&args, &deployment, &infrastructure).await?;
    let config_in_force_ms = fleet.publish().await?;
    let latency_overhead = measure_latency_overhead(&*fleet, &deployment.leaf_service).await;
    let run_us = args.seconds * US_PER_S;
    let phases = args.scenario.phases();
    let profile = LoadProfile { deployment: &deployment, phases: &phases, run_us };
    let arrivals = draw_arrivals(&profile, args.seed);

    let started = Instant::now();
    let load_generator = LoadGenerator {
        deployment: Arc::clone(&deployment),
        fleet: Arc::clone(&fleet),
        started,
        seed: args.seed,
        sends: Mutex::default(),
    };
    let load_generator = Arc::new(load_generator);
    let scenario_runner = ScenarioRunner {
        deployment: Arc::clone(&deployment),
        fleet: Arc::clone(&fleet),
        infrastructure,
        started,
        run_us,
    };
    let ((), events) = tokio::join!(generate_load(Arc::clone(&load_generator), arrivals), scenario_runner.run(&phases));

    let sends = take_sorted_sends(&load_generator);
    let targets = TargetRecords::collect(fleet.targets(), started);
    fleet.stop().await;
    Ok(summarize(&RunRecord {
        args: &args,
        deployment: &deployment,
        phases: &phases,
        sends: &sends,
        targets: &targets,
        events: &events?,
        config_in_force_ms,
        latency_overhead: &latency_overhead,
    }))
}

async fn start_fleet(
    args: &DemoArgs,
    deployment: &Arc<Deployment>,
    infrastructure: &Infrastructure,
) -> Result<Arc<dyn Fleet>, DemoError> {
    match args.policy {
        PolicyName::Baseline => Ok(Arc::new(BaselineFleet::start(deployment, infrastructure, args.seed).await?)),
        PolicyName::Full => Ok(Arc::new(NodeFleet::start(deployment, infrastructure, args.seed).await?)),
    }
}

/// Takes the recorded sends, sorted by request number and send index.
fn take_sorted_sends(load_generator: &LoadGenerator) -> Vec<SendRow> {
    let recorded = &mut *load_generator.sends.lock().unwrap_or_else(PoisonError::into_inner);
    let mut sends = std::mem::take(recorded);
    sends.sort_by_key(|send| (send.request_number, send.send_index));
    sends
}

/// Returns the names and descriptions of all scenarios, one scenario per line.
pub fn list_scenarios() -> String {
    let line = |scenario: &crate::ScenarioName| format!("{scenario:<14} {}\n", scenario.description());
    crate::ScenarioName::ALL.iter().map(line).collect()
}
