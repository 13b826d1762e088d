//! The report as plain text, and the number formats that the HTML page shares with it.

use std::fmt::Write;

use crate::{BurnReport, CauseShare, MissingNode, RouteReport, TenantReport};

/// Returns the report as plain text.
pub fn render(report: &BurnReport) -> String {
    let mut text = String::new();
    // Writing into a `String` can't fail.
    let _ = writeln!(text, "service-level burn at {}, {}", format_time_of_day(report.wall_ms), format_coverage(report));
    for line in format_notes(report) {
        let _ = writeln!(text, "{line}");
    }
    let _ = writeln!(
        text,
        "\n{:<24} {:>18} {:<10} {:>7} {:>7} {:>7} {:>7} {:>8}",
        "route", "objective", "status", "5 min", "30 min", "1 h", "6 h", "left"
    );
    for route in &report.routes {
        render_route(&mut text, route);
    }
    text
}

fn render_route(text: &mut String, route: &RouteReport) {
    let _ = writeln!(
        text,
        "{:<24} {:>18} {:<10} {:>7} {:>7} {:>7} {:>7} {:>8}",
        route.route.as_str(),
        format_objective(route),
        route.status.as_str(),
        format_rate(route.burn_5_min),
        format_rate(route.burn_30_min),
        format_rate(route.burn_1_hour),
        format_rate(route.burn_6_hours),
        format_percent(route.budget_left)
    );
    if !route.causes.is_empty() {
        let causes: Vec<String> = route.causes.iter().map(format_cause).collect();
        let _ = writeln!(text, "    burned by: {}", causes.join(", "));
    }
    if route.last_day.over_rate > 0 {
        let _ = writeln!(text, "    over rate, outside the budget: {}", route.last_day.over_rate);
    }
    for tenant in &route.tenants {
        let _ = writeln!(text, "    {}", format_tenant(tenant));
    }
}

fn format_cause(cause: &CauseShare) -> String {
    format!("{} {} ({})", cause.cause, cause.calls, format_percent(cause.share))
}

fn format_tenant(tenant: &TenantReport) -> String {
    let bad = tenant.counts.bad_total();
    let mut line = format!("{}: {bad} bad, {} over rate", tenant.tenant, tenant.counts.over_rate);
    if tenant.error > 0 {
        let _ = write!(line, ", up to {} more that may belong to other tenants", tenant.error);
    }
    line
}

/// Formats how many of the nodes the report includes.
pub fn format_coverage(report: &BurnReport) -> String {
    let expected = report.nodes + report.missing.len();
    if report.missing.is_empty() {
        format!("{expected} of {expected} nodes")
    } else {
        format!("{} of {expected} nodes, {} missing", report.nodes, report.missing.len())
    }
}

/// Returns notes on calls that the figures don't include. The first note is on missing nodes, if there are any.
pub fn format_notes(report: &BurnReport) -> Vec<String> {
    let mut notes = Vec::new();
    if !report.missing.is_empty() {
        let names: Vec<String> = report.missing.iter().map(format_missing_node).collect();
        notes.push(format!("missing, so their calls are not counted: {}", names.join(", ")));
    }
    let shortest_uptime = format_uptime(report, report.newest_start_ms);
    let longest_uptime = format_uptime(report, report.oldest_start_ms);
    notes.push(format!(
        "nodes lose their counts at a restart; latest start {shortest_uptime} ago, earliest {longest_uptime} ago"
    ));
    if report.dropped > 0 {
        notes.push(format!("{} calls to routes beyond the maximum number of routes are not counted", report.dropped));
    }
    notes
}

fn format_missing_node(node: &MissingNode) -> String {
    format!("{} ({})", node.vm, node.zone)
}

/// Formats the time from `start_ms` to the report in hours and minutes.
fn format_uptime(report: &BurnReport, start_ms: u64) -> String {
    let minutes = report.wall_ms.saturating_sub(start_ms) / 60_000;
    if minutes < 60 { format!("{minutes} min") } else { format!("{} h {} min", minutes / 60, minutes % 60) }
}

/// Formats the objective of a route.
pub fn format_objective(route: &RouteReport) -> String {
    format!("{} % in {} ms", route.objective_percent, route.within_ms)
}

/// Formats a burn rate with one decimal place, or with none from 100 on.
pub fn format_rate(rate: f64) -> String {
    if rate >= 100.0 { format!("{rate:.0}") } else { format!("{rate:.1}") }
}

/// Formats a share in percent.
pub fn format_percent(share: f64) -> String {
    format!("{:.1} %", share * 100.0)
}

/// Formats the time of day of `wall_ms` in UTC.
pub fn format_time_of_day(wall_ms: u64) -> String {
    let minutes = wall_ms / 60_000 % 1_440;
    format!("{:02}:{:02} UTC", minutes / 60, minutes % 60)
}
