//! Tests a node's local state: its local target and the age of its configuration.

use fulmartrestle_core::{TimeUs, Version};
use fulmartrestle_mesh::{
    Announcement, AnnouncementResult, ConfigFreshness, ExpectedTarget, LocalTarget, NodeStart, TargetRun,
};
use googletest::prelude::*;

const NOW: TimeUs = TimeUs::from_ms(10_000);

fn announcement(instance: &str, started_unix_ms: i64, seq: u64, draining: bool) -> Announcement {
    Announcement {
        instance: instance.to_owned(),
        started_unix_ms,
        seq,
        service: "deep".parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 8_080).into(),
        slots: 10,
        draining,
        cold_left_ms: 0,
    }
}

#[gtest]
fn outdated_announcements_are_ignored() {
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
            name: "ready, sent before draining",
            announcements: vec![announcement("a", 5, 3, true), announcement("a", 5, 2, false)],
            result: AnnouncementResult::Outdated,
            usable: None,
        },
        Case {
            name: "draining is final",
            announcements: vec![announcement("a", 5, 3, true), announcement("a", 5, 4, false)],
            result: AnnouncementResult::Current,
            usable: None,
        },
        Case {
            name: "earlier run, delayed by a partition",
            announcements: vec![announcement("b", 9, 1, false), announcement("a", 5, 7, false)],
            result: AnnouncementResult::Outdated,
            usable: Some("b"),
        },
        Case {
            name: "same instance name, restarted",
            announcements: vec![announcement("a", 5, 7, true), announcement("a", 9, 1, false)],
            result: AnnouncementResult::NewRun,
            usable: Some("a"),
        },
    ];
    for case in cases {
        let mut target = LocalTarget::default();
        let result: Vec<_> =
            case.announcements.into_iter().map(|announcement| target.apply_announcement(announcement, NOW)).collect();
        expect_that!(result.last(), some(eq(&case.result)), "{}", case.name);
        let usable = target.usable(NOW).map(|usable| usable.instance.as_str());
        expect_that!(usable, eq(case.usable), "{}", case.name);
    }
}

/// Guards against a run that was withdrawn and is used again, above all one that the node had not heard of, and against a
/// later run that is kept waiting for it.
#[gtest]
fn withdrawn_run_is_never_used_again() {
    const WITHDRAWN_UNIX_MS: i64 = 100;
    struct Case {
        name: &'static str,
        known: Option<Announcement>,
        started_unix_ms: Option<i64>,
        later: Announcement,
        usable: Option<&'static str>,
    }
    let known = Some(announcement("a", 5, 1, false));
    let late = announcement("a", 5, 9, false);
    let cases = [
        Case { name: "late", known: known.clone(), started_unix_ms: None, later: late.clone(), usable: None },
        Case { name: "named", known: known.clone(), started_unix_ms: Some(5), later: late.clone(), usable: None },
        Case {
            name: "named and restarted",
            known: known.clone(),
            started_unix_ms: Some(5),
            later: announcement("a", 6, 1, false),
            usable: Some("a"),
        },
        Case { name: "never heard of", known: None, started_unix_ms: None, later: late.clone(), usable: None },
        Case { name: "named, never heard of", known: None, started_unix_ms: Some(5), later: late, usable: None },
        Case {
            name: "a later run than the known one, not heard of yet",
            known: known.clone(),
            started_unix_ms: None,
            later: announcement("a", 60, 1, false),
            usable: None,
        },
        Case {
            name: "started after the notice",
            known: known.clone(),
            started_unix_ms: None,
            later: announcement("a", 101, 1, false),
            usable: Some("a"),
        },
        Case {
            name: "another instance, started before the notice",
            known: None,
            started_unix_ms: None,
            later: announcement("b", 60, 1, false),
            usable: Some("b"),
        },
        Case {
            name: "clock of the node behind that of the target",
            known: Some(announcement("a", 150, 1, false)),
            started_unix_ms: None,
            later: announcement("a", 150, 2, false),
            usable: None,
        },
    ];
    for case in cases {
        let mut target = LocalTarget::default();
        if let Some(known) = case.known {
            target.apply_announcement(known, NOW);
        }
        target.apply_withdrawal("a", case.started_unix_ms, WITHDRAWN_UNIX_MS);
        expect_that!(target.usable(NOW), none(), "{}", case.name);
        expect_that!(target.left_runs(4), len(eq(1)), "{}", case.name);
        target.apply_announcement(case.later, NOW);
        let usable = target.usable(NOW).map(|usable| usable.instance.as_str());
        expect_that!(usable, eq(case.usable), "{}", case.name);
    }
}

