//! Directory synchronisation: the initial transfer to new nodes, and anti-entropy that repairs differences which
//! gossip left.

use std::net::SocketAddr;

use fulmartrestle_core::TimeUs;
use rand::RngExt;

use crate::budget::BudgetShare;
use crate::directory::BUCKETS;
use crate::member_entry::MemberEntry;
use crate::rumour::{DELTA_SIZE_BYTES, row_size_bytes};
use crate::{BucketRange, MemberDelta, MemberRow, MemberState, Membership, MessageKind, Rumour};

/// Number of ranges that a new node requests concurrently, each from a random peer.
const INITIAL_TRANSFER_RANGES: usize = 8;
/// Time after which a range is requested again, in milliseconds.
const RANGE_RETRY_INTERVAL_MS: u64 = 500;
/// Maximum number of datagrams in the response to one request.
const MAX_RESPONSE_DATAGRAMS: usize = 3;
/// Maximum size of the rows in one datagram, in bytes. The rest is reserved for the header, heartbeats and digest.
const MAX_ROWS_BYTES: usize = 1_100;
/// Maximum number of differing buckets that one exchange requests.
const MAX_REQUESTED_BUCKETS: usize = 64;
/// Maximum duration of the initial transfer, in milliseconds; the exchange of digests completes the directory
/// afterwards. When the whole fleet starts at once, no peer has a complete directory.
const MAX_INITIAL_TRANSFER_MS: u64 = 10_000;
/// Interval between exchanges while they find differences, in milliseconds. The budget limits their rate; an interval
/// of one second left most of the budget unused after many simultaneous changes.
const REPAIR_INTERVAL_MS: u64 = 200;

/// A range of buckets that still has to be transferred.
#[derive(Clone, Copy, Debug)]
struct TransferRange {
    first: u8,
    last: u8,
    requested_at: Option<TimeUs>,
}

/// State of directory synchronisation: the ranges that the initial transfer still lacks, and whether the last exchange
/// of digests found differences.
#[derive(Clone, Debug, Default)]
pub struct SyncState {
    missing_ranges: Vec<TransferRange>,
    initial_transfer_started_at: Option<TimeUs>,
    found_difference: bool,
}

impl SyncState {
    /// Starts the initial transfer of the whole directory.
    pub fn start_initial_transfer(&mut self) {
        let width = BUCKETS / INITIAL_TRANSFER_RANGES;
        let range = |index: usize| TransferRange {
            first: (index * width) as u8,
            last: (index * width + width - 1) as u8,
            requested_at: None,
        };
        self.missing_ranges = (0..INITIAL_TRANSFER_RANGES).map(range).collect();
    }

    /// Returns whether the initial transfer is in progress.
    pub fn is_initial_transfer_active(&self) -> bool {
        !self.missing_ranges.is_empty()
    }

    /// Ends the initial transfer when it exceeds [`MAX_INITIAL_TRANSFER_MS`].
    fn stop_overdue_initial_transfer(&mut self, now: TimeUs) {
        if !self.is_initial_transfer_active() {
            self.initial_transfer_started_at = None;
        } else if now.ms_since(*self.initial_transfer_started_at.get_or_insert(now)) >= MAX_INITIAL_TRANSFER_MS {
            self.missing_ranges.clear();
        }
    }

    /// Removes the buckets of `received`, which have arrived, from the missing ranges.
    fn mark_received(&mut self, received: BucketRange) {
        let Some(index) = self.missing_ranges.iter().position(|range| range.first == received.first) else { return };
        if received.last >= self.missing_ranges[index].last {
            self.missing_ranges.remove(index);
        } else {
            self.missing_ranges[index].first = received.last + 1;
            self.missing_ranges[index].requested_at = None;
        }
    }

    /// Returns the ranges that have to be requested now, and records the request.
    fn take_due_ranges(&mut self, now: TimeUs) -> Vec<TransferRange> {
        let is_due =
            |range: &TransferRange| range.requested_at.is_none_or(|at| now.ms_since(at) >= RANGE_RETRY_INTERVAL_MS);
        let mut due = Vec::new();
        for range in self.missing_ranges.iter_mut().filter(|range| is_due(range)) {
            range.requested_at = Some(now);
            due.push(*range);
        }
        due
    }
}

/// Rows of one datagram of a response.
#[derive(Default)]
struct Page {
    rows: Vec<MemberRow>,
    dead: Vec<MemberDelta>,
    size_bytes: usize,
}

impl Membership {
    /// Requests the ranges that the initial transfer still lacks from random peers.
    pub(crate) fn request_missing_ranges(&mut self, now: TimeUs) {
        self.sync.stop_overdue_initial_transfer(now);
        for range in self.sync.take_due_ranges(now) {
            let Some(peer) = self.random_peer_address() else { return };
            self.send(peer, MessageKind::SyncPull { first: range.first, last: range.last }, now);
        }
    }

    /// Sends the digests of the directory to a random peer, if the budget allows. Returns the time of the next
    /// exchange.
    pub(crate) fn exchange_digests(&mut self, now: TimeUs) -> TimeUs {
        let found_difference = std::mem::take(&mut self.sync.found_difference);
        let interval_ms = if found_difference { REPAIR_INTERVAL_MS } else { self.settings.sync_interval_ms };
        if let Some(peer) = self.random_peer_address()
            && self.can_afford(BudgetShare::Sync, BUCKETS * 3)
        {
            let shift = self.random.random_range(0..=16);
            let digests = self.directory.digests().iter().map(|digest| (digest >> shift) as u16).collect();
            self.send(peer, MessageKind::SyncDigests { shift, digests }, now);
        }
        now.plus_ms(interval_ms)
    }

