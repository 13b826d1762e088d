//! One run from start to report.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use crate::deployment::Deployment;
use crate::fleet::{BaselineFleet, Fleet, NodeFleet, Surroundings};
use crate::load::{Client, LoadProfile, arrivals, drive};
use crate::measure::{RunRecord, SendRow, TargetView, summarize};
use crate::speed::measure_speed;
use crate::stage::Stage;
use crate::{DemoArgs, DemoError, DemoReport, PolicyName};

const US_PER_S: u64 = 1_000_000;

/// Starts a fleet on the loopback address, drives load through it and measures. Needs a `tokio` runtime
/// with timers and sockets, better with several threads.
///
/// # Errors
///
/// Returns why the run could not be made. Invariants that were violated are part of the report.
pub async fn run_demo(args: DemoArgs) -> Result<DemoReport, DemoError> {
    if args.seconds == 0 {
        return Err(DemoError::BadArgument("the load must last at least 1 s".to_owned()));
    }
    let deployment = Arc::new(Deployment::named(args.deployment));
    let surroundings = Surroundings::default();
    let fleet = start_fleet(&args, &deployment, &surroundings).await?;
    let config_in_force_ms = fleet.publish().await?;
    let speed = measure_speed(&*fleet, &deployment.deepest).await;
    let run_us = args.seconds * US_PER_S;
    let phases = args.scenario.phases();
    let profile = LoadProfile { deployment: &deployment, phases: &phases, run_us };
    let arrivals = arrivals(&profile, args.seed);

    let started = Instant::now();
    let client = Client {
        deployment: Arc::clone(&deployment),
        fleet: Arc::clone(&fleet),
        started,
        seed: args.seed,
        rows: Mutex::default(),
    };
    let client = Arc::new(client);
    let stage = Stage { deployment: Arc::clone(&deployment), fleet: Arc::clone(&fleet), surroundings, started, run_us };
    let ((), events) = tokio::join!(drive(Arc::clone(&client), arrivals), stage.play(&phases));

    let sends = sorted_sends(&client);
    let targets = TargetView::collect(fleet.targets(), started);
    fleet.stop().await;
    Ok(summarize(&RunRecord {
        args: &args,
        deployment: &deployment,
        phases: &phases,
        sends: &sends,
        targets: &targets,
        events: &events?,
        config_in_force_ms,
        speed: &speed,
    }))
}

async fn start_fleet(
    args: &DemoArgs,
    deployment: &Arc<Deployment>,
    surroundings: &Surroundings,
) -> Result<Arc<dyn Fleet>, DemoError> {
    match args.policy {
        PolicyName::Baseline => Ok(Arc::new(BaselineFleet::start(deployment, surroundings, args.seed).await?)),
        PolicyName::Full => Ok(Arc::new(NodeFleet::start(deployment, surroundings, args.seed).await?)),
    }
}

/// Takes the sends in the order of request and send number.
fn sorted_sends(client: &Client) -> Vec<SendRow> {
    let rows = &mut *client.rows.lock().unwrap_or_else(PoisonError::into_inner);
    let mut sends = std::mem::take(rows);
    sends.sort_by_key(|send| (send.number, send.send));
    sends
}

/// Returns the scenarios with what happens in them, one a line.
pub fn scenario_list() -> String {
    let line = |scenario: &crate::ScenarioName| format!("{scenario:<14} {}\n", scenario.about());
    crate::ScenarioName::ALL.iter().map(line).collect()
}
