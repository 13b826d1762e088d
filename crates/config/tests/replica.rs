//! Certification, snapshots and starting readers.

mod support;

use fulmartrestle_config::plan::{Change, IntentChange, Plan};
use fulmartrestle_config::replica::{
    ApplyOutcome, CertificationResult, LogRecord, MAX_HISTORY_ENTRIES, Replica, Snapshot,
};
use fulmartrestle_core::{LogOffset, Version};
use googletest::prelude::*;
use support::{id, key_id, key_row, plan_of, route_row, tenant_row};

const RETENTION_MS: i64 = 3_600_000;

/// A log in memory with one reader from its start.
#[derive(Default)]
struct Log {
    records: Vec<LogRecord>,
    reader: Replica,
}

impl Log {
    fn with_fleet() -> Self {
        let mut log = Self::default();
        log.reader.set_first_retained(LogOffset(0));
        log.confirm(&support::first_plan());
        log
    }

    fn plan(&self, changes: Vec<IntentChange>, random: u8) -> Plan {
        plan_of(self.reader.config().unwrap(), changes, random)
    }

    fn confirm(&mut self, plan: &Plan) -> CertificationResult {
        match self.append(LogRecord::Confirm(plan.clone())) {
            ApplyOutcome::Applied(Some(result)) => result,
            other => panic!("not decided: {other:?}"),
        }
    }

    fn append(&mut self, record: LogRecord) -> ApplyOutcome {
        let record = LogRecord::decode(&record.encode());
        let offset = LogOffset(self.records.len() as u64);
        self.records.push(record.clone());
        self.reader.apply_record(offset, &record)
    }

    /// Reads the log from its first retained record.
    fn read_from(&self, first: usize) -> Replica {
        let mut replica = Replica::default();
        replica.set_first_retained(LogOffset(first as u64));
        for (offset, record) in self.records.iter().enumerate().skip(first) {
            replica.apply_record(LogOffset(offset as u64), record);
        }
        replica
    }
}

fn set(tenant: &str, rate: u64) -> IntentChange {
    IntentChange::SetTenant(tenant_row(tenant, rate))
}

#[gtest]
fn of_racing_plans_one_wins_when_they_touch_the_same() {
    struct Case {
        name: &'static str,
        first: IntentChange,
        second: IntentChange,
        conflict: bool,
    }
    let cases = [
        Case { name: "same tenant", first: set("alpi", 1), second: set("alpi", 2), conflict: true },
        Case { name: "other tenants", first: set("alpi", 1), second: set("lago", 2), conflict: false },
        Case {
            name: "key granted to a removed tenant",
            first: IntentChange::RemoveTenant(id("alpi")),
            second: IntentChange::GrantKey(id("alpi")),
            conflict: true,
        },
        Case {
            name: "tenant removed after a grant",
            first: IntentChange::GrantKey(id("alpi")),
            second: IntentChange::RemoveTenant(id("alpi")),
            conflict: false,
        },
        Case {
            name: "two routes with one prefix",
            first: IntentChange::SetRoute(route_row("a", "/new", "profiles")),
            second: IntentChange::SetRoute(route_row("b", "/new", "profiles")),
            conflict: true,
        },
        Case {
            name: "the last two operators",
            first: IntentChange::RemoveOperator(id("ada")),
            second: IntentChange::RemoveOperator(id("bob")),
            conflict: true,
        },
        Case {
            name: "withdrawal beside a change of the tenant",
            first: set("alpi", 1),
            second: IntentChange::WithdrawKey(key_id("alpi-1")),
            conflict: false,
        },
    ];
    for case in cases {
        let mut log = Log::with_fleet();
        let [first, second] =
            [(case.first, 1), (case.second, 2)].map(|(change, random)| log.plan(vec![change], random));
        expect_that!(log.confirm(&first), eq(CertificationResult::Committed { version: Version(2) }), "{}", case.name);
        let wanted = match case.conflict {
            true => CertificationResult::Conflict { lost_to: first.id },
            false => CertificationResult::Committed { version: Version(3) },
        };
        expect_that!(log.confirm(&second), eq(wanted), "case: {}", case.name);
        expect_that!(log.reader.certification_result(second.id), some(eq(wanted)), "case: {}", case.name);
    }
}

