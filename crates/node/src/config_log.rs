//! Reading the fleet's configuration from the platform's log, and confirming plans on it.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use fulmartrestle_config::plan::{Plan, PlanId};
use fulmartrestle_config::replica::{CertificationResult, HistoryEntry, LogRecord, Replica};
use fulmartrestle_platform_log::{LogError, PlatformLog, StreamName};
use quick_error::quick_error;

use crate::config::CurrentConfig;
use crate::lock::lock;

/// Records asked for in one read.
const READ_RECORDS: usize = 256;

/// Pause between looks for a confirmed plan's result, in milliseconds.
const SETTLE_POLL_MS: u64 = 20;

/// Time to wait for a confirmed plan's result, in milliseconds. Longer than a node needs to notice
/// that a log reader failed.
const SETTLE_TIMEOUT_MS: u64 = 5_000;

quick_error! {
    /// Why a confirmation has no result.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ConfirmError {
        /// The log is out of reach; the plan was certainly not confirmed.
        Unavailable {
            display("the platform's log is out of reach; nothing was confirmed")
        }
        /// The plan may or may not have been confirmed; confirming it again is harmless.
        Unsettled {
            display("no result yet; confirm the same plan again to learn it")
        }
        /// The log rejected the record.
        Rejected(detail: String) {
            display("the platform's log rejected the plan: {}", detail)
        }
    }
}

/// This node's reader of the configuration's stream.
pub struct ConfigLog {
    log: Arc<dyn PlatformLog>,
    stream: StreamName,
    replica: Mutex<Replica>,
    current: Arc<CurrentConfig>,
}

impl ConfigLog {
    /// Returns a reader that has read nothing.
    pub fn new(log: Arc<dyn PlatformLog>, stream: StreamName, current: Arc<CurrentConfig>) -> Self {
        Self { log, stream, replica: Mutex::default(), current }
    }

    /// Reads to the stream's end once.
    ///
    /// # Errors
    ///
    /// Returns the log's error; what was read before it is applied.
    pub async fn read_to_end(&self) -> Result<(), LogError> {
        loop {
            let from = lock(&self.replica).next_offset();
            let page = match self.log.read(&self.stream, from, READ_RECORDS).await {
                Err(LogError::Trimmed { first }) => {
                    lock(&self.replica).on_first_retained(first);
                    continue;
                }
                read => read?,
            };
            let mut replica = lock(&self.replica);
            replica.on_first_retained(page.first);
            for entry in &page.records {
                replica.apply_record(entry.offset, &LogRecord::decode(&entry.payload));
            }
            if let Some(config) = replica.config() {
                self.current.set(Arc::clone(config));
            }
            if page.next >= page.end {
                return Ok(());
            }
        }
    }

    /// Appends a plan's confirmation and waits until it is certified.
    ///
    /// # Errors
    ///
    /// Returns [`ConfirmError`] when nothing was confirmed, or when the result is not known in time.
    pub async fn confirm(&self, plan: Plan) -> Result<CertificationResult, ConfirmError> {
        let id = plan.id;
        if let Some(result) = lock(&self.replica).settle_confirm(id) {
            return Ok(result);
        }
        let record = LogRecord::Confirm(plan).encode();
        match self.log.append(&self.stream, vec![record]).await {
            // A lost answer is settled by reading.
            Ok(_) | Err(LogError::AnswerLost) => {}
            Err(LogError::Unavailable) => return Err(ConfirmError::Unavailable),
            Err(error) => return Err(ConfirmError::Rejected(error.to_string())),
        }
        let settled = tokio::time::timeout(Duration::from_millis(SETTLE_TIMEOUT_MS), self.settle(id)).await;
        settled.map_err(|_| ConfirmError::Unsettled)
    }

    async fn settle(&self, id: PlanId) -> CertificationResult {
        loop {
            // An outage ends in the timeout around this.
            let _ = self.read_to_end().await;
            if let Some(result) = lock(&self.replica).settle_confirm(id) {
                return result;
            }
            tokio::time::sleep(Duration::from_millis(SETTLE_POLL_MS)).await;
        }
    }

    /// Returns the last decided plans, newest first.
    pub fn history(&self, count: usize) -> Vec<HistoryEntry> {
        lock(&self.replica).history().rev().take(count).cloned().collect()
    }
}
