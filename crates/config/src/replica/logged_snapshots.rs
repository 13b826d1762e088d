//! Tracks which snapshot is completely written to the log.

use fulmartrestle_core::LogOffset;
use fulmartrestle_derive::record;

use super::{SnapshotId, SnapshotPart};

/// The last snapshot whose parts were all read in order. It depends on the log alone and is part of the
/// replicated state, so that a replica that starts from a snapshot has it too.
#[record]
#[derive(Default)]
pub struct LoggedSnapshots {
    last: Option<LoggedSnapshot>,
    in_progress: Option<PartialSnapshot>,
}

#[record]
#[derive(Copy)]
pub(super) struct LoggedSnapshot {
    pub(super) next_offset: LogOffset,
    pub(super) written_at_unix_ms: i64,
}

#[record]
#[derive(Copy)]
struct PartialSnapshot {
    id: SnapshotId,
    parts_read: u32,
}

impl LoggedSnapshots {
    pub(super) fn last(&self) -> Option<LoggedSnapshot> {
        self.last
    }

    /// Records a part that was read from the log. A repeated part is ignored; a part of another snapshot discards
    /// the progress of the previous one.
    pub(super) fn record_part(&mut self, part: &SnapshotPart) {
        let parts_read = match self.in_progress {
            Some(in_progress) if in_progress.id == part.id => in_progress.parts_read,
            _ => 0,
        };
        if part.index != parts_read {
            return;
        }
        self.in_progress = Some(PartialSnapshot { id: part.id, parts_read: parts_read + 1 });
        if parts_read + 1 == part.count {
            let (next_offset, written_at_unix_ms) = (part.next_offset, part.written_at_unix_ms);
            self.last = Some(LoggedSnapshot { next_offset, written_at_unix_ms });
        }
    }
}