#[gtest]
fn tenant_removed_beside_a_grant_leaves_no_key() {
    let mut log = Log::with_fleet();
    let grant = support::plan_with(log.reader.config().unwrap(), vec![IntentChange::GrantKey(id("alpi"))], 1).unwrap();
    let remove = log.plan(vec![IntentChange::RemoveTenant(id("alpi"))], 2);
    log.confirm(&grant.plan);
    log.confirm(&remove);
    let back = log.plan(vec![set("alpi", 5)], 3);
    log.confirm(&back);
    let config = log.reader.config().unwrap();
    assert_that!(config.tenant_for_key(grant.granted_keys[0].secret.expose_secret()), none());
    assert_that!(config.tenant_for_key("alpi-1"), none());
}

#[gtest]
fn repeated_confirm_changes_nothing() {
    let mut log = Log::with_fleet();
    let plan = log.plan(vec![set("alpi", 1)], 1);
    let first = log.confirm(&plan);
    let later = log.plan(vec![set("alpi", 2)], 2);
    log.confirm(&later);
    let before = log.reader.config().unwrap().clone();
    assert_that!(log.confirm(&plan), eq(first));
    assert_that!(log.reader.config().unwrap(), eq(&before));
}

#[gtest]
fn forged_plan_neither_commits_nor_hides_the_real_one() {
    let mut log = Log::with_fleet();
    let plan = log.plan(vec![set("alpi", 1)], 1);
    let committed = log.confirm(&plan);
    let mut forged = plan.clone();
    forged.writes = vec![Change::RemoveTenant(id("lago"))];
    assert_that!(log.confirm(&forged), eq(CertificationResult::Invalid));
    assert_that!(log.reader.certification_result(plan.id), some(eq(committed)));
    assert_that!(log.reader.config().unwrap().tenants().get(&id("lago")), some(anything()));
}

#[gtest]
fn plan_older_than_the_history_is_refused() {
    let mut log = Log::with_fleet();
    let old = log.plan(vec![set("lago", 1)], 1);
    for round in 0..MAX_HISTORY_ENTRIES as u64 + 2 {
        let plan = log.plan(vec![set("alpi", round)], 2);
        log.confirm(&plan);
    }
    assert_that!(log.confirm(&old), pat!(CertificationResult::BaseTooOld { .. }));
    assert_that!(log.reader.history().count(), eq(MAX_HISTORY_ENTRIES));
}

#[gtest]
fn unreadable_records_are_passed_over_alike() {
    let mut log = Log::with_fleet();
    for bytes in [&b""[..], b"\x01", b"\x02abc", b"\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"] {
        assert_that!(LogRecord::decode(bytes), eq(&LogRecord::Unreadable));
        log.append(LogRecord::Unreadable);
    }
    assert_that!(log.read_from(0).hash(), eq(log.reader.hash()));
}

#[gtest]
fn reader_of_a_trimmed_log_starts_from_a_snapshot() {
    let mut log = Log::with_fleet();
    let keys: Vec<_> = (0..3_000).map(|index| Change::PutKey(key_row(&index.to_string(), "alpi"))).collect();
    for chunk in keys.chunks(190) {
        let mut plan = log.plan(vec![set("alpi", 1)], 1);
        plan.writes.extend_from_slice(chunk);
        plan.id = plan.expected_id();
        log.confirm(&plan);
    }
    assert_that!(log.reader.needs_snapshot(0, RETENTION_MS), is_true());
    let first = log.records.len();
    let parts = log.reader.snapshot().unwrap().to_parts(1_000);
    assert_that!(parts, len(gt(3)));
    for (index, part) in parts.iter().enumerate() {
        // Plans commit and appends are doubled while the snapshot is written.
        let plan = log.plan(vec![set("lago", index as u64)], 1);
        log.confirm(&plan);
        log.append(LogRecord::Snapshot(part.clone()));
        log.append(LogRecord::Snapshot(part.clone()));
    }
    assert_that!(log.reader.needs_snapshot(1_000, RETENTION_MS), is_false());
    assert_that!(log.reader.needs_snapshot(1_000 + RETENTION_MS / 3, RETENTION_MS), is_true());
    let started = log.read_from(first);
    assert_that!(started.next_offset(), eq(log.reader.next_offset()));
    assert_that!(started.hash(), eq(log.reader.hash()));
    assert_that!(started.snapshot(), eq(&log.reader.snapshot()));
    let too_late = log.read_from(first + 1);
    assert_that!(too_late.config(), none());
}

#[gtest]
fn replica_never_goes_back_to_an_older_snapshot() {
    let mut log = Log::with_fleet();
    let old: Snapshot = log.reader.snapshot().unwrap();
    let plan = log.plan(vec![set("alpi", 1)], 1);
    log.confirm(&plan);
    assert_that!(log.reader.install_snapshot(old), is_false());
    assert_that!(log.reader.version(), eq(Version(2)));
}
