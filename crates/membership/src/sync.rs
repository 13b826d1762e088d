//! Exchange of whole parts of the directory: new nodes fill theirs, and differences that gossip left
//! are repaired.

use std::net::SocketAddr;

use fulmartrestle_core::TimeUs;
use rand::RngExt;

use crate::budget::BudgetShare;
use crate::directory::BUCKETS;
use crate::rumour::{DELTA_SIZE_BYTES, row_size_bytes};
use crate::slot::Slot;
use crate::{BucketRange, MemberDelta, MemberRow, MemberState, Membership, MessageKind, Rumour};

/// Ranges that a new node asks for at the same time, each from another peer.
const FILL_RANGES: usize = 8;
/// Time after which a range is asked for again, in milliseconds.
const FILL_TIMEOUT_MS: u64 = 500;
/// Datagrams with which one request is answered.
const MAX_ANSWER_DATAGRAMS: usize = 3;
/// Bytes of rows in one datagram; the rest is for the head, heartbeats and digest.
const ROWS_BYTES: usize = 1_100;
/// Differing buckets that one exchange asks for.
const MAX_WANTED_BUCKETS: usize = 64;
/// Time after which filling is left to the exchange of digests, in milliseconds: when the whole fleet
/// starts at once, no peer has a full directory.
const FILL_LIMIT_MS: u64 = 10_000;
/// Interval between exchanges while differences are found, in milliseconds. The budget slows them down
/// where it must; a second left most of it unused after many members changed at once.
const REPAIR_INTERVAL_MS: u64 = 200;

#[derive(Clone, Copy, Debug)]
struct FillRange {
    first: u8,
    last: u8,
    asked_at: Option<TimeUs>,
}

/// Progress of filling the directory, and whether the last exchange found differences.
#[derive(Clone, Debug, Default)]
pub struct SyncState {
    ranges: Vec<FillRange>,
    fill_since: Option<TimeUs>,
    found_difference: bool,
}

impl SyncState {
    /// Starts to fill the directory.
    pub fn start_filling(&mut self) {
        let width = BUCKETS / FILL_RANGES;
        let range = |index: usize| FillRange {
            first: (index * width) as u8,
            last: (index * width + width - 1) as u8,
            asked_at: None,
        };
        self.ranges = (0..FILL_RANGES).map(range).collect();
    }

    /// Whether the directory is being filled.
    pub fn is_filling(&self) -> bool {
        !self.ranges.is_empty()
    }

    /// Ends filling when it has taken too long.
    fn limit_filling(&mut self, now: TimeUs) {
        if !self.is_filling() {
            self.fill_since = None;
        } else if now.ms_since(*self.fill_since.get_or_insert(now)) >= FILL_LIMIT_MS {
            self.ranges.clear();
        }
    }

    /// Notes that the buckets of `filled` have arrived.
    fn advance(&mut self, filled: BucketRange) {
        let Some(index) = self.ranges.iter().position(|range| range.first == filled.first) else { return };
        if filled.last >= self.ranges[index].last {
            self.ranges.remove(index);
        } else {
            self.ranges[index].first = filled.last + 1;
            self.ranges[index].asked_at = None;
        }
    }

    fn due_ranges(&mut self, now: TimeUs) -> Vec<FillRange> {
        let is_due = |range: &FillRange| range.asked_at.is_none_or(|at| now.ms_since(at) >= FILL_TIMEOUT_MS);
        let mut due = Vec::new();
        for range in self.ranges.iter_mut().filter(|range| is_due(range)) {
            range.asked_at = Some(now);
            due.push(*range);
        }
        due
    }
}

/// Rows of one answer, cut into datagrams.
#[derive(Default)]
struct Page {
    rows: Vec<MemberRow>,
    dead: Vec<MemberDelta>,
    size_bytes: usize,
}

impl Membership {
    /// Asks peers for the parts of the directory that are still missing.
    pub(crate) fn fill_directory(&mut self, now: TimeUs) {
        self.sync.limit_filling(now);
        for range in self.sync.due_ranges(now) {
            let Some(peer) = self.random_contact() else { return };
            self.send(peer, MessageKind::SyncPull { first: range.first, last: range.last }, now);
        }
    }

    /// Sends the digests of the directory to a random peer and returns when to do so again.
    pub(crate) fn exchange_digests(&mut self, now: TimeUs) -> TimeUs {
        let found_difference = std::mem::take(&mut self.sync.found_difference);
        let interval_ms = if found_difference { REPAIR_INTERVAL_MS } else { self.settings.sync_interval_ms };
        if let Some(peer) = self.random_contact()
            && self.can_afford(BudgetShare::Sync, BUCKETS * 3)
        {
            let shift = self.random.random_range(0..=16);
            let digests = self.directory.digests().iter().map(|digest| (digest >> shift) as u16).collect();
            self.send(peer, MessageKind::SyncDigests { shift, digests }, now);
        }
        now.plus_ms(interval_ms)
    }

