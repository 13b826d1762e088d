//! Parsing and formatting of the newtypes, time arithmetic, and rendezvous hashing.

use fulmartrestle_core::{Class, Tenant, TimeUs, VmId, rendezvous_owner, rendezvous_owners};
use googletest::prelude::*;

#[googletest::test]
fn text_identifiers_reject_invalid_characters_and_lengths() {
    struct Case {
        name: &'static str,
        text: String,
        valid: bool,
    }
    let cases = [
        Case { name: "letters, digits and punctuation", text: "laghi-2_b.x".to_owned(), valid: true },
        Case { name: "empty", text: String::new(), valid: false },
        Case { name: "blank", text: "two words".to_owned(), valid: false },
        Case { name: "not ASCII", text: "città".to_owned(), valid: false },
        Case { name: "longest", text: "a".repeat(128), valid: true },
        Case { name: "too long", text: "a".repeat(129), valid: false },
    ];
    for case in cases {
        let parsed = case.text.parse::<Tenant>();
        expect_that!(parsed.is_ok(), eq(case.valid), "{}", case.name);
        if let Ok(tenant) = parsed {
            expect_that!(tenant.to_string(), eq(&case.text), "{}", case.name);
        }
    }
}

#[googletest::test]
fn displayed_values_parse_back() {
    let vm = VmId(0x0123_4567_89ab_cdef);
    expect_that!(vm.to_string().parse::<VmId>(), ok(eq(&vm)));
    for class in Class::ALL {
        expect_that!(class.to_string().parse::<Class>(), ok(eq(&class)));
    }
    expect_that!("urgent".parse::<Class>(), err(displays_as(contains_substring("urgent"))));
}

#[googletest::test]
fn only_the_roles_of_a_leaving_member_change_owner() {
    let members: Vec<VmId> = (1..=50).map(VmId).collect();
    let leaving = VmId(17);
    for role in 0..200 {
        let role = format!("role-{role}");
        let before = rendezvous_owner(&role, members.iter().copied());
        let after = rendezvous_owner(&role, members.iter().copied().filter(|vm| *vm != leaving));
        if before != Some(leaving) {
            expect_that!(after, eq(before));
        }
        let first = rendezvous_owners(&role, members.iter().copied(), 1);
        expect_that!(first.first().copied(), eq(before));
    }
}

#[googletest::test]
fn time_arithmetic_saturates() {
    let late = TimeUs(u64::MAX);
    expect_that!(late.plus_ms(1), eq(late));
    expect_that!(TimeUs(5).us_since(TimeUs(9)), eq(0));
    expect_that!(TimeUs::from_s(2).ms_since(TimeUs::from_ms(500)), eq(1_500));
}
