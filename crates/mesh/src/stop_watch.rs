//! Waits for the moment from which a request can't be completed any more because a node stops. See `docs/DRAIN.md`.

use fulmartrestle_core::TimeUs;
use fulmartrestle_policy::StopTimes;
use tokio::sync::watch;

use crate::clock::BootClock;

/// Receives the stop of a node once it begins.
pub type StopReceiver = watch::Receiver<Option<StopTimes>>;

/// Waits until the time that `latest_start` returns for a stop has passed. It is asked again when the stop begins and when the
/// time that it returned has come. Does not return while the node does not stop, or if there is no such time.
pub async fn wait_until_too_late(
    clock: BootClock,
    mut stop: StopReceiver,
    latest_start: impl Fn(StopTimes) -> Option<TimeUs>,
) {
    loop {
        let times = *stop.borrow_and_update();
        match times.and_then(&latest_start) {
            Some(latest_start) if clock.now() > latest_start => return,
            Some(latest_start) => tokio::time::sleep(clock.duration_until(latest_start.plus_ms(1))).await,
            // Waiting fails only if the sender is gone, and then the node can't begin to stop any more.
            None if stop.changed().await.is_err() => std::future::pending().await,
            None => {}
        }
    }
}
