//! Log lines from which the timeline of a bad hour is made: outcomes by route, and the use of the local target.

use std::time::{SystemTime, UNIX_EPOCH};

use fulmartrestle_core::lock;

use crate::event_log::LogLine;
use crate::state::MeshState;

/// Use of the local target's slots, summed over the samples of one window.
#[derive(Debug, Default)]
pub struct SlotSamples {
    samples: u64,
    running: u64,
    waiting: u64,
    limit: u64,
}

/// Logs the outcomes of the requests that entered at this node and the use of its target once a second. Must be called
/// several times a second.
pub fn log_outcomes(state: &MeshState, samples: &mut SlotSamples) {
    if let Some(report) = state.gate.report() {
        samples.samples += 1;
        samples.running += u64::from(report.running);
        samples.waiting += u64::from(report.waiting);
        samples.limit += u64::from(report.limit);
    }
    let Some((routes, window_ms)) = lock(&state.outcomes).close_elapsed_window(state.now()) else { return };
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
    let settings = state.settings();
    let line = |event| LogLine::new(event).number("unix_ms", unix_ms).number("window_ms", window_ms);
    for (route, outcomes) in routes {
        let line = line("outcomes")
            .text("zone", &settings.availability_zone)
            .text("route", &route)
            .number("priority", outcomes.priority)
            .flag("call", outcomes.is_child_call)
            .number("in_time", outcomes.in_time)
            .number("late", outcomes.late)
            .number("answered_ms", outcomes.answered_ms);
        state.log(match outcomes.unserved.is_empty() {
            true => line,
            false => line.text("unserved", outcomes.unserved_text()),
        });
    }
    let SlotSamples { samples, running, waiting, limit } = std::mem::take(samples);
    if running + waiting == 0 {
        return;
    }
    let mean_milli = |sum: u64| sum * 1_000 / samples.max(1);
    let line = line("target_use")
        .text("zone", &settings.availability_zone)
        .text("service", &settings.service)
        .number("running_milli", mean_milli(running))
        .number("waiting_milli", mean_milli(waiting))
        .number("limit", limit / samples.max(1));
    state.log(line);
}
