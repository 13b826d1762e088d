//! Tests how the end of a target's run is distinguished from lost responses, and which requests are held responsible.

use fulmartrestle_core::{CallId, Fingerprint, TimeUs, VmId};
use fulmartrestle_policy::{CallLoss, CrashTable, CrashVerdict, EndedCall, LossVerdict, ProbeResult, RunWatch};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What a gate sees of its target.
#[derive(Clone, Copy, Debug)]
enum Event {
    Start(u64),
    Answer(u64),
    Lost(u64, CallLoss),
    Probe(ProbeResult),
    ProbeBesideIdle(ProbeResult),
    Announcement,
    NewRun,
    Silence,
}

use Event::{Announcement, Answer, Lost, NewRun, Probe, ProbeBesideIdle, Silence, Start};
use ProbeResult::{Accepted, NoAnswer, Refused};

/// Applies one event. The fingerprint of a call is its number without the hundreds.
fn apply(watch: &mut RunWatch, event: Event, now: TimeUs) -> Vec<EndedCall> {
    match event {
        Start(call) => watch.record_start(CallId(call), Fingerprint(call % 100), now),
        Answer(call) => watch.record_answer(CallId(call), true),
        Lost(call, loss) => {
            watch.record_loss(CallId(call), loss, now);
        }
        Announcement => watch.record_announcement(now),
        Probe(result) => return watch.record_probe(result, false, now).unwrap_or_default(),
        ProbeBesideIdle(result) => return watch.record_probe(result, true, now).unwrap_or_default(),
        NewRun => return watch.record_new_run(),
        Silence => return watch.record_end(),
    }
    Vec::new()
}

#[gtest]
fn end_of_a_run_is_missed_or_a_lost_response_taken_for_one() {
    struct Case {
        name: &'static str,
        /// Time in milliseconds and event.
        events: Vec<(u64, Event)>,
        /// Calls of the run that ended, and whether each is suspected.
        ended: Vec<(u64, bool)>,
    }
    let closed = |call| Lost(call, CallLoss::Closed);
    let unobserved = |call| Lost(call, CallLoss::Unobserved);
    let case = |name, events, ended| Case { name, events, ended };
    let cases = [
        case("port refuses at once", vec![(0, Start(1)), (9, closed(1)), (9, Probe(Refused))], vec![(1, true)]),
        case(
            "port refuses later",
            vec![(0, Start(1)), (9, closed(1)), (9, Probe(Accepted)), (259, Probe(Refused))],
            vec![(1, true)],
        ),
        case(
            "port is kept, new run",
            vec![(0, Start(1)), (9, closed(1)), (9, Probe(Accepted)), (3_400, NewRun)],
            vec![(1, true)],
        ),
        case("response lost", vec![(0, Start(1)), (9, closed(1)), (9, Probe(Accepted)), (1_500, Announcement)], vec![]),
        case(
            "response lost long before the end",
            vec![
                (0, Start(1)),
                (9, closed(1)),
                (4_000, Announcement),
                (5_000, Start(2)),
                (5_100, closed(2)),
                (8_000, NewRun),
            ],
            vec![(2, true)],
        ),
        case(
            "late announcement of the ended run",
            vec![(0, Start(1)), (9, closed(1)), (2_000, Announcement), (3_400, NewRun)],
            vec![(1, true)],
        ),
        case("silent connection", vec![(0, Start(1)), (3_400, NewRun)], vec![(1, true)]),
        case(
            "silent, the deadline passed",
            vec![(0, Start(1)), (800, unobserved(1)), (3_400, NewRun)],
            vec![(1, true)],
        ),
        case("the caller left", vec![(0, Start(1)), (50, unobserved(1)), (3_400, NewRun)], vec![(1, true)]),
        case(
            "silent connections, port refuses",
            vec![(0, Start(1)), (9, Probe(Refused)), (100, Probe(Refused))],
            vec![(1, true)],
        ),
        case(
            "full target refuses a connection and answers on others",
            vec![
                (0, Start(1)),
                (0, Start(2)),
                (9, closed(1)),
                (9, Probe(Refused)),
                (50, Answer(2)),
                (100, ProbeBesideIdle(Refused)),
            ],
            vec![],
        ),
        case(
            "nothing announces the target",
            vec![(0, Start(1)), (800, unobserved(1)), (10_000, Silence)],
            vec![(1, true)],
        ),
        case("connection attempt without answer", vec![(0, Start(1)), (9, closed(1)), (9, Probe(NoAnswer))], vec![]),
        case(
            "an equal request was answered by the run",
            vec![
                (0, Start(1)),
                (5, Answer(1)),
                (6, Start(101)),
                (6, Start(2)),
                (9, closed(101)),
                (9, closed(2)),
                (9, Probe(Refused)),
            ],
            vec![(2, true), (101, false)],
        ),
        case(
            "an equal request was answered by the run before",
            vec![(0, Start(1)), (5, Answer(1)), (6, NewRun), (7, Start(101)), (9, closed(101)), (9, Probe(Refused))],
            vec![(101, true)],
        ),
        case(
            "calls on open connections are of the next run",
            vec![(0, Start(1)), (9, closed(1)), (20, Start(2)), (200, NewRun)],
            vec![(1, true)],
        ),
        case(
            "end that was counted before the new run",
            vec![(0, Start(1)), (9, closed(1)), (9, Probe(Refused)), (20, Start(2)), (200, NewRun)],
            vec![(1, true)],
        ),
        case("answered before the end", vec![(0, Start(1)), (5, Answer(1)), (200, NewRun)], vec![]),
    ];
    for case in cases {
        let mut watch = RunWatch::default();
        let mut ended = Vec::new();
        for (at_ms, event) in case.events {
            ended.extend(apply(&mut watch, event, TimeUs::from_ms(1_000 + at_ms)));
        }
        let ended: Vec<_> = ended.into_iter().map(|call| (call.call.0, call.suspected)).collect();
        expect_that!(ended, eq(&case.ended), "{}", case.name);
    }
}