/// Guards against a run that left before its node started and is used again by a late announcement, and against runs that
/// are kept waiting although that is ruled out.
#[gtest]
fn run_from_before_the_start_is_used_once_it_is_verified() {
    enum Step {
        Announce {
            started_unix_ms: i64,
            seq: u64,
        },
        /// A health check of the run with this start succeeds.
        Verify {
            started_unix_ms: i64,
        },
        /// The run with this start can't be asked.
        NoAnswer {
            started_unix_ms: i64,
        },
        Withdraw,
        Pass {
            ms: u64,
        },
    }
    use Step::{Announce, NoAnswer, Pass, Verify, Withdraw};
    struct Case {
        name: &'static str,
        is_first_start: bool,
        steps: Vec<Step>,
        usable: bool,
        unverified: bool,
    }
    const START_UNIX_MS: i64 = 100_000;
    let old = |seq| Announce { started_unix_ms: 5, seq };
    let case = |name, steps, usable, unverified| Case { name, is_first_start: false, steps, usable, unverified };
    let cases = [
        Case { is_first_start: true, ..case("first start of the deployment", vec![old(1)], true, false) },
        case("announced", vec![old(1)], false, true),
        case("announced twice", vec![old(1), Pass { ms: 4_000 }, old(2)], false, true),
        case("verified", vec![old(1), Verify { started_unix_ms: 5 }], true, false),
        case("another run verified", vec![old(1), Verify { started_unix_ms: 4 }], false, true),
        case("verified, then withdrawn", vec![old(1), Verify { started_unix_ms: 5 }, Withdraw], false, false),
        case("withdrawn, then verified", vec![old(1), Withdraw, Verify { started_unix_ms: 5 }], false, false),
        case("not announced again", vec![old(1), Pass { ms: 4_999 }], false, true),
        case("announced late", vec![old(1), Pass { ms: 5_000 }, old(2)], false, true),
        case("announced for the first time late", vec![Pass { ms: 9_000 }, old(1)], false, true),
        case(
            "announced late, then verified",
            vec![Pass { ms: 9_000 }, old(1), Verify { started_unix_ms: 5 }],
            true,
            false,
        ),
        case("can't be asked", vec![old(1), Pass { ms: 5_000 }, old(2), NoAnswer { started_unix_ms: 5 }], true, false),
        case(
            "can't be asked soon",
            vec![old(1), Pass { ms: 4_999 }, old(2), NoAnswer { started_unix_ms: 5 }],
            false,
            true,
        ),
        case(
            "can't be asked, not announced",
            vec![old(1), Pass { ms: 9_000 }, NoAnswer { started_unix_ms: 5 }],
            false,
            true,
        ),
        case(
            "another run can't be asked",
            vec![Pass { ms: 9_000 }, old(1), NoAnswer { started_unix_ms: 4 }],
            false,
            true,
        ),
        case("started later", vec![Announce { started_unix_ms: START_UNIX_MS + 500, seq: 1 }], true, false),
        case("started about then", vec![Announce { started_unix_ms: START_UNIX_MS + 499, seq: 1 }], false, true),
        case("next run", vec![old(1), Announce { started_unix_ms: START_UNIX_MS + 3_000, seq: 1 }], true, false),
    ];
    for case in cases {
        let start = NodeStart { at: NOW, unix_ms: START_UNIX_MS };
        let mut target = LocalTarget::new(Some(start).filter(|_| !case.is_first_start));
        let mut now = NOW;
        for step in case.steps {
            match step {
                Announce { started_unix_ms, seq } => {
                    target.apply_announcement(announcement("a", started_unix_ms, seq, false), now);
                }
                Verify { started_unix_ms } => {
                    target.set_verified(&TargetRun { instance: "a".to_owned(), started_unix_ms });
                }
                NoAnswer { started_unix_ms } => {
                    target.set_unverifiable(&TargetRun { instance: "a".to_owned(), started_unix_ms });
                }
                Withdraw => {
                    target.apply_withdrawal("a", None, START_UNIX_MS);
                }
                Pass { ms } => now = now.plus_ms(ms),
            }
        }
        expect_that!(target.usable(now).is_some(), eq(case.usable), "{}", case.name);
        expect_that!(target.unverified_run().is_some(), eq(case.unverified), "{}", case.name);
    }
}

