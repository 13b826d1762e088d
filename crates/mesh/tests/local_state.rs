//! What a node believes: the own target, the other nodes, and the age of the configuration.

use fulmartrestle_core::{TimeUs, Version};
use fulmartrestle_mesh::{Announcement, AnnouncementResult, Freshness, OwnTarget};
use googletest::prelude::*;

const NOW: TimeUs = TimeUs::from_ms(10_000);

fn announcement(instance: &str, started_unix_ms: i64, seq: u64, draining: bool) -> Announcement {
    Announcement {
        instance: instance.to_owned(),
        started_unix_ms,
        seq,
        service: "deep".parse().expect("a valid name"),
        slots: 10,
        draining,
        cold_left_ms: 0,
    }
}

#[gtest]
fn late_announcements_change_nothing() {
    struct Case {
        name: &'static str,
        announcements: Vec<Announcement>,
        result: AnnouncementResult,
        usable: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "first",
            announcements: vec![announcement("a", 5, 1, false)],
            result: AnnouncementResult::NewRun,
            usable: Some("a"),
        },
        Case {
            name: "next",
            announcements: vec![announcement("a", 5, 1, false), announcement("a", 5, 2, false)],
            result: AnnouncementResult::Current,
            usable: Some("a"),
        },
        Case {
            name: "ready from before it was leaving",
            announcements: vec![announcement("a", 5, 3, true), announcement("a", 5, 2, false)],
            result: AnnouncementResult::Outdated,
            usable: None,
        },
        Case {
            name: "leaving is final",
            announcements: vec![announcement("a", 5, 3, true), announcement("a", 5, 4, false)],
            result: AnnouncementResult::Current,
            usable: None,
        },
        Case {
            name: "a run that has ended, from behind a cut",
            announcements: vec![announcement("b", 9, 1, false), announcement("a", 5, 7, false)],
            result: AnnouncementResult::Outdated,
            usable: Some("b"),
        },
        Case {
            name: "the same name, started again",
            announcements: vec![announcement("a", 5, 7, true), announcement("a", 9, 1, false)],
            result: AnnouncementResult::NewRun,
            usable: Some("a"),
        },
    ];
    for case in cases {
        let mut target = OwnTarget::default();
        let result: Vec<_> =
            case.announcements.into_iter().map(|announcement| target.apply_announcement(announcement, NOW)).collect();
        expect_that!(result.last(), some(eq(&case.result)), "{}", case.name);
        let usable = target.usable(NOW).map(|usable| usable.instance.as_str());
        expect_that!(usable, eq(case.usable), "{}", case.name);
    }
}

#[gtest]
fn a_withdrawn_run_is_never_used_again() {
    struct Case {
        name: &'static str,
        started_unix_ms: Option<i64>,
        later: Announcement,
        usable: bool,
    }
    let cases = [
        Case { name: "late word", started_unix_ms: None, later: announcement("a", 5, 9, false), usable: false },
        Case {
            name: "late word, start named",
            started_unix_ms: Some(5),
            later: announcement("a", 5, 9, false),
            usable: false,
        },
        Case { name: "started again", started_unix_ms: Some(5), later: announcement("a", 6, 1, false), usable: true },
    ];
    for case in cases {
        let mut target = OwnTarget::default();
        target.apply_announcement(announcement("a", 5, 1, false), NOW);
        target.apply_withdrawal("a", case.started_unix_ms);
        expect_that!(target.usable(NOW), none(), "{}", case.name);
        target.apply_announcement(case.later, NOW);
        expect_that!(target.usable(NOW).is_some(), eq(case.usable), "{}", case.name);
    }
}

#[gtest]
fn a_target_is_not_used_while_unreachable_or_silent() {
    let mut target = OwnTarget::default();
    target.apply_announcement(announcement("a", 5, 1, false), NOW);
    target.set_reachable(false);
    assert_that!(target.usable(NOW), none());
    target.apply_announcement(announcement("a", 5, 2, false), NOW);
    assert_that!(target.usable(NOW), some(anything()));
    assert_that!(target.usable(NOW.plus_ms(9_000)), none());
}

#[gtest]
fn knowledge_counts_from_the_moment_at_which_it_was_asked_for() {
    struct Case {
        name: &'static str,
        own: Version,
        theirs: Version,
        age_ms: u64,
        known: Option<u64>,
    }
    let cases = [
        Case { name: "same version", own: Version(7), theirs: Version(7), age_ms: 300, known: Some(1_300) },
        Case {
            name: "older version of the peer",
            own: Version(8),
            theirs: Version(7),
            age_ms: 300,
            known: Some(1_300),
        },
        Case { name: "a version that this node lacks", own: Version(6), theirs: Version(7), age_ms: 300, known: None },
    ];
    for case in cases {
        let mut freshness = Freshness::default();
        // Asked a second ago, and however long the answer was on its way.
        freshness.record_peer_confirmation(TimeUs::from_ms(9_000), case.age_ms, case.theirs, case.own);
        expect_that!(freshness.age_ms(NOW), eq(case.known), "{}", case.name);
    }
}

#[gtest]
fn older_knowledge_does_not_replace_newer() {
    let mut freshness = Freshness::default();
    freshness.record_confirmation(TimeUs::from_ms(9_500));
    freshness.record_confirmation(TimeUs::from_ms(9_000));
    assert_that!(freshness.age_ms(NOW), some(eq(500)));
}