#[gtest]
fn call_that_runs_at_the_end_is_counted_twice() {
    let mut watch = RunWatch::default();
    let now = TimeUs::from_s(1);
    for call in [1, 2] {
        watch.record_start(CallId(call), Fingerprint(call), now);
    }
    watch.record_loss(CallId(1), CallLoss::Closed, now);
    watch.record_probe(ProbeResult::Refused, false, now);
    let ended = watch.record_probe(ProbeResult::Refused, false, now.plus_ms(100));
    expect_that!(ended.map(|calls| calls.len()), some(eq(2)));
    expect_that!(watch.record_loss(CallId(2), CallLoss::Closed, now.plus_ms(101)), eq(LossVerdict::Crashed));
    expect_that!(watch.record_probe(ProbeResult::Refused, false, now.plus_ms(101)), some(is_empty()));
}

/// Probes are spaced, begin anew with each loss, and end.
#[gtest]
fn target_is_probed_without_end() {
    let mut watch = RunWatch::default();
    let mut now = TimeUs::from_s(1);
    let mut probes = Vec::new();
    watch.record_start(CallId(1), Fingerprint(1), now);
    expect_that!(watch.next_probe_at(), none());
    watch.record_loss(CallId(1), CallLoss::Closed, now);
    while let Some(next) = watch.next_probe_at() {
        now = now.max(next);
        probes.push(next.ms_since(TimeUs::from_s(1)));
        watch.record_probe(ProbeResult::Accepted, false, now);
    }
    expect_that!(probes, elements_are![eq(&0), eq(&20), eq(&100), eq(&250), eq(&500), eq(&1_000)]);
}