    /// Sends and requests the buckets whose digests differ from those of a peer.
    pub(crate) fn handle_sync_digests(&mut self, from: SocketAddr, shift: u8, digests: &[u16], now: TimeUs) {
        let shift = u32::from(shift.min(16));
        let own = self.directory.digests().iter().map(|digest| (digest >> shift) as u16);
        let differs = |(bucket, (own, theirs)): (usize, (u16, &u16))| (own != *theirs).then_some(bucket as u8);
        let mut differing: Vec<u8> = own.zip(digests).enumerate().filter_map(differs).collect();
        if differing.is_empty() || !self.can_afford(BudgetShare::Sync, MAX_ROWS_BYTES) {
            return;
        }
        self.sync.found_difference = true;
        // One exchange covers only as many buckets as fit. The random start lets later exchanges cover the rest.
        let start = self.random.random_range(0..differing.len());
        differing.rotate_left(start);
        self.send_buckets(from, &differing, now);
        differing.truncate(MAX_REQUESTED_BUCKETS);
        self.send(from, MessageKind::SyncRequest { buckets: differing }, now);
    }

    /// Sends the rows of as many of the buckets as fit into [`MAX_RESPONSE_DATAGRAMS`].
    pub(crate) fn send_buckets(&mut self, to: SocketAddr, buckets: &[u8], now: TimeUs) {
        if !self.can_afford(BudgetShare::Sync, MAX_ROWS_BYTES) {
            return;
        }
        let mut pages = vec![Page::default()];
        for bucket in buckets {
            self.add_bucket(&mut pages, *bucket, now);
            if pages.len() > MAX_RESPONSE_DATAGRAMS {
                break;
            }
        }
        for page in pages.into_iter().take(MAX_RESPONSE_DATAGRAMS) {
            let kind = MessageKind::SyncRows {
                complete_range: None,
                is_pull_response: false,
                rows: page.rows,
                dead: page.dead,
            };
            self.send(to, kind, now);
        }
    }

    /// Sends the rows of the buckets from `first` on. Adds no further bucket once [`MAX_RESPONSE_DATAGRAMS`] datagrams
    /// are in use. Only the last datagram states which buckets are complete.
    pub(crate) fn send_range(&mut self, to: SocketAddr, first: u8, last: u8, now: TimeUs) {
        if first > last || !self.can_afford(BudgetShare::Sync, MAX_ROWS_BYTES) {
            return;
        }
        let mut pages = vec![Page::default()];
        let mut last_complete = first;
        for bucket in first..=last {
            if pages.len() >= MAX_RESPONSE_DATAGRAMS {
                break;
            }
            last_complete = bucket;
            self.add_bucket(&mut pages, bucket, now);
        }
        let count = pages.len();
        for (index, page) in pages.into_iter().enumerate() {
            // A node whose own directory is incomplete sends its rows without claiming that they are complete.
            let is_complete = index + 1 == count && !self.sync.is_initial_transfer_active();
            let complete_range = is_complete.then_some(BucketRange { first, last: last_complete });
            let kind =
                MessageKind::SyncRows { complete_range, is_pull_response: true, rows: page.rows, dead: page.dead };
            self.send(to, kind, now);
        }
    }

    fn add_bucket(&self, pages: &mut Vec<Page>, bucket: u8, now: TimeUs) {
        for entry in self.directory.bucket(bucket) {
            self.add_to_pages(pages, entry, now);
        }
    }

    fn add_to_pages(&self, pages: &mut Vec<Page>, entry: &MemberEntry, now: TimeUs) {
        let row = self.directory.to_row(entry, entry.published_state, &self.zones, now);
        let is_dead = entry.state == MemberState::Dead;
        let size_bytes = if is_dead { DELTA_SIZE_BYTES } else { row_size_bytes(&row) };
        if pages.last().is_none_or(|page| page.size_bytes + size_bytes > MAX_ROWS_BYTES) {
            pages.push(Page::default());
        }
        let Some(page) = pages.last_mut() else { return };
        page.size_bytes += size_bytes;
        if is_dead {
            let (vm, incarnation, state) = (entry.vm, entry.incarnation, entry.state);
            page.dead.push(MemberDelta { vm, incarnation, state, age_ms: 0 });
        } else {
            page.rows.push(row);
        }
    }

    /// Applies received rows. Disseminates those that are new, unless they belong to the initial transfer.
    pub(crate) fn handle_sync_rows(
        &mut self,
        complete_range: Option<BucketRange>,
        is_pull_response: bool,
        rows: &[MemberRow],
        dead: &[MemberDelta],
        now: TimeUs,
    ) {
        let new_rows: Vec<_> = rows.iter().filter(|row| self.apply_row(row, now)).cloned().collect();
        let new_dead: Vec<_> = dead.iter().filter(|delta| self.apply_delta(delta, now)).copied().collect();
        if let Some(range) = complete_range {
            self.sync.mark_received(range);
        }
        if is_pull_response {
            return;
        }
        self.sync.found_difference |= !new_rows.is_empty() || !new_dead.is_empty();
        new_rows.into_iter().for_each(|row| self.rumours.push(Rumour::Row(row)));
        new_dead.into_iter().for_each(|delta| self.rumours.push(Rumour::Delta(delta)));
    }
}
