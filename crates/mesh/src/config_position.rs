//! A reader's position in the operator's stream, and what its reads prove. See `docs/PLATFORM-LOG.md`.
//!
//! Load pattern: the store was away for a moment and comes back from a copy that is some seconds old. Its latest
//! records are gone until their writers write them again, and their offsets are assigned again. A reader that
//! continued at its old offset would miss the records below it. One that starts after the store's return has not seen the
//! change: the store names the last era that is known to be complete (`docs/FORMATS.md`, "settled-era").

use fulmartrestle_core::{LogEra, LogOffset, TimeUs, Version};

/// Time for the operator to write again what the store has lost, in milliseconds.
const REWRITE_TIME_MS: u64 = 2_500;

/// The position in the current era, and whether its records are complete.
#[derive(Clone, Debug, Default)]
pub struct ConfigPosition {
    era: Option<LogEra>,
    next_offset: Option<LogOffset>,
    rewrite: Option<Rewrite>,
    /// Whether the store may have come back from an older copy before the first read.
    doubts_first_era: bool,
}

/// A new era, in which records of the last one may still be missing.
#[derive(Clone, Copy, Debug)]
struct Rewrite {
    /// When the era was noticed, or when it was first read if that was the reader's first one.
    noticed_at: Option<TimeUs>,
    /// End of the stream at the first read. Later records were written in the new era.
    first_end: Option<LogOffset>,
}

/// What a reader knows about versions besides the record that it has read.
#[derive(Clone, Copy, Debug)]
pub struct KnownVersions {
    /// Version in force on this node.
    pub own: Version,
    /// Highest version in force on any other node that was heard of recently.
    pub peers: Version,
}

impl ConfigPosition {
    /// Returns the position of a reader that has not read yet. Unless the deployment `is_first_start`, the store may have
    /// come back from an older copy shortly before.
    pub fn new(is_first_start: bool) -> Self {
        Self { doubts_first_era: !is_first_start, ..Self::default() }
    }

    /// Records that the store holds all that was written again in `era`.
    pub fn set_settled(&mut self, era: LogEra) {
        if self.doubts_first_era && self.era == Some(era) {
            self.doubts_first_era = false;
            self.rewrite = None;
        }
    }

    /// Returns whether reads in `era` have shown that its records are complete.
    pub fn is_settled_in(&self, era: LogEra) -> bool {
        self.era == Some(era) && self.rewrite.is_none() && !self.doubts_first_era
    }

    /// Returns the offset of the next read in `era`, which is `None` before the store has named one. Returns `None` if
    /// the latest records must be read.
    pub fn next_offset(&mut self, era: Option<LogEra>, now: TimeUs) -> Option<LogOffset> {
        if self.era.is_some() && self.era != era {
            self.next_offset = None;
            self.rewrite = Some(Rewrite { noticed_at: Some(now), first_end: None });
            self.doubts_first_era = false;
        }
        self.era = era;
        self.next_offset
    }

    /// Records that the store does not hold the next record, so that the latest ones must be read.
    pub fn restart(&mut self) {
        self.next_offset = None;
    }

    /// Records a read that ended in `era`. `last_config` is the offset of the last configuration among the records.
    /// Returns whether the position is valid; otherwise the read belongs to two eras and proves nothing.
    pub fn advance(&mut self, era: Option<LogEra>, next_offset: LogOffset, last_config: Option<LogOffset>) -> bool {
        if self.era.is_some() && self.era != era {
            return false;
        }
        self.era = era;
        self.next_offset = Some(next_offset);
        if self.doubts_first_era && era.is_some() {
            self.rewrite.get_or_insert(Rewrite { noticed_at: None, first_end: None });
        }
        if let Some(rewrite) = &mut self.rewrite {
            let first_end = *rewrite.first_end.get_or_insert(next_offset);
            if last_config.is_some_and(|offset| offset >= first_end) {
                self.end_rewrite();
            }
        }
        true
    }

    /// Returns whether a read that has reached the end of the stream proves that no newer version exists. It does
    /// not while versions of an earlier era may be missing: until a version was written in this era or the time to
    /// do so has passed, and as long as another node has a newer one.
    pub fn proves_newest(&mut self, versions: KnownVersions, now: TimeUs) -> bool {
        if let Some(rewrite) = &mut self.rewrite
            && now.ms_since(*rewrite.noticed_at.get_or_insert(now)) >= REWRITE_TIME_MS
        {
            self.end_rewrite();
        }
        self.rewrite.is_none() && versions.own >= versions.peers
    }

    fn end_rewrite(&mut self) {
        self.rewrite = None;
        self.doubts_first_era = false;
    }
}