fn ended(fingerprints: &[u64], attempt: u64) -> Vec<EndedCall> {
    let call = |fingerprint: &u64| EndedCall {
        call: CallId(attempt),
        fingerprint: Fingerprint(*fingerprint),
        suspected: true,
        is_counted: false,
    };
    fingerprints.iter().map(call).collect()
}

#[gtest]
fn requests_beside_a_crashing_one_are_blocked() {
    struct Case {
        name: &'static str,
        /// Requests that ran at each end. Number 1 causes all of them.
        ends: Vec<Vec<u64>>,
        blocked: Vec<u64>,
        suspected: Vec<u64>,
    }
    let case = |name, ends, blocked, suspected| Case { name, ends, blocked, suspected };
    let cases = [
        case("alone", vec![vec![1], vec![1]], vec![1], vec![]),
        case("others beside the first", vec![vec![1, 2, 3], vec![1]], vec![1], vec![]),
        case("new ones beside the second", vec![vec![1, 2], vec![1, 3, 4]], vec![1], vec![]),
        case("all are sent again together", vec![vec![1, 2, 3], vec![1, 2, 3]], vec![], vec![1, 2, 3]),
        case("beside a blocked one", vec![vec![1], vec![1], vec![1, 2], vec![1, 2], vec![1, 2]], vec![1], vec![]),
        case("suspected one runs alone", vec![vec![1, 2, 3], vec![1, 2, 3], vec![1, 4]], vec![1], vec![2, 3]),
    ];
    for case in cases {
        let mut table = CrashTable::default();
        let now = TimeUs::from_s(100);
        for (end, requests) in case.ends.iter().enumerate() {
            table.record_end(&ended(requests, end as u64), VmId(end as u64), now);
        }
        for request in 1..5 {
            let verdict = table.check(Fingerprint(request), now);
            expect_that!(verdict.is_blocked(), eq(case.blocked.contains(&request)), "{}: {request}", case.name);
            let is_suspected = verdict == CrashVerdict::Suspected;
            expect_that!(is_suspected, eq(case.suspected.contains(&request)), "{}: {request}", case.name);
            table.record_response(Fingerprint(request));
            let is_clear = table.check(Fingerprint(request), now) == CrashVerdict::Clear;
            expect_that!(is_clear, eq(!case.blocked.contains(&request)), "{}: {request} answered", case.name);
        }
    }
}

/// While a suspected request runs, no other target may get it; afterwards its outcome reaches all nodes.
#[gtest]
fn suspected_request_runs_on_two_targets_at_once() {
    let now = TimeUs::from_s(100);
    let suspect = Fingerprint(1);
    let trial = |finish: &dyn Fn(&mut CrashTable)| {
        let (mut here, mut elsewhere) = (CrashTable::default(), CrashTable::default());
        for end in [1, 2] {
            here.record_end(&ended(&[1, 2], end), VmId(end), now);
        }
        here.record_trial(suspect, VmId(3), CallId(3), now);
        let mut verdicts = Vec::new();
        let mut exchange = |here: &mut CrashTable| {
            for mark in here.take_marks(now) {
                elsewhere.merge_mark(mark, now);
            }
            verdicts.push(elsewhere.check(suspect, now));
            verdicts.push(elsewhere.check(suspect, now.plus_ms(10_000)));
        };
        exchange(&mut here);
        finish(&mut here);
        exchange(&mut here);
        verdicts
    };
    let trial_block = CrashVerdict::Blocked { until: now.plus_ms(10_000) };
    let block = CrashVerdict::Blocked { until: now.plus_ms(300_000) };
    let (suspected, clear) = (CrashVerdict::Suspected, CrashVerdict::Clear);
    let ended = trial(&|table| {
        table.record_end(&ended(&[1, 4], 3), VmId(3), now);
    });
    expect_that!(ended, elements_are![eq(&trial_block), eq(&suspected), eq(&block), eq(&block)]);
    let answered = trial(&|table| table.record_answer(suspect, VmId(3), CallId(3), now));
    expect_that!(answered, elements_are![eq(&trial_block), eq(&suspected), eq(&clear), eq(&clear)]);
    let withdrawn = trial(&|table| table.withdraw_trial(suspect, VmId(3), CallId(3), now));
    expect_that!(withdrawn, elements_are![eq(&trial_block), eq(&suspected), eq(&suspected), eq(&suspected)]);
}

