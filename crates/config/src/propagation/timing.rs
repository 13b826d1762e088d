//! Intervals, timeouts and limits of configuration propagation.

/// Interval between reads of a tailer that is at the end of the log, in milliseconds. With two tailers in each
/// of nine zones the fleet makes 36 reads per second.
pub(super) const TAIL_INTERVAL_MS: u64 = 500;

/// Timeout of a read, in milliseconds.
pub(super) const READ_TIMEOUT_MS: u64 = 3_000;

/// Maximum backoff between failed reads, in milliseconds.
pub(super) const MAX_READ_BACKOFF_MS: u64 = 4_000;

/// Age of a node's view of the log, in milliseconds, from which a node that is not a tailer reads the log
/// itself. In normal operation a view received through tailer and relay is up to 3 s old.
pub(super) const DIRECT_READ_AFTER_MS: u64 = 4_000;

/// Maximum reads per second by all nodes that read the log directly. The log handles several hundred appends
/// per second and has other clients.
pub(super) const MAX_FLEET_DIRECT_READS_PER_S: u64 = 100;

/// Interval between pulls from the zone's relays, in milliseconds. It limits how long a node stays behind when
/// no push has reached it.
pub(super) const PULL_INTERVAL_MS: u64 = 1_000;

/// Interval between pulls of a node that is not ready yet, in milliseconds.
pub(super) const START_PULL_INTERVAL_MS: u64 = 200;

/// Interval between pulls of a tailer from a tailer of another zone, in milliseconds.
pub(super) const TAILER_PULL_INTERVAL_MS: u64 = 500;

/// Number of members of the zone that a new version is pushed to. A fanout of eight misses fewer than one node
/// in a thousand within four hops. A fanout of four would miss two in a hundred, which would then wait up to a
/// second for their periodic pull.
pub(super) const PUSH_FANOUT: usize = 8;

/// One in this many periodic pulls goes to another zone.
pub(super) const OTHER_ZONE_PULL_RATIO: u32 = 8;

/// Timeout of a pull, in milliseconds. The next pull goes to another peer.
pub(super) const PULL_TIMEOUT_MS: u64 = 400;

/// Maximum size of the records in one response to a pull, in bytes.
pub(super) const MAX_RECORDS_MESSAGE_BYTES: usize = 64 << 10;

/// Interval between acknowledgements without a change, in milliseconds. They only make up for lost ones; a
/// change of the version or of the tailers is acknowledged as it happens.
pub(super) const ACK_INTERVAL_MS: u64 = 30_000;

/// Minimum interval between acknowledgements, in milliseconds. In a burst of changes one acknowledgement covers
/// all of them.
pub(super) const MIN_ACK_INTERVAL_MS: u64 = 1_000;

/// Interval between a tailer's reports to other zones, in milliseconds.
pub(super) const REPORT_INTERVAL_MS: u64 = 2_000;

/// Age at which a report expires, in milliseconds.
pub(super) const REPORT_LIFETIME_MS: u64 = 10_000;

/// Time without contact after which contact counts as lost, in milliseconds: ten reads of a tailer and the hops
/// behind it.
pub(super) const CONTACT_LOST_AFTER_MS: u64 = 5_000;

/// How long withdrawals are forwarded ahead of the records that contain them, in milliseconds.
pub(super) const URGENT_FORWARD_MS: u64 = 10_000;

/// Maximum number of withdrawals forwarded ahead of their records.
pub(super) const MAX_URGENT_CHANGES: usize = 64;

/// Minimum number of peers whose offsets a starting node compares while the log is unreachable.
pub(super) const MIN_START_PEERS: usize = 3;

/// How long a starting node waits for further peers while the log is unreachable, in milliseconds.
pub(super) const START_PEER_WAIT_MS: u64 = 1_000;

/// Timeout of an append, in milliseconds. Whether the record was written is then unknown.
pub(super) const APPEND_TIMEOUT_MS: u64 = 5_000;

/// Timeout of a confirmation, in milliseconds. The operator is then told that its outcome is unknown.
pub(super) const CONFIRM_TIMEOUT_MS: u64 = 30_000;

/// Maximum number of appends for one confirmation.
pub(super) const MAX_CONFIRM_ATTEMPTS: u32 = 5;

/// How much longer each snapshot writer waits than the one ranked before it, in milliseconds.
pub(super) const SNAPSHOT_RANK_DELAY_MS: u64 = 30_000;

/// Delay after a snapshot was written or could not be written, before the next attempt, in milliseconds.
pub(super) const SNAPSHOT_RETRY_MS: u64 = 10_000;

/// Time without a pull after which a snapshot held for peers is dropped, in milliseconds.
pub(super) const SERVED_SNAPSHOT_IDLE_MS: u64 = 10_000;
