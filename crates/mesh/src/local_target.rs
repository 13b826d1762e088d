//! State of the target beside this node. See `docs/DRAIN.md`.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use fulmartrestle_core::{Service, TimeUs};
use fulmartrestle_derive::{record, value};

use crate::node_start::NodeStart;

/// Time for which an announcement is valid, in milliseconds. Targets announce themselves every one or two seconds
/// and may be several seconds late.
const ANNOUNCEMENT_TTL_MS: u64 = 8_000;

/// Maximum number of runs that are remembered as having left. Late announcements of a run arrive within seconds, so older
/// entries are not needed.
const MAX_LEFT_RUNS: usize = 256;

/// Announcement that a target sends about itself.
#[record]
pub struct Announcement {
    /// Name of the instance. A target may keep its name after a restart.
    pub instance: String,
    /// Start of the run, in milliseconds since the Unix epoch; distinguishes two runs with the same name.
    pub started_unix_ms: i64,
    /// Sequence number of the announcement within the run.
    pub seq: u64,
    /// The service that the target provides.
    pub service: Service,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Requests that the target can run concurrently.
    pub slots: u32,
    /// Whether the target is draining and must receive no further requests.
    pub draining: bool,
    /// Remaining time of the slow phase after a start, in milliseconds.
    pub cold_left_ms: u64,
}

impl Announcement {
    /// Returns the run that announces itself.
    pub fn run(&self) -> TargetRun {
        TargetRun { instance: self.instance.clone(), started_unix_ms: self.started_unix_ms }
    }
}

/// What the settings say about the target beside the node.
#[record]
pub struct ExpectedTarget {
    /// The service that the target provides.
    pub service: Service,
    /// Address on which the target listens.
    pub address: SocketAddr,
}

impl ExpectedTarget {
    /// Returns the first value of an announcement that contradicts the settings; `None` if it is one of this target.
    pub fn contradicting_value(&self, announcement: &Announcement) -> Option<String> {
        if announcement.service != self.service {
            return Some(format!("service is {}, expected {}", announcement.service, self.service));
        }
        let differs = announcement.address != self.address;
        differs.then(|| format!("address is {}, expected {}", announcement.address, self.address))
    }
}

/// One run of a target.
#[record]
#[derive(Eq, Hash)]
pub struct TargetRun {
    /// Name of the instance.
    pub instance: String,
    /// Start of the run, in milliseconds since the Unix epoch.
    pub started_unix_ms: i64,
}

/// Effect of an announcement on the known state.
#[value]
pub enum AnnouncementResult {
    /// The announcement updated the state of the known run.
    Current,
    /// The announcement is the first one of a new run.
    NewRun,
    /// The announcement is older than the known state and was ignored.
    Outdated,
}

#[derive(Debug)]
struct AnnouncedTarget {
    announcement: Announcement,
    last_announced: TimeUs,
    /// When the target will be warm; `None` if it is not known whether it is cold.
    cold_until: Option<TimeUs>,
    reachable: bool,
    /// Whether the run is known not to have left before this node started.
    is_verified: bool,
}

impl AnnouncedTarget {
    fn is_lost(&self, now: TimeUs) -> bool {
        self.announcement.draining || !self.reachable || now.ms_since(self.last_announced) >= ANNOUNCEMENT_TTL_MS
    }
}

/// Whether the target beside this node is cold, as far as the node knows.
#[value]
pub enum ColdState {
    /// The target handles its usual rate.
    Warm,
    /// The target has announced that it is cold until this time.
    Cold(TimeUs),
    /// Nothing is known since the node started, the target was unreachable or its zone was evacuated. The target is
    /// treated as cold.
    Unknown,
}

impl ColdState {
    /// Returns whether the target must be treated as cold.
    pub fn is_cold(self) -> bool {
        self != Self::Warm
    }
}

impl std::fmt::Display for ColdState {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Warm => "warm",
            Self::Cold(_) => "cold",
            Self::Unknown => "unknown",
        })
    }
}

/// The target beside this node. A run that has announced that it is draining, or was withdrawn, never receives
/// requests again.
#[derive(Debug, Default)]
pub struct LocalTarget {
    target: Option<AnnouncedTarget>,
    /// When this node started; `None` at the first start of the deployment, before which no target can have left.
    node_start: Option<NodeStart>,
    /// The latest start of each instance's runs that have left.
    left_runs: HashMap<String, i64>,
    /// Runs that other nodes have seen leave. Most are those of other nodes' targets.
    left_runs_elsewhere: HashSet<TargetRun>,
}

