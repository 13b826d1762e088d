//! Prints the results of the overload model: the baseline next to the full policy, with the same seed.

#[allow(dead_code, reason = "the randomised tests use the faults")]
mod model;

use fulmartrestle_core::TimeUs;
use model::Model;
use model::deployment::Deployment;
use model::settings::{Mode, ModelSettings, Phase};
use model::stats::Stats;

const DEFAULT_SEED: u64 = 1;

fn main() {
    let seed = std::env::var("FULMARTRESTLE_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(DEFAULT_SEED);
    let deployments = [Deployment::compagni(), Deployment::karoo()];
    let runs: [fn(&Deployment, Mode, u64) -> String; 4] = [double_demand, fivefold_demand, slow_service, greedy_tenant];
    std::thread::scope(|scope| {
        let run = |deployment, mode| scope.spawn(move || runs.map(|run| run(deployment, mode, seed)));
        let runs_by_deployment = deployments
            .each_ref()
            .map(|deployment| (deployment, run(deployment, Mode::Baseline), run(deployment, Mode::Full)));
        for (deployment, baseline, full) in runs_by_deployment {
            println!("{}, seed {seed}, capacity {:.0}/s", deployment.name, deployment.capacity_per_s());
            let lines = baseline.join().into_iter().chain(full.join()).flatten();
            lines.for_each(|line| println!("  {line}"));
        }
    });
}

fn phase(from_s: u64, demand: f64, slowdown: f64) -> Phase {
    Phase { from: TimeUs::from_s(from_s), demand, slowdown }
}

fn double_demand(deployment: &Deployment, mode: Mode, seed: u64) -> String {
    overload(deployment, mode, seed, 2.0)
}

fn fivefold_demand(deployment: &Deployment, mode: Mode, seed: u64) -> String {
    overload(deployment, mode, seed, 5.0)
}

/// Returns the settings of a run. With `FULMARTRESTLE_SLOTS=free` a target's slot is free while its call
/// waits for another service.
fn run_settings(deployment: Deployment, mode: Mode, seed: u64, phases: Vec<Phase>, end: TimeUs) -> ModelSettings {
    let mut settings = ModelSettings::new(deployment, mode, seed, phases, end);
    settings.hold_slots_during_child_calls = std::env::var("FULMARTRESTLE_SLOTS").as_deref() != Ok("free");
    settings
}

/// Runs a surge: demand rises to a multiple of the capacity for eight seconds.
fn overload(deployment: &Deployment, mode: Mode, seed: u64, surge: f64) -> String {
    let phases = vec![phase(0, 0.8, 1.0), phase(4, 0.95, 1.0), phase(8, surge, 1.0), phase(16, 0.8, 1.0)];
    let settings = run_settings(deployment.clone(), mode, seed, phases, TimeUs::from_s(26));
    let stats = Model::new(settings).run();
    let before = stats.goodput_per_s(TimeUs::from_s(2), TimeUs::from_s(4));
    let best = stats.goodput_per_s(TimeUs::from_s(5), TimeUs::from_s(8));
    let during = stats.goodput_per_s(TimeUs::from_s(9), TimeUs::from_s(16));
    let relative = during / best;
    let recovery = format_seconds(stats.recovery_s(TimeUs::from_s(16), before * 0.9));
    format!(
        "{mode:?} demand x{surge}: goodput {during:.0}/s = {relative:.2} of best without ({best:.0}/s), recovery {recovery}, {}",
        format_common_stats(&stats)
    )
}

/// Runs a slowdown: the deepest service takes ten times longer for eight seconds.
fn slow_service(deployment: &Deployment, mode: Mode, seed: u64) -> String {
    let phases = vec![phase(0, 0.8, 1.0), phase(4, 0.8, 10.0), phase(12, 0.8, 1.0)];
    let settings = run_settings(deployment.clone(), mode, seed, phases, TimeUs::from_s(22));
    let stats = Model::new(settings).run();
    let before = stats.goodput_per_s(TimeUs::from_s(2), TimeUs::from_s(4));
    let during = stats.goodput_per_s(TimeUs::from_s(6), TimeUs::from_s(12));
    let relative = during / (deployment.capacity_per_s() / 10.0);
    let recovery = format_seconds(stats.recovery_s(TimeUs::from_s(12), before * 0.9));
    format!(
        "{mode:?} deepest x10 slower: goodput {during:.0}/s = {relative:.2} of what is left, recovery {recovery}, {}",
        format_common_stats(&stats)
    )
}

/// Runs a greedy tenant: a small tenant sends ten times its share while the others nearly saturate the
/// fleet.
fn greedy_tenant(deployment: &Deployment, mode: Mode, seed: u64) -> String {
    let phases = vec![phase(0, 0.9, 1.0)];
    let mut settings = run_settings(deployment.clone(), mode, seed, phases, TimeUs::from_s(15));
    let greedy = deployment.tenant_weights.len() - 1;
    settings.greedy_tenant = Some(greedy);
    let stats = Model::new(settings).run();
    let share = |tenant| {
        let (demanded, answered) = stats.tenant_per_s(tenant, TimeUs::from_s(3), TimeUs::from_s(15));
        answered / demanded
    };
    let worst = (0..greedy).map(share).fold(f64::INFINITY, f64::min);
    format!("{mode:?} greedy tenant: worst other tenant gets {worst:.2} of its demand, {}", format_common_stats(&stats))
}

fn format_common_stats(stats: &Stats) -> String {
    let wasted = stats.wasted_us as f64 / stats.work_us.max(1) as f64;
    let lost: Vec<String> = stats
        .by_class
        .iter()
        .map(|class| format!("{:.2}", class.lost as f64 * 100.0 / class.demanded.max(1) as f64))
        .collect();
    format!(
        "wasted {:.1} %, most retries {}, lost browse/lookup/protected {} %, violations {}",
        wasted * 100.0,
        stats.max_retries,
        lost.join("/"),
        stats.violations
    )
}

fn format_seconds(time_s: Option<f64>) -> String {
    time_s.map_or("none".to_owned(), |time_s| format!("{time_s:.2} s"))
}
