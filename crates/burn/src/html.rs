//! The report as an HTML page.

use std::fmt::Write;

use crate::text::{format_coverage, format_notes, format_objective, format_percent, format_rate, format_time_of_day};
use crate::{BurnReport, BurnStatus, RouteReport, TenantReport, svg};

/// Style sheet of the page, inline because the page loads nothing.
const STYLE: &str = "\
:root{color-scheme:light dark;--line:#8886;--over:#c0392b;--under:#2e86ab;--shed:#c0392b;--failed:#7d3c98;\
--late:#d68910;--not-run:#7f8c8d}\
body{font:15px/1.45 system-ui,sans-serif;max-width:1060px;margin:2rem auto;padding:0 1rem}\
h1{font-size:1.5rem;margin-bottom:.2rem}h2{font-size:1.1rem;margin:0 0 .3rem}\
table{border-collapse:collapse;width:100%;margin:1rem 0}\
th,td{padding:.3rem .6rem;border-bottom:1px solid var(--line);text-align:right}\
th:first-child,td:first-child,td.left,th.left{text-align:left}\
section{border:1px solid var(--line);border-radius:6px;padding:1rem;margin:1rem 0}\
.wrap{display:flex;flex-wrap:wrap;gap:1.5rem}.wrap>div{flex:1 1 320px;min-width:0;overflow-x:auto}\
svg{width:100%;height:auto;display:block}svg text{font-size:11px;fill:currentColor}\
svg line{stroke:currentColor;stroke-width:1;opacity:.35}svg line.even{stroke-dasharray:4 3;opacity:.9}\
.over{fill:var(--over)}.under{fill:var(--under)}.shed{fill:var(--shed);background:var(--shed)}\
.failed{fill:var(--failed);background:var(--failed)}.late{fill:var(--late);background:var(--late)}\
.not-run{fill:var(--not-run);background:var(--not-run)}\
.key{display:inline-block;width:.8em;height:.8em;margin-right:.35em}.legend span{margin-right:1.2em}\
.badge{display:inline-block;padding:.05rem .5rem;border-radius:1em;border:1px solid currentColor;white-space:nowrap}\
.fast{color:#c0392b;font-weight:600}.slow{color:#b9770e;font-weight:600}\
.note{margin:.15rem 0;opacity:.85}.warn{border-left:4px solid #d68910;padding-left:.6rem;opacity:1}";

/// Returns the report as an HTML page without external resources and scripts.
pub fn render(report: &BurnReport) -> String {
    let mut page = String::from("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
    page.push_str("<meta name=\"viewport\" content=\"width=device-width,initial-scale=1\">");
    let _ = write!(page, "<title>Service-level burn</title><style>{STYLE}</style></head>\n<body>");
    write_header(&mut page, report);
    write_overview(&mut page, report);
    for route in report.routes.iter().filter(|route| route.status != BurnStatus::NoTraffic) {
        write_route(&mut page, route);
    }
    page.push_str("</body></html>\n");
    page
}

/// Writes the title, the notes and an explanation of the figures.
fn write_header(page: &mut String, report: &BurnReport) {
    let _ = write!(
        page,
        "<header><h1>Service-level burn</h1><p>{}, {}</p>",
        format_time_of_day(report.wall_ms),
        format_coverage(report)
    );
    for (index, note) in format_notes(report).iter().enumerate() {
        let is_warning = index == 0 && !report.missing.is_empty();
        let class = if is_warning { "note warn" } else { "note" };
        let _ = write!(page, "<p class=\"{class}\">{}</p>", escape_html(note));
    }
    let _ = write!(
        page,
        "<p class=\"note\">A burn rate of 1 uses up the day's budget in a day. Fast burn: {} or more over 5 min and \
         1 h. Slow burn: {} or more over 30 min and 6 h. Calls over a tenant's rate are outside the budget.</p></header>",
        format_rate(report.fast_burn_rate),
        format_rate(report.slow_burn_rate)
    );
}

/// Writes a table with one row per route.
fn write_overview(page: &mut String, report: &BurnReport) {
    page.push_str(
        "<table><thead><tr><th>Route</th><th class=\"left\">Objective</th><th class=\"left\">Status</th><th>5 min</th>\
         <th>30 min</th><th>1 h</th><th>6 h</th><th>Budget left</th><th>Calls a day</th><th>Over rate</th></tr>\
         </thead><tbody>",
    );
    for route in &report.routes {
        let _ = write!(
            page,
            "<tr><td>{}</td><td class=\"left\">{}</td><td class=\"left\">{}</td><td>{}</td><td>{}</td><td>{}</td>\
             <td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>",
            escape_html(route.route.as_str()),
            escape_html(&format_objective(route)),
            status_badge(route.status),
            format_rate(route.burn_5_min),
            format_rate(route.burn_30_min),
            format_rate(route.burn_1_hour),
            format_rate(route.burn_6_hours),
            format_percent(route.budget_left),
            route.last_day.total(),
            route.last_day.over_rate
        );
    }
    page.push_str("</tbody></table>\n");
}

fn status_badge(status: BurnStatus) -> String {
    let class = match status {
        BurnStatus::FastBurn => "badge fast",
        BurnStatus::SlowBurn => "badge slow",
        BurnStatus::Ok | BurnStatus::NoTraffic => "badge",
    };
    format!("<span class=\"{class}\">{}</span>", status.as_str())
}

/// Writes the plots and tables of one route.
fn write_route(page: &mut String, route: &RouteReport) {
    let _ = write!(page, "<section><h2>{} {}</h2>", escape_html(route.route.as_str()), status_badge(route.status));
    let _ = write!(
        page,
        "<p class=\"note\">{}; {} of the day's budget left</p><div class=\"wrap\"><div>",
        escape_html(&format_objective(route)),
        format_percent(route.budget_left)
    );
    let _ = write!(page, "<p class=\"note\">Burn rate, last 6 h</p>{}</div><div>", svg::burn_plot(route));
    write_causes(page, route);
    write_tenants(page, route);
    page.push_str("</div></div></section>\n");
}

fn write_causes(page: &mut String, route: &RouteReport) {
    if route.causes.is_empty() {
        page.push_str("<p class=\"note\">No bad calls in the last 24 h.</p>");
        return;
    }
    let _ = write!(
        page,
        "<p class=\"note\">Causes of bad calls, last 24 h</p>{}<p class=\"legend\">",
        svg::cause_bar(route)
    );
    for cause in &route.causes {
        let class = svg::cause_class(cause.cause);
        let _ = write!(
            page,
            "<span><i class=\"key {class}\"></i>{} {} ({})</span>",
            cause.cause,
            cause.calls,
            format_percent(cause.share)
        );
    }
    page.push_str("</p>");
}

fn write_tenants(page: &mut String, route: &RouteReport) {
    if route.tenants.is_empty() {
        return;
    }
    page.push_str(
        "<table><thead><tr><th>Worst tenants</th><th>Shed</th><th>Failed</th><th>Late</th><th>Not run</th>\
         <th>Over rate</th><th>Uncertain</th></tr></thead><tbody>",
    );
    route.tenants.iter().for_each(|tenant| write_tenant(page, tenant));
    page.push_str("</tbody></table>");
}

fn write_tenant(page: &mut String, tenant: &TenantReport) {
    let _ = write!(page, "<tr><td>{}</td>", escape_html(tenant.tenant.as_str()));
    for count in tenant.counts.bad {
        let _ = write!(page, "<td>{count}</td>");
    }
    let _ = write!(page, "<td>{}</td><td>{}</td></tr>", tenant.counts.over_rate, tenant.error);
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
