//! Regression tests, each with the number of the issue that it guards against.

mod support;

use fulmartrestle_config::plan::IntentChange;
use fulmartrestle_config::propagation::{
    AppendResult, ConfigEffect, ConfigMember, ConfigMessage, ConfigNode, ConfigNodeSettings, ConfirmOutcome,
    LogRequestId, PullId,
};
use fulmartrestle_config::replica::LogRecord;
use fulmartrestle_core::{LogOffset, TimeUs, Version, VmId};
use googletest::prelude::*;
use support::{create_test_plan, fleet, id, initial_plan, tenant_row};

fn append_request_ids(effects: &[ConfigEffect]) -> Vec<LogRequestId> {
    let appends = effects.iter().filter_map(|effect| match effect {
        ConfigEffect::Append { request_id, .. } => Some(*request_id),
        _ => None,
    });
    appends.collect()
}

/// Issue 5: a starting node without state could not apply the log's first records when it received them from a peer.
#[gtest]
fn node_without_state_applies_the_first_records_from_a_peer() {
    let member = |vm| ConfigMember { vm: VmId(vm), zone: id("milano") };
    let settings = ConfigNodeSettings { local_member: member(1), log_retention_ms: 3_600_000, seed: 1 };
    let mut node = ConfigNode::new(settings, TimeUs(0));
    node.set_members(&[member(1), member(2)]);
    let digest = node.digest(TimeUs(0));
    let records = vec![LogRecord::Confirm(initial_plan()).encode()];
    let message = ConfigMessage::Records { pull: PullId(1), from: LogOffset(0), records, digest };
    node.on_message(TimeUs::from_ms(1), VmId(2), message);
    assert_that!(node.replica().version(), eq(Version(1)));
    assert_that!(node.config(), none(), "the node has not reached the end of the log");
}

/// Issue 5: a plan was confirmed twice at one node. The first append was written but its response was lost, and the
/// second one failed. The node then reported that nothing had been written.
#[gtest]
fn second_confirmation_of_a_pending_plan_does_not_report_it_as_not_appended() {
    let local_member = ConfigMember { vm: VmId(1), zone: id("milano") };
    let settings = ConfigNodeSettings { local_member, log_retention_ms: 3_600_000, seed: 1 };
    let mut node = ConfigNode::new(settings, TimeUs(0));
    let plan = create_test_plan(&fleet(), vec![IntentChange::SetTenant(tenant_row("alpi", 1))], 1);
    let first = append_request_ids(&node.confirm(TimeUs::from_ms(1), &plan));
    let second = append_request_ids(&node.confirm(TimeUs::from_ms(2), &plan));
    assert_that!(first, len(eq(1)));
    assert_that!(second, is_empty());
    let effects = node.on_append_result(TimeUs::from_ms(3), first[0], AppendResult::Appended(LogOffset(0)));
    let not_appended = ConfigEffect::ConfirmCompleted { plan: plan.id, outcome: ConfirmOutcome::NotAppended };
    assert_that!(effects, not(contains(eq(&not_appended))));
}
