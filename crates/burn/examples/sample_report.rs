//! Writes a sample burn report as `burn.html`, `burn.json` and `burn.txt` to the given directory, by default the
//! current one: `cargo run -p fulmartrestle-burn --example sample_report -- DIRECTORY`.

use std::path::PathBuf;
use std::time::Instant;

use fulmartrestle_burn::{
    BurnReport, BurnSettings, BurnSummary, BurnTable, CallOutcome, CallSample, MissingNode, Objective, ShareMillionths,
};
use fulmartrestle_core::VmId;

/// End of the sample: 2026-03-29 11:45 UTC.
const END_MS: u64 = 1_774_784_700_000;
const RECORDED_MINUTES: u64 = 420;
const TIMED_CALLS: u64 = 1_000_000;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let directory = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let settings = BurnSettings::default();
    let mut fleet: Option<BurnSummary> = None;
    let mut table_bytes = 0;
    for node in 1..=3 {
        let table = record_calls(node, &settings)?;
        table_bytes = table.heap_bytes();
        let summary = table.summary(VmId(node), END_MS);
        match &mut fleet {
            Some(fleet) => {
                fleet.merge(&summary);
            }
            None => fleet = Some(summary),
        }
    }
    let Some(fleet) = fleet else { return Ok(()) };
    let missing = vec![MissingNode { vm: VmId(4), zone: "verona".parse()? }];
    let report = BurnReport::new(&fleet, missing, &settings);
    std::fs::write(directory.join("burn.html"), report.to_html())?;
    std::fs::write(directory.join("burn.json"), report.to_json()?)?;
    std::fs::write(directory.join("burn.txt"), report.to_text())?;
    println!("{}", report.to_text());
    println!("one node holds {table_bytes} bytes for {} routes", fleet.routes.len());
    println!("a full table holds {} bytes", full_table(&settings)?.heap_bytes());
    println!("recording a call takes {} ns", record_call_ns(&settings)?);
    println!("the merged summary takes {} bytes as JSON", serde_json::to_string(&fleet)?.len());
    Ok(())
}

/// Returns a table with the maximum number of routes and tenants.
fn full_table(settings: &BurnSettings) -> Result<BurnTable, Box<dyn std::error::Error>> {
    let mut table = BurnTable::new(settings.clone(), END_MS);
    for route in 0..settings.max_routes * 2 {
        for tenant in 0..settings.tenants_per_route * 2 {
            let tenant = format!("tenant-{tenant:04}").parse()?;
            let route = format!("route-{route:04}").parse()?;
            table.record(&CallSample { route, tenant: Some(tenant), outcome: CallOutcome::Shed }, END_MS);
        }
    }
    Ok(table)
}

/// Returns the mean time to record a call in a full table, in nanoseconds.
fn record_call_ns(settings: &BurnSettings) -> Result<u128, Box<dyn std::error::Error>> {
    let mut table = full_table(settings)?;
    let tenant = Some("tenant-0003".parse()?);
    let sample =
        CallSample { route: "route-0200".parse()?, tenant, outcome: CallOutcome::Complete { latency_us: 9_000 } };
    let start = Instant::now();
    for call in 0..TIMED_CALLS {
        table.record(std::hint::black_box(&sample), END_MS + call / 100);
    }
    Ok(start.elapsed().as_nanos() / u128::from(TIMED_CALLS))
}

/// Records seven hours of calls. The route `pairing` sheds load in the last 75 minutes, `search` is slightly too
/// slow all the time, and on `profiles` some calls exceed the rate of their tenant.
fn record_calls(node: u64, settings: &BurnSettings) -> Result<BurnTable, Box<dyn std::error::Error>> {
    let mut table = BurnTable::new(settings.clone(), END_MS - RECORDED_MINUTES * 60_000);
    table.set_objectives([
        Objective { route: "pairing".parse()?, share: ShareMillionths(999_000), within_ms: 800 },
        Objective { route: "search".parse()?, share: ShareMillionths(950_000), within_ms: 300 },
        Objective { route: "profiles".parse()?, share: ShareMillionths(990_000), within_ms: 200 },
    ]);
    for minute in 0..RECORDED_MINUTES {
        let wall_ms = END_MS - (RECORDED_MINUTES - minute) * 60_000;
        let is_overloaded = minute + 75 >= RECORDED_MINUTES;
        for call in 0..60 {
            let call_number = call + minute * 7 + node;
            let tenant = ["lombardia-viaggi", "veneto-treni", "laghi-e-monti"][(call_number % 3) as usize];
            let pairing = match call_number % 211 {
                0..=1 if is_overloaded => CallOutcome::Shed,
                2 if is_overloaded => CallOutcome::Late,
                _ => CallOutcome::Complete { latency_us: 120_000 },
            };
            let search_us = if call_number.is_multiple_of(17) { 420_000 } else { 90_000 };
            let profiles = match call_number % 97 {
                0 if minute < 90 => CallOutcome::Failed,
                1..=3 => CallOutcome::OverRate,
                _ => CallOutcome::Complete { latency_us: 9_000 },
            };
            let outcomes = [
                ("pairing", pairing),
                ("search", CallOutcome::Complete { latency_us: search_us }),
                ("profiles", profiles),
            ];
            for (route, outcome) in outcomes {
                let sample = CallSample { route: route.parse()?, tenant: Some(tenant.parse()?), outcome };
                table.record(&sample, wall_ms);
            }
        }
    }
    Ok(table)
}
