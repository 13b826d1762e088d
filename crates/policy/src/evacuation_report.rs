//! What a node tells the others about evacuated zones.

use fulmartrestle_core::{AvailabilityZone, LogEra, LogOffset};
use fulmartrestle_derive::record;

/// Longest list of zones in a report, in bytes of their names. A status message is one datagram and has to leave room
/// for the demand of all routes.
const MAX_ZONES_BYTES: usize = 400;

/// Bytes that a name takes besides its text.
const NAME_OVERHEAD_BYTES: usize = 1;

/// The evacuated zones as one node knows them. The larger pair of era and end offset is the newer state.
#[record]
#[derive(Eq)]
pub struct EvacuationReport {
    /// Era of the store in which the records were read.
    pub era: LogEra,
    /// Offset up to which all evacuation records of the era are included, exclusive.
    pub end_offset: LogOffset,
    /// Zones whose evacuation was read in this era.
    pub zones: Vec<AvailabilityZone>,
    /// Zones that were evacuated in an earlier era and whose record may have been lost.
    pub carried: Vec<AvailabilityZone>,
    /// Time for which the carried zones stay evacuated, in milliseconds.
    pub rewrite_left_ms: u64,
    /// Whether both lists are complete. If not, the receiver has to read the store to learn which zones are not
    /// evacuated.
    pub is_complete: bool,
}

impl EvacuationReport {
    /// Leaves out the zones that do not fit into a status message, carried ones before others, because their evacuation
    /// ends by itself.
    #[must_use]
    pub fn shortened(mut self) -> Self {
        let mut left_bytes = MAX_ZONES_BYTES;
        for zones in [&mut self.zones, &mut self.carried] {
            let count = zones.len();
            zones.retain(|zone| {
                let size = zone.as_str().len() + NAME_OVERHEAD_BYTES;
                let fits = size <= left_bytes;
                left_bytes -= if fits { size } else { 0 };
                fits
            });
            self.is_complete &= zones.len() == count;
        }
        self
    }
}
