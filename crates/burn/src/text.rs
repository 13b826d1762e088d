//! The report as text, and the figures' formats that the page shares with it.

use std::fmt::Write;

use crate::{BurnReport, CauseShare, MissingNode, RouteReport, TenantReport};

/// Returns the report as lines of text.
pub fn render(report: &BurnReport) -> String {
    let mut text = String::new();
    // Writing into a `String` can't fail.
    let _ = writeln!(text, "service-level burn at {}, {}", clock(report.wall_ms), coverage(report));
    for line in notes(report) {
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
        objective(route),
        route.status.as_str(),
        rate(route.burn_5_min),
        rate(route.burn_30_min),
        rate(route.burn_1_hour),
        rate(route.burn_6_hours),
        percent(route.budget_left)
    );
    if !route.causes.is_empty() {
        let causes: Vec<String> = route.causes.iter().map(cause).collect();
        let _ = writeln!(text, "    burned by: {}", causes.join(", "));
    }
    if route.last_day.over_rate > 0 {
        let _ = writeln!(text, "    over rate, outside the budget: {}", route.last_day.over_rate);
    }
    for tenant in &route.tenants {
        let _ = writeln!(text, "    {}", tenant_line(tenant));
    }
}

fn cause(cause: &CauseShare) -> String {
    format!("{} {} ({})", cause.cause, cause.calls, percent(cause.share))
}

fn tenant_line(tenant: &TenantReport) -> String {
    let bad = tenant.counts.bad_total();
    let mut line = format!("{}: {bad} bad, {} over rate", tenant.tenant, tenant.counts.over_rate);
    if tenant.error > 0 {
        let _ = write!(line, ", up to {} more of it or others", tenant.error);
    }
    line
}

/// Returns which nodes the report speaks of.
pub fn coverage(report: &BurnReport) -> String {
    let expected = report.nodes + report.missing.len();
    if report.missing.is_empty() {
        format!("{expected} of {expected} nodes")
    } else {
        format!("{} of {expected} nodes, {} missing", report.nodes, report.missing.len())
    }
}

/// Returns what a reader must know to read the figures rightly.
pub fn notes(report: &BurnReport) -> Vec<String> {
    let mut notes = Vec::new();
    if !report.missing.is_empty() {
        let names: Vec<String> = report.missing.iter().map(missing).collect();
        notes.push(format!("missing, so their calls are not counted: {}", names.join(", ")));
    }
    let newest = ago(report, report.newest_start_ms);
    let oldest = ago(report, report.oldest_start_ms);
    notes.push(format!("nodes keep nothing over a restart; the last one started {newest} ago, the first {oldest} ago"));
    if report.dropped > 0 {
        notes.push(format!("{} calls of routes beyond the bound on routes are not counted", report.dropped));
    }
    notes
}

fn missing(node: &MissingNode) -> String {
    format!("{} ({})", node.vm, node.zone)
}

fn ago(report: &BurnReport, start_ms: u64) -> String {
    let minutes = report.wall_ms.saturating_sub(start_ms) / 60_000;
    if minutes < 60 { format!("{minutes} min") } else { format!("{} h {} min", minutes / 60, minutes % 60) }
}

/// Returns what a route promises.
pub fn objective(route: &RouteReport) -> String {
    format!("{} % in {} ms", route.objective_percent, route.within_ms)
}

/// Returns a burn rate with as many places as it needs.
pub fn rate(rate: f64) -> String {
    if rate >= 100.0 { format!("{rate:.0}") } else { format!("{rate:.1}") }
}

/// Returns a share as percent.
pub fn percent(share: f64) -> String {
    format!("{:.1} %", share * 100.0)
}

/// Returns the time of day in UTC.
pub fn clock(wall_ms: u64) -> String {
    let minutes = wall_ms / 60_000 % 1_440;
    format!("{:02}:{:02} UTC", minutes / 60, minutes % 60)
}