impl LocalTarget {
    /// Returns the state of a node that started at `node_start`, which is `None` at the first start of the deployment.
    pub fn new(node_start: Option<NodeStart>) -> Self {
        Self { node_start, ..Self::default() }
    }

    /// Applies an announcement that was received at `now`.
    pub fn apply_announcement(&mut self, announcement: Announcement, now: TimeUs) -> AnnouncementResult {
        if self.has_left(&announcement.instance, announcement.started_unix_ms) {
            return AnnouncementResult::Outdated;
        }
        let cold_until = Some(now.plus_ms(announcement.cold_left_ms));
        let start_ms = announcement.started_unix_ms;
        let is_verified = self.node_start.is_none_or(|start| !start.allows_earlier_leaving(start_ms));
        let is_silent = self.is_silent(now);
        if let Some(target) = &mut self.target {
            let known = &target.announcement;
            // An earlier start is either late or that of a target whose clock was stepped back.
            if announcement.started_unix_ms < known.started_unix_ms && !is_silent {
                // It is acknowledged, and the known run may turn silent.
                if announcement.draining {
                    self.record_left_run(announcement.instance, announcement.started_unix_ms);
                }
                return AnnouncementResult::Outdated;
            }
            let same_run =
                announcement.instance == known.instance && announcement.started_unix_ms == known.started_unix_ms;
            if same_run {
                if announcement.seq <= known.seq {
                    target.announcement.draining |= announcement.draining;
                    return AnnouncementResult::Outdated;
                }
                let draining = known.draining || announcement.draining;
                target.announcement = Announcement { draining, ..announcement };
                target.last_announced = now;
                target.cold_until = cold_until;
                target.reachable = true;
                target.is_verified |= is_verified;
                return AnnouncementResult::Current;
            }
        }
        let target = AnnouncedTarget { announcement, last_announced: now, cold_until, reachable: true, is_verified };
        if let Some(AnnouncedTarget { announcement: earlier, .. }) = self.target.replace(target)
            && earlier.draining
        {
            self.record_left_run(earlier.instance, earlier.started_unix_ms);
        }
        AnnouncementResult::NewRun
    }

    /// Applies the notice that a run of `instance` leaves, and returns the latest start that it binds. A notice that does
    /// not name the run binds every run that has started by `now_unix_ms`, also one that has not announced itself here:
    /// its announcements may be delayed, or may have reached an earlier run of this node.
    pub fn apply_withdrawal(&mut self, instance: &str, started_unix_ms: Option<i64>, now_unix_ms: i64) -> i64 {
        let known = self.target.as_ref().filter(|target| target.announcement.instance == instance);
        let known_start_ms = known.map_or(now_unix_ms, |target| target.announcement.started_unix_ms);
        let started_unix_ms = started_unix_ms.unwrap_or(now_unix_ms.max(known_start_ms));
        self.apply_left_run(instance, started_unix_ms);
        started_unix_ms
    }

    /// Applies that the runs of `instance` which have started by `started_unix_ms` leave.
    pub fn apply_left_run(&mut self, instance: &str, started_unix_ms: i64) {
        self.record_left_run(instance.to_owned(), started_unix_ms);
        if let Some(target) = &mut self.target
            && target.announcement.instance == instance
            && target.announcement.started_unix_ms <= started_unix_ms
        {
            target.announcement.draining = true;
        }
    }

    /// Applies that other nodes have seen `runs` leave, among which there may be runs of this target.
    pub fn apply_left_runs_elsewhere(&mut self, runs: Vec<TargetRun>) {
        self.left_runs_elsewhere.extend(runs);
        let elsewhere = &self.left_runs_elsewhere;
        if let Some(AnnouncedTarget { announcement, .. }) = &mut self.target {
            announcement.draining |= elsewhere.contains(&announcement.run());
        }
    }

    /// Records whether the target accepts connections. One that does not may have ended, and is cold when it is back.
    pub fn set_reachable(&mut self, reachable: bool) {
        if let Some(target) = &mut self.target {
            target.reachable = reachable;
        }
        if !reachable {
            self.mark_cold_state_unknown();
        }
    }

