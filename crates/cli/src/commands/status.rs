//! Prints the status of a node.

use fulmartrestle_api::StatusAnswer;

use super::print_json;
use crate::CliError;
use crate::client::AdminClient;
use crate::print_line::print_line;

/// Prints the status of a node and its view of the fleet.
///
/// # Errors
///
/// Returns an error if the node can't be reached or refuses the request.
pub async fn print_status(client: &AdminClient, json: bool) -> Result<(), CliError> {
    let status: StatusAnswer = client.get("/v1/status").await?;
    if json {
        return print_json(&status);
    }
    print_node_status(&status);
    print_zone_status(&status);
    print_stops(&status);
    for counter in &status.counters {
        print_line!("counter  {} {}", counter.name, counter.value);
    }
    Ok(())
}

fn print_node_status(status: &StatusAnswer) {
    let config = &status.config;
    print_line!("node     {} in zone {}", status.vm, status.zone);
    print_line!("version  {} in force, {}", status.version, if config.ready { "serving" } else { "not ready" });
    match config.log_age_ms {
        Some(age_ms) => print_line!("log      {}, read to its end {age_ms} ms ago", config.isolation),
        None => print_line!("log      {}, not read yet", config.isolation),
    }
    print_line!("targets  {} known, {} calls running on this node's target", status.targets, status.in_flight);
}

fn print_zone_status(status: &StatusAnswer) {
    for zone in &status.members {
        print_line!("zone     {}: {} members reachable", zone.zone, zone.reachable);
    }
    for zone_report in &status.config.zones {
        let report = &zone_report.report;
        print_line!(
            "config   {}: version {} to {}, {} of {} members behind, {} ({} ms ago)",
            report.zone,
            report.lowest,
            report.highest,
            report.behind_count,
            report.member_count,
            report.isolation,
            zone_report.age_ms
        );
    }
    for zone in &status.unconfirmed_zones {
        print_line!("waiting  {zone} has not confirmed version {}", status.version);
    }
}

fn print_stops(status: &StatusAnswer) {
    for stop in &status.stops {
        let state = match (stop.due, stop.own_target_drained) {
            (false, _) => "planned",
            (true, Some(true)) => "complete on this node",
            (true, Some(false)) => "finishing calls on this node",
            (true, None) => "due, this node is not in its scope",
        };
        print_line!("stop     {}: {} at {} ({}), {state}", stop.stop, stop.scope, stop.local_time, stop.utc_time);
    }
}
