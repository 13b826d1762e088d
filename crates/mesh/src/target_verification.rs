//! Verifies that the run of the target beside this node has not left before the node started. See `docs/DRAIN.md`.

use std::sync::Arc;
use std::time::Duration;

use crate::platform::HealthStatus;
use crate::state::MeshState;

/// Interval between two looks for a run to verify, and so between two checks that got no answer, in milliseconds. An
/// announcement of a new run ends it.
const CHECK_INTERVAL_MS: u64 = 250;

/// Checks the health of runs that announce themselves while announcements may be those from before the start. One that says
/// that it does not serve is not asked again: it is used if it still announces itself when no announcement can be late.
pub async fn verify_target(state: Arc<MeshState>) {
    let mut not_serving = None;
    while state.gate.may_hear_late_announcements() {
        // A timeout is the usual end of the pause.
        let interval = Duration::from_millis(CHECK_INTERVAL_MS);
        let _ = tokio::time::timeout(interval, state.gate.wait_for_unverified_run()).await;
        let Some(run) = state.gate.unverified_run().filter(|run| not_serving.as_ref() != Some(run)) else { continue };
        let Some(config) = state.config() else { continue };
        let Some(path) = config.health_path(&state.settings().service) else { continue };
        if state.gate.verify_run(&run, path).await == HealthStatus::NotServing {
            not_serving = Some(run);
        }
    }
}
