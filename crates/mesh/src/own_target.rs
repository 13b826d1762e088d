//! What this node knows of the target beside it. See `docs/DRAIN.md`.

use std::collections::HashMap;

use fulmartrestle_core::{Service, TimeUs};
use fulmartrestle_derive::{record, value};

/// Time after the last announcement for which a target counts as present, in milliseconds. Targets
/// announce themselves every second or two and may be seconds late.
const ANNOUNCEMENT_TTL_MS: u64 = 8_000;

/// Runs of targets that are remembered as gone. Late announcements of a run come within seconds.
const MAX_WITHDRAWN_RUNS: usize = 256;

/// What a target says of itself.
#[record]
pub struct Announcement {
    /// Name of the target's run. A target that starts again may have the same.
    pub instance: String,
    /// When the run started, in milliseconds since the Unix epoch; tells two runs of one name apart.
    pub started_unix_ms: i64,
    /// Number of the announcement within the run.
    pub seq: u64,
    /// The service that it offers.
    pub service: Service,
    /// Requests that it works on at one time.
    pub slots: u32,
    /// Whether it wants no more requests.
    pub draining: bool,
    /// Time for which it will still be slow after its start, in milliseconds.
    pub cold_left_ms: u64,
}

/// What became of an announcement.
#[value]
pub enum AnnouncementResult {
    /// It is the target's present state.
    Current,
    /// A run that was not known.
    NewRun,
    /// It is older than what is known.
    Outdated,
}

#[derive(Debug)]
struct AnnouncedTarget {
    announcement: Announcement,
    last_announced: TimeUs,
    cold_until: TimeUs,
    reachable: bool,
}

/// The target beside this node. A run that said that it leaves never takes requests again.
#[derive(Debug, Default)]
pub struct OwnTarget {
    target: Option<AnnouncedTarget>,
    withdrawn_runs: HashMap<String, i64>,
}

impl OwnTarget {
    /// Takes an announcement.
    pub fn apply_announcement(&mut self, announcement: Announcement, now: TimeUs) -> AnnouncementResult {
        if self.is_withdrawn(&announcement.instance, announcement.started_unix_ms) {
            return AnnouncementResult::Outdated;
        }
        let cold_until = now.plus_ms(announcement.cold_left_ms);
        if let Some(target) = &mut self.target {
            let known = &target.announcement;
            if announcement.started_unix_ms < known.started_unix_ms {
                return AnnouncementResult::Outdated;
            }
            let same_run =
                announcement.instance == known.instance && announcement.started_unix_ms == known.started_unix_ms;
            if same_run {
                if announcement.seq <= known.seq {
                    return AnnouncementResult::Outdated;
                }
                let draining = known.draining || announcement.draining;
                target.announcement = Announcement { draining, ..announcement };
                target.last_announced = now;
                target.cold_until = cold_until;
                target.reachable = true;
                return AnnouncementResult::Current;
            }
        }
        self.target = Some(AnnouncedTarget { announcement, last_announced: now, cold_until, reachable: true });
        AnnouncementResult::NewRun
    }

    /// Takes a target's word that it is gone. Without the time of its start, the run that is known
    /// under the name is meant.
    pub fn apply_withdrawal(&mut self, instance: &str, started_unix_ms: Option<i64>) {
        let known = self.target.as_ref().filter(|target| target.announcement.instance == instance);
        let started_unix_ms = started_unix_ms.or(known.map(|target| target.announcement.started_unix_ms));
        if self.withdrawn_runs.len() >= MAX_WITHDRAWN_RUNS {
            // The oldest runs can't be told by name; late words of any of them are rare by now.
            self.withdrawn_runs.clear();
        }
        let started_unix_ms = started_unix_ms.unwrap_or(i64::MIN);
        let entry = self.withdrawn_runs.entry(instance.to_owned()).or_insert(started_unix_ms);
        *entry = started_unix_ms.max(*entry);
        if let Some(target) = &mut self.target
            && target.announcement.instance == instance
            && target.announcement.started_unix_ms <= started_unix_ms
        {
            target.announcement.draining = true;
        }
    }

    /// Notes whether the target accepts connections.
    pub fn set_reachable(&mut self, reachable: bool) {
        if let Some(target) = &mut self.target {
            target.reachable = reachable;
        }
    }

    /// Returns the target if it may be handed requests.
    pub fn usable(&self, now: TimeUs) -> Option<&Announcement> {
        let target = self.target.as_ref()?;
        let usable = !target.announcement.draining
            && target.reachable
            && now.ms_since(target.last_announced) < ANNOUNCEMENT_TTL_MS;
        usable.then_some(&target.announcement)
    }

    /// Returns what the target last said, whether or not it may be handed requests.
    pub fn last_announcement(&self) -> Option<&Announcement> {
        self.target.as_ref().map(|target| &target.announcement)
    }

    /// Tells whether the target has just started and is slow.
    pub fn is_cold(&self, now: TimeUs) -> bool {
        self.target.as_ref().is_some_and(|target| now < target.cold_until)
    }

    fn is_withdrawn(&self, instance: &str, started_unix_ms: i64) -> bool {
        self.withdrawn_runs.get(instance).is_some_and(|withdrawn_start_ms| started_unix_ms <= *withdrawn_start_ms)
    }
}
