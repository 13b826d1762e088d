//! Certification of plans, snapshots, and replicas that start from them.

mod support;

use fulmartrestle_config::plan::{Change, IntentChange, Plan};
use fulmartrestle_config::replica::{
    ApplyOutcome, CertificationResult, LogRecord, MAX_HISTORY_ENTRIES, Replica, Snapshot,
};
use fulmartrestle_core::{LogOffset, Version};
use googletest::prelude::*;
use support::{create_test_plan, id, key_id, key_row, route_row, tenant_row};

const RETENTION_MS: i64 = 3_600_000;

/// An in-memory log with a replica that reads it from the start.
#[derive(Default)]
struct Log {
    records: Vec<LogRecord>,
    replica: Replica,
}

impl Log {
    fn with_fleet() -> Self {
        let mut log = Self::default();
        log.replica.set_first_retained(LogOffset(0));
        log.confirm(&support::initial_plan());
        log
    }

    fn plan(&self, changes: Vec<IntentChange>, random: u8) -> Plan {
        create_test_plan(self.replica.config().unwrap(), changes, random)
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
        self.replica.apply_record(offset, &record)
    }

    /// Returns a replica that has read the log from `first`, the first retained record, on.
    fn read_from(&self, first: usize) -> Replica {
        let mut replica = Replica::default();
        replica.set_first_retained(LogOffset(first as u64));
        for (offset, record) in self.records.iter().enumerate().skip(first) {
            replica.apply_record(LogOffset(offset as u64), record);
        }
        replica
    }
}

fn set_tenant(tenant: &str, rate: u64) -> IntentChange {
    IntentChange::SetTenant(tenant_row(tenant, rate))
}

#[gtest]
fn one_of_two_conflicting_plans_commits() {
    struct Case {
        name: &'static str,
        first: IntentChange,
        second: IntentChange,
        conflict: bool,
    }
    let cases = [
        Case { name: "same tenant", first: set_tenant("alpi", 1), second: set_tenant("alpi", 2), conflict: true },
        Case {
            name: "different tenants",
            first: set_tenant("alpi", 1),
            second: set_tenant("lago", 2),
            conflict: false,
        },
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
            name: "two routes with the same prefix",
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
            name: "key withdrawn concurrently with a change of its tenant",
            first: set_tenant("alpi", 1),
            second: IntentChange::WithdrawKey(key_id("alpi-1")),
            conflict: false,
        },
    ];
    for case in cases {
        let mut log = Log::with_fleet();
        let [first, second] =
            [(case.first, 1), (case.second, 2)].map(|(change, random)| log.plan(vec![change], random));
        expect_that!(log.confirm(&first), eq(CertificationResult::Committed { version: Version(2) }), "{}", case.name);
        let expected = match case.conflict {
            true => CertificationResult::Conflict { lost_to: first.id },
            false => CertificationResult::Committed { version: Version(3) },
        };
        expect_that!(log.confirm(&second), eq(expected), "case: {}", case.name);
        expect_that!(log.replica.certification_result(second.id), some(eq(expected)), "case: {}", case.name);
    }
}

#[gtest]
fn removing_a_tenant_withdraws_a_concurrently_granted_key() {
    let mut log = Log::with_fleet();
    let grant =
        support::try_create_plan(log.replica.config().unwrap(), vec![IntentChange::GrantKey(id("alpi"))], 1).unwrap();
    let remove = log.plan(vec![IntentChange::RemoveTenant(id("alpi"))], 2);
    log.confirm(&grant.plan);
    log.confirm(&remove);
    let recreate = log.plan(vec![set_tenant("alpi", 5)], 3);
    log.confirm(&recreate);
    let config = log.replica.config().unwrap();
    assert_that!(config.tenant_for_key(grant.granted_keys[0].secret.expose_secret()), none());
    assert_that!(config.tenant_for_key("alpi-1"), none());
}

