//! The platform's log as seen from one zone.

use std::sync::Arc;

use fulmartrestle_core::{AvailabilityZone, LogEra, LogOffset};
use fulmartrestle_platform_log::{LatestRecords, LogError, MemoryLog, PlatformLog, ReadPage, StreamName, async_trait};

use super::ZonePartitions;

/// Log client that returns errors while its zone is isolated.
pub(crate) struct ZoneLog {
    pub(crate) zone: AvailabilityZone,
    pub(crate) log: Arc<MemoryLog>,
    pub(crate) partitions: Arc<ZonePartitions>,
}

impl ZoneLog {
    fn check_reachable(&self) -> Result<(), LogError> {
        if self.partitions.is_log_reachable(&self.zone) { Ok(()) } else { Err(LogError::Unavailable) }
    }
}

#[async_trait]
impl PlatformLog for ZoneLog {
    async fn append(&self, stream: &StreamName, records: Vec<Vec<u8>>) -> Result<LogOffset, LogError> {
        self.check_reachable()?;
        let result = self.log.append(stream, records).await;
        // If the zone was isolated during the call, the record may be written but the response is lost.
        self.check_reachable().map_err(|_| LogError::ResponseLost)?;
        result
    }

    async fn read(&self, stream: &StreamName, from: LogOffset, max_records: usize) -> Result<ReadPage, LogError> {
        self.check_reachable()?;
        let page = self.log.read(stream, from, max_records).await;
        self.check_reachable()?;
        page
    }

    async fn read_long_poll(
        &self,
        stream: &StreamName,
        from: LogOffset,
        max_records: usize,
        wait_ms: u64,
    ) -> Result<ReadPage, LogError> {
        self.check_reachable()?;
        let page = self.log.read_long_poll(stream, from, max_records, wait_ms).await;
        self.check_reachable()?;
        page
    }

    async fn read_latest(&self, stream: &StreamName) -> Result<LatestRecords, LogError> {
        self.check_reachable()?;
        let page = self.log.read_latest(stream).await;
        self.check_reachable()?;
        page
    }

    fn era(&self) -> Option<LogEra> {
        self.log.era()
    }
}
