//! Measures the use of this node's processor.

use std::sync::Arc;
use std::time::Duration;

use fulmartrestle_policy::ProcessorUse;

use crate::event_log::LogLine;
use crate::handled_counts::busy_us;
use crate::state::MeshState;

/// Interval between two samples of the time that a ready task waits, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 20;

/// Measures the use of the processor until the task is aborted. A node runs all its tasks on one thread.
pub async fn watch_processor(state: Arc<MeshState>) {
    let mut processor_use = ProcessorUse::default();
    loop {
        let due = state.now().plus_ms(SAMPLE_INTERVAL_MS);
        tokio::time::sleep(Duration::from_millis(SAMPLE_INTERVAL_MS)).await;
        let now = state.now();
        state.handled.count_wait(now.us_since(due));
        let Some(window) = processor_use.record(due, busy_us(), now) else { continue };
        state.metrics.set_gauge("processor_busy_percent", window.busy_milli() / 10);
        state.metrics.set_gauge("ready_task_wait_us", window.mean_wait_us);
        let line = LogLine::new("processor_use")
            .number("busy_milli", window.busy_milli())
            .number("wait_us", window.mean_wait_us)
            .number("max_wait_us", window.max_wait_us);
        state.log(match state.gate.sustainable_share() {
            Some(share) => line.number("sustainable_milli", (share * 1e3) as u64),
            None => line,
        });
    }
}