#[gtest]
fn repeated_confirm_changes_nothing() {
    let mut log = Log::with_fleet();
    let plan = log.plan(vec![set_tenant("alpi", 1)], 1);
    let first = log.confirm(&plan);
    let later = log.plan(vec![set_tenant("alpi", 2)], 2);
    log.confirm(&later);
    let before = log.replica.config().unwrap().clone();
    assert_that!(log.confirm(&plan), eq(first));
    assert_that!(log.replica.config().unwrap(), eq(&before));
}

#[gtest]
fn plan_with_a_forged_id_neither_commits_nor_hides_the_original() {
    let mut log = Log::with_fleet();
    let plan = log.plan(vec![set_tenant("alpi", 1)], 1);
    let committed = log.confirm(&plan);
    let mut forged = plan.clone();
    forged.writes = vec![Change::RemoveTenant(id("lago"))];
    assert_that!(log.confirm(&forged), eq(CertificationResult::Invalid));
    assert_that!(log.replica.certification_result(plan.id), some(eq(committed)));
    assert_that!(log.replica.config().unwrap().tenants().get(&id("lago")), some(anything()));
}

#[gtest]
fn plan_based_on_a_version_before_the_history_is_rejected() {
    let mut log = Log::with_fleet();
    let old = log.plan(vec![set_tenant("lago", 1)], 1);
    for round in 0..MAX_HISTORY_ENTRIES as u64 + 2 {
        let plan = log.plan(vec![set_tenant("alpi", round)], 2);
        log.confirm(&plan);
    }
    assert_that!(log.confirm(&old), pat!(CertificationResult::BaseTooOld { .. }));
    assert_that!(log.replica.history().count(), eq(MAX_HISTORY_ENTRIES));
}

#[gtest]
fn unreadable_records_are_skipped_by_all_readers() {
    let mut log = Log::with_fleet();
    for bytes in [&b""[..], b"\x01", b"\x02abc", b"\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"] {
        assert_that!(LogRecord::decode(bytes), eq(&LogRecord::Unreadable));
        log.append(LogRecord::Unreadable);
    }
    assert_that!(log.read_from(0).hash(), eq(log.replica.hash()));
}

#[gtest]
fn reader_of_a_trimmed_log_starts_from_a_snapshot() {
    let mut log = Log::with_fleet();
    let keys: Vec<_> = (0..3_000).map(|index| Change::PutKey(key_row(&index.to_string(), "alpi"))).collect();
    for chunk in keys.chunks(190) {
        let mut plan = log.plan(vec![set_tenant("alpi", 1)], 1);
        plan.writes.extend_from_slice(chunk);
        plan.id = plan.expected_id();
        log.confirm(&plan);
    }
    assert_that!(log.replica.needs_snapshot(0, RETENTION_MS), is_true());
    let first = log.records.len();
    let parts = log.replica.snapshot().unwrap().to_parts(1_000);
    assert_that!(parts, len(gt(3)));
    for (index, part) in parts.iter().enumerate() {
        // Plans commit and appends are repeated while the snapshot is written.
        let plan = log.plan(vec![set_tenant("lago", index as u64)], 1);
        log.confirm(&plan);
        log.append(LogRecord::Snapshot(part.clone()));
        log.append(LogRecord::Snapshot(part.clone()));
    }
    assert_that!(log.replica.needs_snapshot(1_000, RETENTION_MS), is_false());
    assert_that!(log.replica.needs_snapshot(1_000 + RETENTION_MS / 3, RETENTION_MS), is_true());
    let started = log.read_from(first);
    assert_that!(started.next_offset(), eq(log.replica.next_offset()));
    assert_that!(started.hash(), eq(log.replica.hash()));
    assert_that!(started.snapshot(), eq(&log.replica.snapshot()));
    let past_first_part = log.read_from(first + 1);
    assert_that!(past_first_part.config(), none());
}

#[gtest]
fn replica_does_not_install_an_older_snapshot() {
    let mut log = Log::with_fleet();
    let old: Snapshot = log.replica.snapshot().unwrap();
    let plan = log.plan(vec![set_tenant("alpi", 1)], 1);
    log.confirm(&plan);
    assert_that!(log.replica.install_snapshot(old), is_false());
    assert_that!(log.replica.version(), eq(Version(2)));
}