/// Guards against a run that said that it leaves in a heartbeat which came late, and is used again once the run after it is
/// silent.
#[gtest]
fn late_announcement_of_a_leaving_run_binds() {
    const SILENT_MS: u64 = 9_000;
    let mut target = LocalTarget::default();
    target.apply_announcement(announcement("b", 9, 1, false), NOW);
    let leaving = target.apply_announcement(announcement("a", 5, 7, true), NOW);
    expect_that!(leaving, eq(AnnouncementResult::Outdated));
    let later = NOW.plus_ms(SILENT_MS);
    expect_that!(target.apply_announcement(announcement("a", 5, 8, false), later), eq(AnnouncementResult::Outdated));
    expect_that!(target.usable(later), none());
}

#[gtest]
fn unreachable_or_silent_target_is_not_usable() {
    let mut target = LocalTarget::default();
    target.apply_announcement(announcement("a", 5, 1, false), NOW);
    target.set_reachable(false);
    assert_that!(target.usable(NOW), none());
    target.apply_announcement(announcement("a", 5, 2, false), NOW);
    assert_that!(target.usable(NOW), some(anything()));
    assert_that!(target.usable(NOW.plus_ms(9_000)), none());
}

#[gtest]
fn peer_confirmation_counts_from_the_echoed_stamp() {
    struct Case {
        name: &'static str,
        own_version: Version,
        peer_version: Version,
        age_ms: u64,
        expected_age_ms: Option<u64>,
    }
    let cases = [
        Case {
            name: "same version",
            own_version: Version(7),
            peer_version: Version(7),
            age_ms: 300,
            expected_age_ms: Some(1_300),
        },
        Case {
            name: "older version of the peer",
            own_version: Version(8),
            peer_version: Version(7),
            age_ms: 300,
            expected_age_ms: Some(1_300),
        },
        Case {
            name: "newer version of the peer",
            own_version: Version(6),
            peer_version: Version(7),
            age_ms: 300,
            expected_age_ms: None,
        },
    ];
    for case in cases {
        let mut freshness = ConfigFreshness::default();
        // The stamp was sent a second ago. The delay of the response does not matter.
        freshness.record_peer_confirmation(
            TimeUs::from_ms(9_000),
            case.age_ms,
            case.peer_version,
            case.own_version,
            NOW,
        );
        expect_that!(freshness.age_ms(NOW), eq(case.expected_age_ms), "{}", case.name);
    }
}

/// Guards against a configuration that counts as just confirmed because the message that says so was delayed.
#[gtest]
fn estimated_age_grows_with_the_age_of_the_echoed_stamp() {
    struct Case {
        stamped_ms: u64,
        expected_age_ms: u64,
    }
    let cases = [
        Case { stamped_ms: 9_900, expected_age_ms: 300 },
        Case { stamped_ms: 9_000, expected_age_ms: 300 },
        Case { stamped_ms: 8_500, expected_age_ms: 800 },
    ];
    for Case { stamped_ms, expected_age_ms } in cases {
        let mut freshness = ConfigFreshness::default();
        freshness.record_peer_confirmation(TimeUs::from_ms(stamped_ms), 300, Version(7), Version(7), NOW);
        expect_that!(freshness.estimated_age_ms(NOW), some(eq(expected_age_ms)), "stamped at {stamped_ms} ms");
    }
}

#[gtest]
fn older_confirmation_does_not_replace_newer() {
    let mut freshness = ConfigFreshness::default();
    freshness.record_confirmation(TimeUs::from_ms(9_500));
    freshness.record_confirmation(TimeUs::from_ms(9_000));
    assert_that!(freshness.age_ms(NOW), some(eq(500)));
}

