//! What this node knows of the target beside it. See `docs/DRAIN.md`.

use std::collections::HashMap;

use fulmartrestle_core::{Service, TimeUs};
use fulmartrestle_derive::{record, value};

/// Time after the last announcement for which a target counts as present, in milliseconds. Targets
/// announce themselves every second or two and may be seconds late.
const ANNOUNCED_FOR_MS: u64 = 8_000;

/// Runs of targets that are remembered as gone. Late announcements of a run come within seconds.
const MAX_GONE: usize = 256;

/// What a target says of itself.
#[record]
pub struct Announcement {
    /// Name of the target's run. A target that starts again may have the same.
    pub instance: String,
    /// When the run started, in milliseconds since the Unix epoch; tells two runs of one name apart.
    pub born_unix_ms: i64,
    /// Number of the announcement within the run.
    pub seq: u64,
    /// The service that it offers.
    pub service: Service,
    /// Requests that it works on at one time.
    pub slots: u32,
    /// Whether it wants no more requests.
    pub leaving: bool,
    /// Time for which it will still be slow after its start, in milliseconds.
    pub cold_left_ms: u64,
}

/// What became of an announcement.
#[value]
pub enum Accepted {
    /// It is the target's present state.
    Current,
    /// A run that was not known.
    NewRun,
    /// It is older than what is known.
    Outdated,
}

#[derive(Debug)]
struct Present {
    announcement: Announcement,
    heard: TimeUs,
    cold_until: TimeUs,
    reachable: bool,
}

/// The target beside this node. A run that said that it leaves never takes requests again.
#[derive(Debug, Default)]
pub struct OwnTarget {
    present: Option<Present>,
    gone: HashMap<String, i64>,
}

impl OwnTarget {
    /// Takes an announcement.
    pub fn announce(&mut self, announcement: Announcement, now: TimeUs) -> Accepted {
        if self.is_gone(&announcement.instance, announcement.born_unix_ms) {
            return Accepted::Outdated;
        }
        let cold_until = now.plus_ms(announcement.cold_left_ms);
        if let Some(present) = &mut self.present {
            let known = &present.announcement;
            if announcement.born_unix_ms < known.born_unix_ms {
                return Accepted::Outdated;
            }
            let same_run = announcement.instance == known.instance && announcement.born_unix_ms == known.born_unix_ms;
            if same_run {
                if announcement.seq <= known.seq {
                    return Accepted::Outdated;
                }
                let leaving = known.leaving || announcement.leaving;
                present.announcement = Announcement { leaving, ..announcement };
                present.heard = now;
                present.cold_until = cold_until;
                present.reachable = true;
                return Accepted::Current;
            }
        }
        self.present = Some(Present { announcement, heard: now, cold_until, reachable: true });
        Accepted::NewRun
    }

    /// Takes a target's word that it is gone. Without the time of its start, the run that is known
    /// under the name is meant.
    pub fn withdraw(&mut self, instance: &str, born_unix_ms: Option<i64>) {
        let known = self.present.as_ref().filter(|present| present.announcement.instance == instance);
        let born_unix_ms = born_unix_ms.or(known.map(|present| present.announcement.born_unix_ms));
        if self.gone.len() >= MAX_GONE {
            // The oldest runs can't be told by name; late words of any of them are rare by now.
            self.gone.clear();
        }
        let born_unix_ms = born_unix_ms.unwrap_or(i64::MIN);
        let entry = self.gone.entry(instance.to_owned()).or_insert(born_unix_ms);
        *entry = born_unix_ms.max(*entry);
        if let Some(present) = &mut self.present
            && present.announcement.instance == instance
            && present.announcement.born_unix_ms <= born_unix_ms
        {
            present.announcement.leaving = true;
        }
    }

    /// Notes whether the target accepts connections.
    pub fn set_reachable(&mut self, reachable: bool) {
        if let Some(present) = &mut self.present {
            present.reachable = reachable;
        }
    }

    /// Returns the target if it may be handed requests.
    pub fn usable(&self, now: TimeUs) -> Option<&Announcement> {
        let present = self.present.as_ref()?;
        let usable =
            !present.announcement.leaving && present.reachable && now.ms_since(present.heard) < ANNOUNCED_FOR_MS;
        usable.then_some(&present.announcement)
    }

    /// Returns what the target last said, whether or not it may be handed requests.
    pub fn known(&self) -> Option<&Announcement> {
        self.present.as_ref().map(|present| &present.announcement)
    }

    /// Tells whether the target has just started and is slow.
    pub fn is_cold(&self, now: TimeUs) -> bool {
        self.present.as_ref().is_some_and(|present| now < present.cold_until)
    }

    fn is_gone(&self, instance: &str, born_unix_ms: i64) -> bool {
        self.gone.get(instance).is_some_and(|gone_born| born_unix_ms <= *gone_born)
    }
}
