//! Pulls missing records from peers.

use std::collections::VecDeque;

use fulmartrestle_core::{LogOffset, TimeUs, VmId};

use super::timing::PULL_TIMEOUT_MS;
use super::{ConfigMessage, PullId};
use crate::replica::{Snapshot, SnapshotAssembler, SnapshotPart};

/// Peers that are remembered as being ahead.
const MAX_CANDIDATES: usize = 4;

/// Unanswered pulls after which a half-pulled snapshot is given up: its servers are gone.
const MAX_TIMEOUTS: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Asked {
    pull: PullId,
    at: TimeUs,
}

/// At most one pull at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct Puller {
    asked: Option<Asked>,
    candidates: VecDeque<VmId>,
    assembler: SnapshotAssembler,
    timeouts: u32,
    last_pull: PullId,
}

impl Puller {
    /// Notes a peer that has records which this node lacks.
    pub(super) fn note_ahead(&mut self, peer: VmId) {
        if self.candidates.contains(&peer) {
            return;
        }
        if self.candidates.len() == MAX_CANDIDATES {
            self.candidates.pop_front();
        }
        self.candidates.push_back(peer);
    }

    /// Returns the next pull, unless one is running or no peer is known to be ahead.
    pub(super) fn start(&mut self, now: TimeUs, next_offset: LogOffset) -> Option<(VmId, ConfigMessage)> {
        if self.is_running(now) {
            return None;
        }
        if self.asked.take().is_some() {
            self.note_timeout();
        }
        let peer = self.candidates.pop_back()?;
        self.last_pull.0 += 1;
        let pull = self.last_pull;
        self.asked = Some(Asked { pull, at: now });
        let message = match self.assembler.missing() {
            Some((id, index)) => ConfigMessage::PullPart { pull, id, index },
            None => ConfigMessage::PullSince { pull, next_offset },
        };
        Some((peer, message))
    }

    fn is_running(&self, now: TimeUs) -> bool {
        self.asked.is_some_and(|asked| now.ms_since(asked.at) < PULL_TIMEOUT_MS)
    }

    fn note_timeout(&mut self) {
        self.timeouts += 1;
        if self.timeouts >= MAX_TIMEOUTS {
            self.timeouts = 0;
            self.assembler = SnapshotAssembler::default();
        }
    }

    /// Notes the answer to a pull. Returns when it was asked, unless it was given up.
    pub(super) fn finish(&mut self, pull: PullId) -> Option<TimeUs> {
        let asked = self.asked.filter(|asked| asked.pull == pull)?;
        self.asked = None;
        self.timeouts = 0;
        Some(asked.at)
    }

    pub(super) fn add_part(&mut self, part: &SnapshotPart) -> Option<Snapshot> {
        self.assembler.add(part)
    }

    /// Gives up a half-pulled snapshot that this node has overtaken.
    pub(super) fn overtake(&mut self, applied: LogOffset) {
        if self.assembler.next_offset().is_some_and(|next_offset| next_offset <= applied) {
            self.assembler = SnapshotAssembler::default();
        }
    }
}