/// Guards against a target that is taken to be warm although nothing is known of it, or because of a late heartbeat.
#[gtest]
fn target_is_cold_unless_its_last_announcement_says_otherwise() {
    enum Step {
        Announce { started_unix_ms: i64, seq: u64, cold_left_ms: u64 },
        Unreachable,
        MarkUnknown,
        Pass { ms: u64 },
    }
    use Step::{Announce, MarkUnknown, Pass, Unreachable};
    struct Case {
        name: &'static str,
        steps: Vec<Step>,
        cold: bool,
    }
    let announce = |started_unix_ms, seq, cold_left_ms| Announce { started_unix_ms, seq, cold_left_ms };
    let cases = [
        Case { name: "nothing heard", steps: vec![], cold: true },
        Case { name: "warm", steps: vec![announce(5, 1, 0)], cold: false },
        Case { name: "cold", steps: vec![announce(5, 1, 900), Pass { ms: 899 }], cold: true },
        Case { name: "no longer cold", steps: vec![announce(5, 1, 900), Pass { ms: 900 }], cold: false },
        Case { name: "cold again", steps: vec![announce(5, 1, 0), announce(5, 2, 900)], cold: true },
        Case { name: "late, lower seq", steps: vec![announce(5, 2, 900), announce(5, 1, 0)], cold: true },
        Case { name: "late, earlier run", steps: vec![announce(9, 1, 900), announce(5, 7, 0)], cold: true },
        Case { name: "new run", steps: vec![announce(5, 7, 0), announce(9, 1, 900)], cold: true },
        Case { name: "unreachable", steps: vec![announce(5, 1, 0), Unreachable], cold: true },
        Case { name: "reachable again", steps: vec![announce(5, 1, 0), Unreachable, announce(5, 2, 0)], cold: false },
        Case { name: "marked", steps: vec![announce(5, 1, 0), MarkUnknown, Pass { ms: 60_000 }], cold: true },
        Case { name: "late after mark", steps: vec![announce(5, 2, 0), MarkUnknown, announce(5, 1, 0)], cold: true },
        Case { name: "heard after mark", steps: vec![announce(5, 2, 0), MarkUnknown, announce(5, 3, 0)], cold: false },
    ];
    for case in cases {
        let mut target = LocalTarget::default();
        let mut now = NOW;
        for step in case.steps {
            match step {
                Announce { started_unix_ms, seq, cold_left_ms } => {
                    let heard = Announcement { cold_left_ms, ..announcement("a", started_unix_ms, seq, false) };
                    target.apply_announcement(heard, now);
                }
                Unreachable => target.set_reachable(false),
                MarkUnknown => target.mark_cold_state_unknown(),
                Pass { ms } => now = now.plus_ms(ms),
            }
        }
        expect_that!(target.is_cold(now), eq(case.cold), "{}", case.name);
    }
}

/// Guards against announcements of another writer that replace the target which the settings name.
#[gtest]
fn announcements_that_contradict_the_settings_are_those_of_another_target() {
    struct Case {
        name: &'static str,
        service: &'static str,
        port: u16,
        contradiction: Option<&'static str>,
    }
    let cases = [
        Case { name: "the target", service: "deep", port: 8_080, contradiction: None },
        Case {
            name: "another service",
            service: "warehouse",
            port: 8_080,
            contradiction: Some("service is warehouse, expected deep"),
        },
        Case {
            name: "another address",
            service: "deep",
            port: 9,
            contradiction: Some("address is 127.0.0.1:9, expected 127.0.0.1:8080"),
        },
    ];
    let own = announcement("a", 5, 1, false);
    let expected = ExpectedTarget { service: own.service.clone(), address: own.address };
    for case in cases {
        let heard = Announcement {
            service: case.service.parse().expect("a valid name"),
            address: ([127, 0, 0, 1], case.port).into(),
            ..own.clone()
        };
        let contradiction = expected.contradicting_value(&heard);
        expect_that!(contradiction.as_deref(), eq(case.contradiction), "{}", case.name);
    }
}

/// Guards against a target that is passed over until its node starts again, because its clock was stepped back before it
/// started anew.
#[gtest]
fn a_run_with_an_earlier_start_is_used_once_the_known_run_is_silent() {
    struct Case {
        name: &'static str,
        /// Time from the last announcement of the known run to the one of the run with an earlier start, in milliseconds.
        silent_ms: u64,
        later: Announcement,
        result: AnnouncementResult,
    }
    let earlier = announcement("a", 5, 1, false);
    let cases = [
        Case { name: "late", silent_ms: 7_999, later: earlier.clone(), result: AnnouncementResult::Outdated },
        Case { name: "restarted", silent_ms: 8_000, later: earlier.clone(), result: AnnouncementResult::NewRun },
        Case {
            name: "another instance",
            silent_ms: 8_000,
            later: announcement("b", 5, 1, false),
            result: AnnouncementResult::NewRun,
        },
        Case {
            name: "a run that has left",
            silent_ms: 60_000,
            later: announcement("c", 4, 1, false),
            result: AnnouncementResult::Outdated,
        },
        Case {
            name: "the known run",
            silent_ms: 60_000,
            later: announcement("a", 9, 2, false),
            result: AnnouncementResult::Current,
        },
    ];
    for case in cases {
        let mut target = LocalTarget::default();
        target.apply_left_run("c", 4);
        target.apply_announcement(announcement("a", 9, 1, false), NOW);
        let result = target.apply_announcement(case.later, NOW.plus_ms(case.silent_ms));
        expect_that!(result, eq(case.result), "{}", case.name);
    }
}
