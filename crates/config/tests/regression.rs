//! Faults that were found, each with the issue under which it was.

mod support;

use fulmartrestle_config::plan::IntentChange;
use fulmartrestle_config::spread::{
    AppendResult, ConfigEffect, ConfigMember, ConfigNode, ConfigNodeSettings, ConfirmOutcome, LogTicket,
};
use fulmartrestle_core::{LogOffset, TimeUs, VmId};
use googletest::prelude::*;
use support::{fleet, id, plan_of, tenant_row};

fn tickets_of_appends(effects: &[ConfigEffect]) -> Vec<LogTicket> {
    let appends = effects.iter().filter_map(|effect| match effect {
        ConfigEffect::Append { ticket, .. } => Some(*ticket),
        _ => None,
    });
    appends.collect()
}

/// Issue 5: a plan was confirmed twice at one node, the first append was written without an answer
/// and the second was refused; the operator was told that nothing had been written.
#[gtest]
fn second_confirm_of_a_waiting_plan_does_not_deny_the_first() {
    let own = ConfigMember { vm: VmId(1), zone: id("milano") };
    let settings = ConfigNodeSettings { own, log_retention_ms: 3_600_000, seed: 1 };
    let mut node = ConfigNode::new(settings, TimeUs(0));
    let plan = plan_of(&fleet(), vec![IntentChange::SetTenant(tenant_row("alpi", 1))], 1);
    let first = tickets_of_appends(&node.confirm(TimeUs::from_ms(1), &plan));
    let second = tickets_of_appends(&node.confirm(TimeUs::from_ms(2), &plan));
    assert_that!(first, len(eq(1)));
    assert_that!(second, is_empty());
    let effects = node.on_append_result(TimeUs::from_ms(3), first[0], AppendResult::Appended(LogOffset(0)));
    let denied = ConfigEffect::Settled { plan: plan.id, outcome: ConfirmOutcome::NotAppended };
    assert_that!(effects, not(contains(eq(&denied))));
}
