//! Intervals and bounds of the spread of configuration.

/// Time between reads of a tailer that is at the log's end, in milliseconds. With two tailers in
/// each of nine zones the fleet makes 36 reads a second.
pub(super) const TAIL_INTERVAL_MS: u64 = 500;

/// Time after which an unanswered read is given up, in milliseconds.
pub(super) const READ_TIMEOUT_MS: u64 = 3_000;

/// Longest pause between failed reads, in milliseconds.
pub(super) const MAX_READ_BACKOFF_MS: u64 = 4_000;

/// A node that is no tailer reads for itself when its view is older than this, in milliseconds. By
/// way of tailer and relay a view is up to 3 s old when nothing is wrong.
pub(super) const READ_ALONE_AFTER_MS: u64 = 4_000;

/// Most reads per second by all nodes that read for themselves. The log serves several hundred
/// appends a second and has other users.
pub(super) const MAX_FLEET_READS_PER_S: u64 = 100;

/// Time between pulls from the zone's relays, in milliseconds: the bound on how long a node stays
/// behind when a push has missed it.
pub(super) const PULL_INTERVAL_MS: u64 = 1_000;

/// Time between pulls of a node that may not serve yet, in milliseconds.
pub(super) const START_PULL_INTERVAL_MS: u64 = 200;

/// Time between pulls of a tailer from a tailer of another zone, in milliseconds.
pub(super) const TAILER_PULL_INTERVAL_MS: u64 = 500;

/// Members of the zone that are told of a new version at once. Eight miss fewer than one in a
/// thousand within four hops; four would miss two in a hundred, which then wait up to a second for
/// their periodic pull.
pub(super) const PUSH_FANOUT: usize = 8;

/// One in so many periodic pulls goes to another zone.
pub(super) const OUTSIDE_PULL_ONE_IN: u32 = 8;

/// Time after which an unanswered pull goes to another peer, in milliseconds.
pub(super) const PULL_TIMEOUT_MS: u64 = 400;

/// Most record bytes in one answer to a pull.
pub(super) const MAX_RECORDS_MESSAGE_BYTES: usize = 64 << 10;

/// Time between acknowledgements without a change, in milliseconds. They make up for lost ones only;
/// a change of version or of the tailers is acknowledged by itself.
pub(super) const ACK_INTERVAL_MS: u64 = 30_000;

/// Shortest time between acknowledgements, in milliseconds: in a burst of changes one says it all.
pub(super) const MIN_ACK_INTERVAL_MS: u64 = 1_000;

/// Time between a tailer's reports to other zones, in milliseconds.
pub(super) const REPORT_INTERVAL_MS: u64 = 2_000;

/// A report older than this no longer counts, in milliseconds.
pub(super) const REPORT_LIFETIME_MS: u64 = 10_000;

/// A view of the log older than this counts as lost contact, in milliseconds: ten reads of a
/// tailer and the hops behind it.
pub(super) const CONTACT_LOST_AFTER_MS: u64 = 5_000;

/// How long withdrawals travel ahead of the records that hold them, in milliseconds.
pub(super) const URGENT_FOR_MS: u64 = 10_000;

/// Most withdrawals that travel ahead of their records.
pub(super) const MAX_URGENT_CHANGES: usize = 64;

/// Peers whose versions a starting node compares while the log is out of reach.
pub(super) const START_PEERS: usize = 3;

/// Time that a starting node waits for more peers while the log is out of reach, in milliseconds.
pub(super) const START_WAIT_MS: u64 = 1_000;

/// Time after which an unanswered append counts as unknown, in milliseconds.
pub(super) const APPEND_TIMEOUT_MS: u64 = 5_000;

/// Time after which an operator is told that a confirm's outcome is unknown, in milliseconds.
pub(super) const CONFIRM_TIMEOUT_MS: u64 = 30_000;

/// Appends of one confirm whose answers were lost.
pub(super) const MAX_CONFIRM_ATTEMPTS: u32 = 5;

/// Head start of each writer of snapshots over the next in rank, in milliseconds.
pub(super) const SNAPSHOT_RANK_DELAY_MS: u64 = 30_000;

/// Pause after a snapshot that could not be written, in milliseconds.
pub(super) const SNAPSHOT_RETRY_MS: u64 = 10_000;

/// Time that a snapshot is kept for the peers that pull it, in milliseconds.
pub(super) const SERVED_SNAPSHOT_IDLE_MS: u64 = 10_000;
