//! Verifies that the run of the target beside this node has not left before the node started. See `docs/DRAIN.md`.

use std::sync::Arc;
use std::time::Duration;

use crate::platform::HealthStatus;
use crate::state::MeshState;

/// Interval between two checks that got no answer, in milliseconds. An announcement of a new run ends it.
const CHECK_INTERVAL_MS: u64 = 250;

/// Interval between two checks of a run that says that it does not serve, in milliseconds. It may not be ready yet.
const NOT_SERVING_INTERVAL_MS: u64 = 1_000;

/// Checks the health of runs that started before this node, until the task is aborted. Such a run is not used before it says
/// that it serves: however late an announcement arrives, it may have been sent before the node started. Only where a run can't
/// be asked, its announcements decide.
pub async fn verify_target(state: Arc<MeshState>) {
    let mut interval_ms = CHECK_INTERVAL_MS;
    loop {
        let changed = state.gate.wait_for_unverified_run();
        if state.gate.unverified_run().is_none() {
            changed.await;
        } else {
            // A timeout is the usual end of the pause.
            let _ = tokio::time::timeout(Duration::from_millis(interval_ms), changed).await;
        }
        interval_ms = CHECK_INTERVAL_MS;
        let (Some(run), Some(config)) = (state.gate.unverified_run(), state.config()) else { continue };
        let Some(path) = config.health_path(&state.settings().service) else {
            state.gate.use_unverifiable_run(&run);
            continue;
        };
        if state.gate.verify_run(&run, path).await == HealthStatus::NotServing {
            interval_ms = NOT_SERVING_INTERVAL_MS;
        }
    }
}