/// Request that ends each target that runs it. All others are answered.
const GUILTY: Fingerprint = Fingerprint(0);

/// Other requests; the first is sent most of the time.
const INNOCENT: u64 = 40;

const STEP_MS: u64 = 10;
const HEARTBEAT_MS: u64 = 1_500;
const DEADLINE_MS: u64 = 3_000;
const STORM_MS: u64 = 40_000;

/// The bounds that callers of a platform state: retries that arrive this late after the third end.
const MAX_LATE_ARRIVALS: usize = 3;
const LATE_AFTER_MS: u64 = 3_000;

/// How the targets of one run end.
#[derive(Clone, Copy, Debug)]
struct WayToEnd {
    is_silent: bool,
    /// When the port closes after the end; `None` if it is kept and connections wait for the next run.
    port_closes_after_ms: Option<u64>,
    down_ms: u64,
    /// Time from the start of a run to its first announcement.
    announced_after_ms: u64,
    /// Time from the arrival of the request to the end.
    ends_after_ms: u64,
    /// How long callers of the request wait.
    patience_ms: u64,
}

impl WayToEnd {
    fn random(rng: &mut ChaCha8Rng) -> Self {
        Self {
            is_silent: rng.random_bool(0.3),
            port_closes_after_ms: rng.random_bool(0.5).then(|| rng.random_range(0..400)),
            down_ms: rng.random_range(1..4_000),
            announced_after_ms: rng.random_range(0..500),
            ends_after_ms: rng.random_range(0..200),
            patience_ms: if rng.random_bool(0.3) { rng.random_range(20..200) } else { DEADLINE_MS },
        }
    }
}

#[derive(Debug)]
struct Call {
    id: CallId,
    fingerprint: Fingerprint,
    /// When the target began to run it; `None` while the connection waits for the next run.
    arrived: Option<TimeUs>,
    leaves_at: TimeUs,
    /// Whether its connection has fallen silent.
    is_silent: bool,
}

/// A target and the gate in front of it.
struct Vm {
    node: VmId,
    watch: RunWatch,
    crashes: CrashTable,
    calls: Vec<Call>,
    ended_at: Option<TimeUs>,
    announce_at: TimeUs,
    is_new_run: bool,
}

impl Vm {
    fn new(index: u64) -> Self {
        Self {
            node: VmId(index + 1),
            watch: RunWatch::default(),
            crashes: CrashTable::default(),
            calls: Vec::new(),
            ended_at: None,
            announce_at: TimeUs::default(),
            is_new_run: false,
        }
    }

    fn accepts(&self, way: WayToEnd, now: TimeUs) -> bool {
        self.ended_at.zip(way.port_closes_after_ms).is_none_or(|(at, after_ms)| now.ms_since(at) < after_ms)
    }

    fn count_end(&mut self, ended: &[EndedCall], now: TimeUs) {
        self.crashes.record_end(ended, self.node, now);
    }

    fn probe(&mut self, way: WayToEnd, now: TimeUs) {
        let result = if self.accepts(way, now) { ProbeResult::Accepted } else { ProbeResult::Refused };
        let ended = self.watch.record_probe(result, false, now).unwrap_or_default();
        self.count_end(&ended, now);
    }

