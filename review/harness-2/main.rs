//! Scripts of the second review. Each case starts the project's own `fulmartrestle-sidecar` processes with stand-ins for
//! the platform's store, the workers, the clients and the process supervisor, all in this process and on loopback
//! addresses. Usage: `review-2 CASE PROGRAM RECORD`. Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case
//! could not run. `TROUBLE=0` runs the same without the disruption.

mod case_config;
mod case_drain;
mod case_stop;
mod client;
mod http;
mod nodes;
mod record;
mod store;
mod worker;

use std::process::ExitCode;

use case_drain::Disruption;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, program, record] = &args[..] else {
        eprintln!("usage: review-2 CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(record) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
    nodes::start_watchdog();
    let result = match case.as_str() {
        "stale-config" => case_config::run(program, &record, trouble),
        "stop" => case_stop::run(program, &record, trouble),
        "leave-after-restart" => case_drain::run(program, &record, Disruption::PlannedRestart, trouble),
        "leave-without-store" => case_drain::run(program, &record, Disruption::StoreDownAndKill, trouble),
        _ => Err(format!("unknown case {case}")),
    };
    match result {
        Ok(true) => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("verdict: the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