    /// Treats the target as cold until its next announcement, because something may have happened to it that it has not
    /// announced yet.
    pub fn mark_cold_state_unknown(&mut self) {
        if let Some(target) = &mut self.target {
            target.cold_until = None;
        }
    }

    /// Returns the last announcement if the target may receive requests.
    pub fn usable(&self, now: TimeUs) -> Option<&Announcement> {
        let target = self.target.as_ref().filter(|target| target.is_verified && !target.is_lost(now))?;
        Some(&target.announcement)
    }

    /// Returns whether the target has announced itself and has left, ended or become silent.
    pub fn is_lost(&self, now: TimeUs) -> bool {
        self.target.as_ref().is_some_and(|target| target.is_lost(now))
    }

    /// Returns the run that has announced itself and may have left before this node started.
    pub fn unverified_run(&self) -> Option<TargetRun> {
        let target = self.target.as_ref().filter(|target| !target.is_verified && !target.announcement.draining)?;
        Some(target.announcement.run())
    }

    /// Records that `run` has said, since this node started, that it serves. Returns whether it is the run that has
    /// announced itself.
    pub fn set_verified(&mut self, run: &TargetRun) -> bool {
        let target = self.target.as_mut().filter(|target| target.announcement.run() == *run);
        target.map(|target| target.is_verified = true).is_some()
    }

    /// Records that `run` can't be asked whether it serves. It counts as serving if its last announcement was most likely
    /// sent after this node started. Returns whether it does.
    pub fn set_unverifiable(&mut self, run: &TargetRun) -> bool {
        let start = self.node_start;
        let target = self.target.as_mut().filter(|target| target.announcement.run() == *run);
        target.is_some_and(|target| {
            target.is_verified |= start.is_none_or(|start| !start.is_usual_delay(target.last_announced));
            target.is_verified
        })
    }

    /// Returns whether the target announced itself once and has stopped.
    pub fn is_silent(&self, now: TimeUs) -> bool {
        self.target.as_ref().is_some_and(|target| now.ms_since(target.last_announced) >= ANNOUNCEMENT_TTL_MS)
    }

    /// Returns the last announcement, whether or not the target may receive requests.
    pub fn last_announcement(&self) -> Option<&Announcement> {
        self.target.as_ref().map(|target| &target.announcement)
    }

    /// Returns whether the target has started recently and is still slow, or may be.
    pub fn is_cold(&self, now: TimeUs) -> bool {
        self.cold_state(now).is_cold()
    }

    /// Returns what is known about whether the target is cold.
    pub fn cold_state(&self, now: TimeUs) -> ColdState {
        match self.target.as_ref().and_then(|target| target.cold_until) {
            None => ColdState::Unknown,
            Some(cold_until) if now < cold_until => ColdState::Cold(cold_until),
            Some(_) => ColdState::Warm,
        }
    }

    /// Returns the last `max_count` runs that have left or are draining, the latest start first.
    pub fn left_runs(&self, max_count: usize) -> Vec<TargetRun> {
        let run =
            |(instance, start): (&String, &i64)| TargetRun { instance: instance.clone(), started_unix_ms: *start };
        let mut runs: Vec<_> = self.left_runs.iter().map(run).collect();
        if let Some(known) = self.last_announcement().filter(|known| known.draining).map(Announcement::run)
            && self.left_runs.get(&known.instance).is_none_or(|left_start_ms| *left_start_ms < known.started_unix_ms)
        {
            runs.push(known);
        }
        runs.sort_by(|a, b| b.started_unix_ms.cmp(&a.started_unix_ms).then_with(|| a.instance.cmp(&b.instance)));
        runs.truncate(max_count);
        runs
    }

    fn record_left_run(&mut self, instance: String, started_unix_ms: i64) {
        let entry = self.left_runs.entry(instance).or_insert(started_unix_ms);
        *entry = started_unix_ms.max(*entry);
        if self.left_runs.len() > MAX_LEFT_RUNS
            && let Some(earliest) = self.left_runs.iter().min_by_key(|(_, start)| **start).map(|(name, _)| name.clone())
        {
            self.left_runs.remove(&earliest);
        }
    }

    fn has_left(&self, instance: &str, started_unix_ms: i64) -> bool {
        let run = TargetRun { instance: instance.to_owned(), started_unix_ms };
        self.left_runs.get(instance).is_some_and(|left_start_ms| started_unix_ms <= *left_start_ms)
            || self.left_runs_elsewhere.contains(&run)
    }
}