    /// Hands a call to the target, unless the gate refuses it.
    fn send(&mut self, id: CallId, fingerprint: Fingerprint, way: WayToEnd, now: TimeUs) {
        let is_trial = match self.crashes.check(fingerprint, now) {
            CrashVerdict::Blocked { .. } => return,
            CrashVerdict::Suspected => true,
            CrashVerdict::Clear | CrashVerdict::Marked => false,
        };
        if self.watch.must_wait(fingerprint, now) {
            return;
        }
        if !self.accepts(way, now) {
            self.probe(way, now);
            return;
        }
        self.watch.record_start(id, fingerprint, now);
        if is_trial {
            self.crashes.record_trial(fingerprint, self.node, id, now);
        }
        let arrived = self.ended_at.is_none().then_some(now);
        let patience_ms = if fingerprint == GUILTY { way.patience_ms } else { DEADLINE_MS };
        self.calls.push(Call { id, fingerprint, arrived, leaves_at: now.plus_ms(patience_ms), is_silent: false });
    }

    /// Lets time pass. Returns whether the target has ended.
    fn step(&mut self, way: WayToEnd, arrivals: &mut Vec<TimeUs>, now: TimeUs) -> bool {
        if self.ended_at.is_some_and(|at| now.ms_since(at) >= way.down_ms) {
            self.ended_at = None;
            self.announce_at = now.plus_ms(way.announced_after_ms);
            self.is_new_run = true;
            for call in self.calls.iter_mut().filter(|call| call.arrived.is_none()) {
                call.arrived = Some(now);
                if call.fingerprint == GUILTY {
                    arrivals.push(now);
                }
            }
        }
        if self.ended_at.is_none() && now >= self.announce_at {
            self.announce_at = now.plus_ms(HEARTBEAT_MS);
            if std::mem::take(&mut self.is_new_run) {
                let ended = self.watch.record_new_run();
                self.count_end(&ended, now);
            } else {
                self.watch.record_announcement(now);
            }
        }
        for call in self.calls.extract_if(.., |call| now >= call.leaves_at) {
            self.watch.record_loss(call.id, CallLoss::Unobserved, now);
        }
        while self.watch.next_probe_at().is_some_and(|at| at <= now) {
            self.probe(way, now);
        }
        self.ended_at.is_none() && self.run_calls(way, now)
    }

    fn run_calls(&mut self, way: WayToEnd, now: TimeUs) -> bool {
        let is_due =
            |call: &Call, after_ms| !call.is_silent && call.arrived.is_some_and(|at| now.ms_since(at) >= after_ms);
        for call in self.calls.extract_if(.., |call| call.fingerprint != GUILTY && is_due(call, 30)) {
            self.watch.record_answer(call.id, true);
            self.crashes.record_answer(call.fingerprint, self.node, call.id, now);
        }
        let ends = self.calls.iter().any(|call| call.fingerprint == GUILTY && is_due(call, way.ends_after_ms));
        if ends {
            self.ended_at = Some(now);
            if way.is_silent {
                self.calls.iter_mut().for_each(|call| call.is_silent = true);
            } else {
                for call in self.calls.drain(..) {
                    self.watch.record_loss(call.id, CallLoss::Closed, now);
                }
            }
        }
        ends
    }
}

