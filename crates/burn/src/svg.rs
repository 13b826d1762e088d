//! Plots as inline SVG.

use std::fmt::Write;

use crate::summary::COARSE_MS;
use crate::text::{clock, percent, rate};
use crate::{Cause, RouteReport, SeriesPoint};

const WIDTH: f64 = 560.0;
const HEIGHT: f64 = 150.0;
/// Room for the labels, in units of the drawing.
const LEFT: f64 = 44.0;
const BOTTOM: f64 = 22.0;
const TOP: f64 = 10.0;
const CAUSE_BAR_HEIGHT: f64 = 14.0;

/// Returns the burn rate over the last six hours as bars of ten minutes, with a line at rate 1.
pub fn burn_plot(route: &RouteReport) -> String {
    let allowed = (1.0 - route.objective_percent / 100.0).max(1e-6);
    let rates: Vec<f64> = route.series.iter().map(|point| burn_rate(point, allowed)).collect();
    let top = rates.iter().copied().fold(2.0, f64::max);
    let mut svg = format!(
        "<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\" aria-label=\"Burn rate of {} over 6 hours\">",
        route.route
    );
    let step = (WIDTH - LEFT) / route.series.len().max(1) as f64;
    for (index, (point, value)) in route.series.iter().zip(&rates).enumerate() {
        let x = LEFT + index as f64 * step;
        svg.push_str(&bar(point, *value, x, step, top));
    }
    svg.push_str(&level(1.0, top, "even"));
    svg.push_str(&level(top, top, "top"));
    svg.push_str(&time_labels(&route.series, step));
    svg.push_str("</svg>");
    svg
}

/// Returns what used up the budget as one bar divided by cause, with its legend.
pub fn cause_bar(route: &RouteReport) -> String {
    let mut svg = format!(
        "<svg viewBox=\"0 0 {WIDTH} {CAUSE_BAR_HEIGHT}\" role=\"img\" aria-label=\"Causes of burn of {}\">",
        route.route
    );
    let mut x = 0.0;
    for cause in &route.causes {
        let width = WIDTH * cause.share;
        let class = cause_class(cause.cause);
        let _ = write!(
            svg,
            "<rect class=\"{class}\" x=\"{x:.1}\" y=\"0\" width=\"{width:.1}\" height=\"{CAUSE_BAR_HEIGHT}\">\
             <title>{}: {} calls, {}</title></rect>",
            cause.cause,
            cause.calls,
            percent(cause.share)
        );
        x += width;
    }
    svg.push_str("</svg>");
    svg
}

/// Returns the style class of a cause's colour.
pub const fn cause_class(cause: Cause) -> &'static str {
    match cause {
        Cause::Shed => "shed",
        Cause::Failed => "failed",
        Cause::Late => "late",
        Cause::NotRun => "not-run",
    }
}

fn burn_rate(point: &SeriesPoint, allowed: f64) -> f64 {
    if point.total == 0 { 0.0 } else { f64::from(point.bad) / f64::from(point.total) / allowed }
}

fn height_of(value: f64, top: f64) -> f64 {
    (HEIGHT - BOTTOM - TOP) * (value / top).clamp(0.0, 1.0)
}

fn bar(point: &SeriesPoint, value: f64, x: f64, step: f64, top: f64) -> String {
    let height = height_of(value, top);
    let y = HEIGHT - BOTTOM - height;
    let class = if value > 1.0 { "over" } else { "under" };
    let width = step * 0.8;
    format!(
        "<rect class=\"{class}\" x=\"{x:.1}\" y=\"{y:.1}\" width=\"{width:.1}\" height=\"{height:.1}\">\
         <title>{}: burn rate {}, {} of {} calls bad</title></rect>",
        clock(point.index * COARSE_MS),
        rate(value),
        point.bad,
        point.total
    )
}

fn level(value: f64, top: f64, class: &str) -> String {
    let y = HEIGHT - BOTTOM - height_of(value, top);
    let label_x = LEFT - 6.0;
    let label_y = y + 4.0;
    format!(
        "<line class=\"{class}\" x1=\"{LEFT}\" y1=\"{y:.1}\" x2=\"{WIDTH}\" y2=\"{y:.1}\"/>\
         <text x=\"{label_x}\" y=\"{label_y:.1}\" text-anchor=\"end\">{}</text>",
        rate(value)
    )
}

fn time_labels(series: &[SeriesPoint], step: f64) -> String {
    let y = HEIGHT - 6.0;
    let is_full_hour = |point: &SeriesPoint| (point.index * COARSE_MS).is_multiple_of(3_600_000);
    let hours = series.iter().enumerate().filter(|(_, point)| is_full_hour(point));
    let label = |(index, point): (usize, &SeriesPoint)| {
        let x = LEFT + index as f64 * step;
        let time = clock(point.index * COARSE_MS);
        format!("<text x=\"{x:.1}\" y=\"{y}\">{}</text>", time.trim_end_matches(" UTC"))
    };
    hours.map(label).collect()
}
