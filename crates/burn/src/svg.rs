//! Plots of the report as inline SVG.

use std::fmt::Write;

use crate::summary::COARSE_BUCKET_MS;
use crate::text::{format_percent, format_rate, format_time_of_day};
use crate::{Cause, RouteReport, SeriesPoint};

/// Width of the plots, in SVG units.
const WIDTH: f64 = 560.0;
/// Height of the burn plot, in SVG units.
const HEIGHT: f64 = 150.0;
/// Margins for the labels, in SVG units.
const LEFT_MARGIN: f64 = 44.0;
const BOTTOM_MARGIN: f64 = 22.0;
const TOP_MARGIN: f64 = 10.0;
const CAUSE_BAR_HEIGHT: f64 = 14.0;

/// Returns a bar chart of the burn rate over the last six hours in buckets of ten minutes, with a line at rate 1.
pub fn burn_plot(route: &RouteReport) -> String {
    let allowed_share = (1.0 - route.objective_percent / 100.0).max(1e-6);
    let rates: Vec<f64> = route.series.iter().map(|point| burn_rate(point, allowed_share)).collect();
    let max_rate = rates.iter().copied().fold(2.0, f64::max);
    let mut svg = format!(
        "<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\" aria-label=\"Burn rate of {} over 6 hours\">",
        route.route
    );
    let bar_step = (WIDTH - LEFT_MARGIN) / route.series.len().max(1) as f64;
    for (index, (point, rate)) in route.series.iter().zip(&rates).enumerate() {
        let x = LEFT_MARGIN + index as f64 * bar_step;
        svg.push_str(&bar(point, *rate, x, bar_step, max_rate));
    }
    svg.push_str(&horizontal_line(1.0, max_rate, "even"));
    svg.push_str(&horizontal_line(max_rate, max_rate, "top"));
    svg.push_str(&time_labels(&route.series, bar_step));
    svg.push_str("</svg>");
    svg
}

/// Returns one bar that is divided by the causes of the bad calls.
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
            format_percent(cause.share)
        );
        x += width;
    }
    svg.push_str("</svg>");
    svg
}

/// Returns the CSS class that colours a cause.
pub const fn cause_class(cause: Cause) -> &'static str {
    match cause {
        Cause::Shed => "shed",
        Cause::Failed => "failed",
        Cause::Late => "late",
        Cause::NotRun => "not-run",
    }
}

fn burn_rate(point: &SeriesPoint, allowed_share: f64) -> f64 {
    if point.total == 0 { 0.0 } else { f64::from(point.bad) / f64::from(point.total) / allowed_share }
}

/// Returns the height of a burn rate in the plot, in SVG units.
fn plot_height(rate: f64, max_rate: f64) -> f64 {
    (HEIGHT - BOTTOM_MARGIN - TOP_MARGIN) * (rate / max_rate).clamp(0.0, 1.0)
}

fn bar(point: &SeriesPoint, rate: f64, x: f64, bar_step: f64, max_rate: f64) -> String {
    let height = plot_height(rate, max_rate);
    let y = HEIGHT - BOTTOM_MARGIN - height;
    let class = if rate > 1.0 { "over" } else { "under" };
    let width = bar_step * 0.8;
    format!(
        "<rect class=\"{class}\" x=\"{x:.1}\" y=\"{y:.1}\" width=\"{width:.1}\" height=\"{height:.1}\">\
         <title>{}: burn rate {}, {} of {} calls bad</title></rect>",
        format_time_of_day(point.index * COARSE_BUCKET_MS),
        format_rate(rate),
        point.bad,
        point.total
    )
}

/// Returns a labelled horizontal line at a burn rate.
fn horizontal_line(rate: f64, max_rate: f64, class: &str) -> String {
    let y = HEIGHT - BOTTOM_MARGIN - plot_height(rate, max_rate);
    let label_x = LEFT_MARGIN - 6.0;
    let label_y = y + 4.0;
    format!(
        "<line class=\"{class}\" x1=\"{LEFT_MARGIN}\" y1=\"{y:.1}\" x2=\"{WIDTH}\" y2=\"{y:.1}\"/>\
         <text x=\"{label_x}\" y=\"{label_y:.1}\" text-anchor=\"end\">{}</text>",
        format_rate(rate)
    )
}

/// Returns a label for each full hour of the series.
fn time_labels(series: &[SeriesPoint], bar_step: f64) -> String {
    let y = HEIGHT - 6.0;
    let is_full_hour = |point: &SeriesPoint| (point.index * COARSE_BUCKET_MS).is_multiple_of(3_600_000);
    let hours = series.iter().enumerate().filter(|(_, point)| is_full_hour(point));
    let label = |(index, point): (usize, &SeriesPoint)| {
        let x = LEFT_MARGIN + index as f64 * bar_step;
        let time = format_time_of_day(point.index * COARSE_BUCKET_MS);
        format!("<text x=\"{x:.1}\" y=\"{y}\">{}</text>", time.trim_end_matches(" UTC"))
    };
    hours.map(label).collect()
}
