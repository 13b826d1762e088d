//! Stand-ins and scenarios of the review. Each scenario starts the project's programs as separate processes on loopback
//! addresses, and checks one rule from what clients and servers see. It needs the standard library only.
//!
//! Usage: `harness CASE FOLDER`. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. With `TROUBLE=0`
//! in the environment the scenario runs without its disruption.

mod cases;
mod client;
mod fleet;
mod http;
mod store;
mod worker;

use std::process::exit;
use std::time::Duration;

/// Longest duration of a scenario.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: harness CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::thread::spawn(|| fleet::end_after(TIME_LIMIT));
    // A panic means that the case could not run.
    let result = std::panic::catch_unwind(|| cases::run(case, folder, trouble));
    exit(match result {
        Ok(Some(true)) => 0,
        Ok(Some(false)) => 1,
        Ok(None) | Err(_) => 2,
    });
}