    pub(crate) fn on_sync_digests(&mut self, from: SocketAddr, shift: u8, digests: &[u16], now: TimeUs) {
        let shift = u32::from(shift.min(16));
        let own = self.directory.digests().iter().map(|digest| (digest >> shift) as u16);
        let differs = |(bucket, (own, theirs)): (usize, (u16, &u16))| (own != *theirs).then_some(bucket as u8);
        let mut differing: Vec<u8> = own.zip(digests).enumerate().filter_map(differs).collect();
        if differing.is_empty() || !self.can_afford(BudgetShare::Sync, ROWS_BYTES) {
            return;
        }
        self.sync.found_difference = true;
        // The exchange covers as much as fits; a random start lets the next ones cover the rest.
        let start = self.random.random_range(0..differing.len());
        differing.rotate_left(start);
        self.send_buckets(from, &differing, now);
        differing.truncate(MAX_WANTED_BUCKETS);
        self.send(from, MessageKind::SyncWant { buckets: differing }, now);
    }

    /// Sends the rows of as many of the buckets as fit into a few datagrams.
    pub(crate) fn send_buckets(&mut self, to: SocketAddr, buckets: &[u8], now: TimeUs) {
        if !self.can_afford(BudgetShare::Sync, ROWS_BYTES) {
            return;
        }
        let mut pages = vec![Page::default()];
        for bucket in buckets {
            self.add_bucket(&mut pages, *bucket, now);
            if pages.len() > MAX_ANSWER_DATAGRAMS {
                break;
            }
        }
        for page in pages.into_iter().take(MAX_ANSWER_DATAGRAMS) {
            let kind = MessageKind::SyncRows { filled: None, filling: false, rows: page.rows, dead: page.dead };
            self.send(to, kind, now);
        }
    }

    /// Sends the rows of as many buckets from `first` on as fit into a few datagrams. Only the last
    /// datagram says which buckets are complete.
    pub(crate) fn send_range(&mut self, to: SocketAddr, first: u8, last: u8, now: TimeUs) {
        if first > last || !self.can_afford(BudgetShare::Sync, ROWS_BYTES) {
            return;
        }
        let mut pages = vec![Page::default()];
        let mut covered = first;
        for bucket in first..=last {
            if pages.len() >= MAX_ANSWER_DATAGRAMS {
                break;
            }
            covered = bucket;
            self.add_bucket(&mut pages, bucket, now);
        }
        let count = pages.len();
        for (index, page) in pages.into_iter().enumerate() {
            // A node whose own directory is incomplete gives what it has but doesn't vouch for it.
            let is_complete = index + 1 == count && !self.sync.is_filling();
            let filled = is_complete.then_some(BucketRange { first, last: covered });
            let kind = MessageKind::SyncRows { filled, filling: true, rows: page.rows, dead: page.dead };
            self.send(to, kind, now);
        }
    }

    fn add_bucket(&self, pages: &mut Vec<Page>, bucket: u8, now: TimeUs) {
        for slot in self.directory.bucket(bucket) {
            self.add_to_pages(pages, slot, now);
        }
    }

    fn add_to_pages(&self, pages: &mut Vec<Page>, slot: &Slot, now: TimeUs) {
        let row = self.directory.to_row(slot, slot.published, &self.zones, now);
        let is_dead = slot.state == MemberState::Dead;
        let size_bytes = if is_dead { DELTA_SIZE_BYTES } else { row_size_bytes(&row) };
        if pages.last().is_none_or(|page| page.size_bytes + size_bytes > ROWS_BYTES) {
            pages.push(Page::default());
        }
        let Some(page) = pages.last_mut() else { return };
        page.size_bytes += size_bytes;
        if is_dead {
            let (vm, incarnation, state) = (slot.vm, slot.incarnation, slot.state);
            page.dead.push(MemberDelta { vm, incarnation, state, age_ms: 0 });
        } else {
            page.rows.push(row);
        }
    }

    pub(crate) fn on_sync_rows(
        &mut self,
        filled: Option<BucketRange>,
        filling: bool,
        rows: &[MemberRow],
        dead: &[MemberDelta],
        now: TimeUs,
    ) {
        let news_rows: Vec<_> = rows.iter().filter(|row| self.apply_row(row, now)).cloned().collect();
        let news_dead: Vec<_> = dead.iter().filter(|delta| self.apply_delta(delta, now)).copied().collect();
        if let Some(range) = filled {
            self.sync.advance(range);
        }
        if filling {
            return;
        }
        self.sync.found_difference |= !news_rows.is_empty() || !news_dead.is_empty();
        news_rows.into_iter().for_each(|row| self.rumours.push(Rumour::Row(row)));
        news_dead.into_iter().for_each(|delta| self.rumours.push(Rumour::Delta(delta)));
    }
}