/// Sends the guilty request again and again through random gates. Returns its late arrivals, the number of ends, and the
/// other requests that are refused at last.
fn run_storm(seed: u64) -> (usize, usize, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let way = WayToEnd::random(&mut rng);
    let mut vms: Vec<Vm> = (0..rng.random_range(3..8)).map(Vm::new).collect();
    let (mut arrivals, mut ends, mut mail) = (Vec::new(), Vec::new(), Vec::new());
    let mut next_call = 0;
    for step in 0..STORM_MS / STEP_MS {
        let now = TimeUs::from_s(100).plus_ms(step * STEP_MS);
        if step % 15 == 0 {
            for fingerprint in [0, 1 + rng.random_range(0..2 * INNOCENT).saturating_sub(INNOCENT)] {
                next_call += 1;
                let vm = rng.random_range(0..vms.len());
                let runs_at_once = vms[vm].ended_at.is_none();
                let before = vms[vm].calls.len();
                vms[vm].send(CallId(next_call), Fingerprint(fingerprint), way, now);
                if fingerprint == 0 && runs_at_once && vms[vm].calls.len() > before {
                    arrivals.push(now);
                }
            }
        }
        for vm in &mut vms {
            if vm.step(way, &mut arrivals, now) {
                ends.push(now);
            }
        }
        for vm in &mut vms {
            // Marks of one moment travel in one message, which may be lost and is sent again after a second.
            let delay_ms = if rng.random_bool(0.02) { 1_000 } else { 50 };
            let marks = vm.crashes.take_marks(now);
            let own = marks.into_iter().filter(|mark| mark.target == vm.node);
            mail.extend(own.map(|mark| (now.plus_ms(delay_ms), mark)));
        }
        for (_, mark) in mail.extract_if(.., |(at, _)| *at <= now) {
            for vm in vms.iter_mut().filter(|vm| vm.node != mark.target) {
                vm.crashes.merge_mark(mark, now);
            }
        }
    }
    let end = TimeUs::from_s(100).plus_ms(STORM_MS);
    let is_blocked = |vm: &Vm, request| vm.crashes.check(Fingerprint(request), end).is_blocked();
    let refused = (1..=INNOCENT).filter(|request| vms.iter().any(|vm| is_blocked(vm, *request))).count();
    let third_end = ends.get(2).copied().unwrap_or(end);
    let late = arrivals.iter().filter(|at| at.ms_since(third_end) > LATE_AFTER_MS).count();
    (late, ends.len(), refused)
}

/// Returns a number from the environment, so that a longer run can be started by hand.
fn from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

#[gtest]
fn random_way_to_end_lets_a_request_end_targets_on_and_on() {
    let (first, steps) = (from_environment("FULMARTRESTLE_SEED", 0), from_environment("FULMARTRESTLE_STEPS", 200));
    for seed in first..first + steps {
        let (late, ends, refused) = run_storm(seed);
        let way = WayToEnd::random(&mut ChaCha8Rng::seed_from_u64(seed));
        expect_that!(late, le(MAX_LATE_ARRIVALS), "seed {seed}: {ends} ends, {way:?}");
        expect_that!(refused, eq(0), "seed {seed}: {ends} ends, {way:?}");
    }
}

#[gtest]
fn request_whose_response_was_lost_waits_for_ever() {
    struct Case {
        name: &'static str,
        events: Vec<(u64, Event)>,
        waits: bool,
    }
    let closed = Lost(1, CallLoss::Closed);
    let case = |name, events, waits| Case { name, events, waits };
    let cases = [
        case("nothing lost", vec![(0, Start(1)), (200, Start(2))], false),
        case("lost", vec![(0, Start(1)), (9, closed)], true),
        case("announced since", vec![(0, Start(1)), (9, closed), (200, Announcement)], false),
        case("another request lost", vec![(0, Start(2)), (9, Lost(2, CallLoss::Closed))], false),
        case("answered before", vec![(0, Start(101)), (5, Answer(101)), (6, Start(1)), (9, closed)], false),
        case("runs for long", vec![(0, Start(1)), (400, Start(2))], true),
        case("deadline passed", vec![(0, Start(1)), (800, Lost(1, CallLoss::Unobserved))], true),
        case("the caller left at once", vec![(0, Start(1)), (50, Lost(1, CallLoss::Unobserved))], false),
        case("next run", vec![(0, Start(1)), (9, closed), (3_400, NewRun)], false),
    ];
    for case in cases {
        let mut watch = RunWatch::default();
        let mut now = TimeUs::default();
        for (at_ms, event) in case.events {
            now = TimeUs::from_ms(1_000 + at_ms);
            apply(&mut watch, event, now);
        }
        expect_that!(watch.must_wait(Fingerprint(1), now), eq(case.waits), "{}", case.name);
    }
}
