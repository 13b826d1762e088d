//! Measures refusals, waits, messages and bytes of simulated fleets in virtual time, and the time to
//! recover from the crash of an owner.
//!
//! Run it with `cargo run --release -p fulmartrestle-quota --example rate_model`.

#[path = "../tests/support/mod.rs"]
mod support;

use fulmartrestle_quota::QuotaSettings;
use support::fleet::{Totals, config, tenant};
use support::{Faults, Fleet, Load};

/// Time for owners to acquire their leases and for buckets to fill, in milliseconds.
const WARM_UP_MS: u64 = 12_000;

struct Scenario {
    name: &'static str,
    size: usize,
    rate: u64,
    burst: u64,
    loads: Vec<[u64; 3]>,
    phase_ms: u64,
    faults: Faults,
}

fn scenario(name: &'static str, size: usize, rate: u64, burst: u64, loads: Vec<[u64; 3]>) -> Scenario {
    Scenario { name, size, rate, burst, loads, phase_ms: 10_000, faults: Faults::default() }
}

fn scenarios() -> Vec<Scenario> {
    let restarts = |per_10_000_s| Faults { restart_per_10_000_s: per_10_000_s, loss: 5, ..Faults::default() };
    let moving_load = vec![[855, 0, 0], [0, 855, 0], [0, 0, 855]];
    vec![
        scenario("even, 95 % of rate", 12, 900, 900, vec![[285, 285, 285]]),
        scenario("one zone, 95 % of rate", 12, 900, 900, vec![[855, 0, 0]]),
        scenario("one zone, 99 % of rate", 12, 900, 900, vec![[891, 0, 0]]),
        scenario("one zone, burst 1/10 s", 12, 900, 90, vec![[855, 0, 0]]),
        scenario("one zone, burst 2", 12, 50, 2, vec![[25, 0, 0]]),
        scenario("moving each 10 s, 95 %", 12, 900, 900, moving_load.clone()),
        Scenario { phase_ms: 2_000, ..scenario("moving each 2 s, 95 %", 12, 900, 900, moving_load) },
        scenario("one zone, 95 %, 48 nodes", 48, 900, 900, vec![[855, 0, 0]]),
        scenario("five times the rate", 12, 900, 900, vec![[1_500, 1_500, 1_500]]),
        Scenario { faults: restarts(6), ..scenario("even, 80 %, restart in 35 s", 48, 900, 900, vec![[240; 3]; 30]) },
        Scenario { faults: restarts(100), ..scenario("even, 80 %, restart in 2 s", 48, 900, 900, vec![[240; 3]; 6]) },
    ]
}

fn measure(scenario: &Scenario) -> (Totals, f64) {
    let initial_config = config(1, &[("rover", scenario.rate, scenario.burst)]);
    let mut fleet = Fleet::new(1, scenario.size, QuotaSettings::default(), scenario.faults.clone(), initial_config);
    fleet.measure_bytes = true;
    fleet.run(WARM_UP_MS);
    fleet.totals = Totals::default();
    for per_s in &scenario.loads {
        fleet.load.insert(tenant("rover"), Load { per_s: *per_s });
        fleet.run(scenario.phase_ms);
    }
    let seconds = (scenario.loads.len() as u64 * scenario.phase_ms) as f64 / 1_000.0;
    (fleet.totals, seconds)
}

fn print_scenarios() {
    println!(
        "scenario                       offered admitted refused% central% wait_ms  msg/node/s  B/node/s  violations"
    );
    for scenario in scenarios() {
        let (totals, seconds) = measure(&scenario);
        let per_node_s = scenario.size as f64 * seconds;
        println!(
            "{:<30} {:>7} {:>8} {:>8.3} {:>8.3} {:>7.2} {:>11.1} {:>9.0} {:>11}",
            scenario.name,
            totals.offered,
            totals.admitted,
            100.0 * totals.refused as f64 / totals.offered as f64,
            100.0 * totals.over_rate as f64 / totals.offered as f64,
            totals.wait_us as f64 / 1_000.0 / totals.admitted.max(1) as f64,
            totals.messages as f64 / per_node_s,
            totals.bytes as f64 / per_node_s,
            totals.violations,
        );
    }
}

/// Runs the simulation until all zones lend and returns the elapsed time in milliseconds.
fn ms_until_all_zones_lend(fleet: &mut Fleet) -> u64 {
    let mut elapsed_ms = 0;
    while fleet.lending_zones("rover") < 3 {
        fleet.run(10);
        elapsed_ms += 10;
    }
    elapsed_ms
}

fn print_failover() {
    println!("seed  ms from start to lending  ms from an owner's crash to lending  refused% meanwhile, even 60 %");
    for seed in 1..=5 {
        let initial_config = config(1, &[("rover", 900, 900)]);
        let mut fleet = Fleet::new(seed, 12, QuotaSettings::default(), Faults::default(), initial_config);
        let start_ms = ms_until_all_zones_lend(&mut fleet);
        fleet.load.insert(tenant("rover"), Load { per_s: [180; 3] });
        fleet.run(5_000);
        fleet.totals = Totals::default();
        fleet.stop_owner("rover");
        let failover_ms = ms_until_all_zones_lend(&mut fleet);
        let refused = 100.0 * fleet.totals.refused as f64 / fleet.totals.offered as f64;
        println!("{seed:>4} {start_ms:>25} {failover_ms:>36} {refused:>34.2}");
    }
}

fn main() {
    print_scenarios();
    print_failover();
}
