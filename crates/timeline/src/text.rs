//! The timeline as plain text.

use std::collections::BTreeMap;
use std::fmt::Write;

use jiff::Timestamp;

use crate::{Losses, StepBound, TimeStep, Timeline};

/// Reasons that are shown for one step or route, the most frequent first.
const MAX_REASONS: usize = 4;

/// Returns the timeline as plain text: a row a step, then the totals by route, by zone and of the targets' calls. Times
/// are in UTC.
pub fn render(timeline: &Timeline) -> String {
    let mut text = String::new();
    // Writing into a `String` can't fail.
    let _ = writeln!(
        text,
        "{:<12} {:>8} {:>7} {:>7} {:>8}  {:<24} {:<18} lost by",
        "UTC", "requests", "in time", "lost", "mean ms", "worst route", "busiest service"
    );
    for step in timeline.steps.iter().filter(|step| !step.routes.is_empty()) {
        render_step(&mut text, step);
    }
    let mut totals = TimeStep::default();
    for step in &timeline.steps {
        merge(&mut totals.routes, &step.routes);
        merge(&mut totals.zones, &step.zones);
        merge(&mut totals.calls, &step.calls);
    }
    let with_priority = |name: &str| match timeline.priorities.get(name) {
        Some(priority) => format!("{name}, priority {priority}"),
        None => name.to_owned(),
    };
    render_table(&mut text, "route", &totals.routes, with_priority);
    render_table(&mut text, "zone", &totals.zones, str::to_owned);
    render_table(&mut text, "calls of targets", &totals.calls, str::to_owned);
    if timeline.suppressed_lines > 0 {
        let _ =
            writeln!(text, "\n{} lines were not written by the nodes, counts are too low", timeline.suppressed_lines);
    }
    text
}

/// Returns the bounds as plain text: a row a step, then the total. The share is that of the offered credit.
pub fn render_bounds(bounds: &[StepBound]) -> String {
    let mut text = String::new();
    let share = |credit: f64, of: f64| if of > 0.0 { credit / of } else { 1.0 };
    let mut row = |label: &str, offered: f64, earned: f64, bound: f64, binding: &str| {
        // Writing into a `String` can't fail.
        let _ = writeln!(
            text,
            "{label:<12} {offered:>9.0} {earned:>9.0} {:>7.3} {bound:>9.0} {:>7.3} {:>9.3}  {binding}",
            share(earned, offered),
            share(bound, offered),
            share(earned, bound)
        );
    };
    for bound in bounds {
        let binding = bound.binding.as_deref().unwrap_or("-");
        row(&format_time(bound.unix_ms), bound.offered, bound.earned, bound.bound, binding);
    }
    let sum = |part: fn(&StepBound) -> f64| bounds.iter().map(part).sum::<f64>();
    row("all", sum(|step| step.offered), sum(|step| step.earned), sum(|step| step.bound), "");
    let heading = format!(
        "\n{:<12} {:>9} {:>9} {:>7} {:>9} {:>7} {:>9}  full at the bound\n",
        "UTC", "offered", "earned", "share", "bound", "share", "of bound"
    );
    heading + &text
}

fn render_step(text: &mut String, step: &TimeStep) {
    let total = step.total();
    let worst = step.routes.iter().filter(|(_, losses)| losses.lost() > 0).max_by_key(|(_, losses)| losses.lost());
    let worst = worst.map_or("-".to_owned(), |(route, losses)| format!("{route} {}", losses.lost()));
    let busiest = step
        .busiest_service()
        .map_or("-".to_owned(), |(service, service_use)| format!("{service} {:.0} %", service_use.load() * 100.0));
    let _ = writeln!(
        text,
        "{:<12} {:>8} {:>7.3} {:>7} {:>8}  {:<24} {:<18} {}",
        format_time(step.unix_ms),
        total.requests,
        total.share_in_time(),
        total.lost(),
        total.mean_answered_ms(),
        worst,
        busiest,
        format_reasons(&total)
    );
}

fn render_table(text: &mut String, title: &str, rows: &BTreeMap<String, Losses>, label: impl Fn(&str) -> String) {
    let _ = writeln!(text, "\n{title:<24} {:>8} {:>7} {:>7} {:>8}  lost by", "requests", "in time", "lost", "mean ms");
    for (name, losses) in rows {
        let _ = writeln!(
            text,
            "{:<24} {:>8} {:>7.3} {:>7} {:>8}  {}",
            label(name),
            losses.requests,
            losses.share_in_time(),
            losses.lost(),
            losses.mean_answered_ms(),
            format_reasons(losses)
        );
    }
}

fn merge(totals: &mut BTreeMap<String, Losses>, step: &BTreeMap<String, Losses>) {
    for (name, losses) in step {
        totals.entry(name.clone()).or_default().add(losses);
    }
}

fn format_reasons(losses: &Losses) -> String {
    let reasons: Vec<String> =
        losses.reasons().iter().take(MAX_REASONS).map(|(reason, count)| format!("{reason} {count}")).collect();
    reasons.join(", ")
}

fn format_time(unix_ms: u64) -> String {
    let timestamp = i64::try_from(unix_ms).ok().and_then(|unix_ms| Timestamp::from_millisecond(unix_ms).ok());
    timestamp.map_or_else(|| unix_ms.to_string(), |timestamp| timestamp.strftime("%H:%M:%S").to_string())
}
