//! Decides which processes stand by to hold cells.
//!
//! Load pattern: hundreds of processes serve clients, and a handful of cells need a holder each.
//! Whoever may take over a cell writes heartbeats and reads those of all others, so the cost of
//! heartbeats grows with the square of the number of such processes. Only a bounded number of
//! candidates does this, whatever the size of the fleet. All other processes are observers: they
//! read the few rows of the candidates now and then, and step in where candidates are missing.
//!
//! There is no place in the table that all processes contend for. Candidates and observers apply
//! the same order to the rows that they read: a process becomes a candidate if it would be among
//! the first [`MAX_CANDIDATES`], and a candidate without cells resigns if it no longer is. Data
//! centres take turns in that order, so that the loss of one leaves most candidates. An applicant
//! comes after its equals, so that a stable set of candidates stays as it is.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};

use indexmap::{IndexMap, IndexSet};

use crate::rows::Heartbeat;

/// Largest number of candidates. Two centres of three can fail, and half of the others with them,
/// while two candidates remain.
pub const MAX_CANDIDATES: usize = 12;
/// Time between an observer's reads of the heartbeats, in milliseconds. Failover does not depend on
/// it, as the remaining candidates replace a holder.
pub const OBSERVATION_INTERVAL_MS: u64 = 1_500;
/// Time without a heartbeat after which an observer presumes a candidate dead, in milliseconds; two
/// observations.
const ABSENCE_TIMEOUT_MS: u64 = 3_200;
/// Time between two reads after which earlier observations are void, in milliseconds.
const READ_GAP_MS: u64 = 3_000;
/// Duration of a read above which the table is too slow to judge heartbeats, in milliseconds; many
/// times the usual duration.
const SLOW_READ_MS: u64 = 120;
/// Delay of an applicant per thousandth of a core that it lacks to a whole one, in microseconds, so
/// that processes on strong machines step in first.
const DELAY_PER_MILLICORE_US: u64 = 600;
/// Longest random part of an applicant's delay, in milliseconds, so that a shortage is not filled by
/// all observers at once.
const DELAY_SPREAD_MS: u64 = 250;

/// A process, as the order of candidates sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Contender<'a> {
    /// Name of the process.
    pub name: &'a str,
    /// Data centre of its machine.
    pub centre: &'a str,
    /// Processor time that the process may use, in thousandths of a core.
    pub cpu: u64,
    /// Whether it is not a candidate yet; of equals, those that are go first.
    pub applies: bool,
}

/// Returns whether `me` is among the first [`MAX_CANDIDATES`] of all contenders.
///
/// # Examples
///
/// ```
/// use cells::standby::{Contender, is_needed};
/// let process = |name| Contender { name, centre: "north", cpu: 250, applies: false };
/// let names: Vec<String> = (0..13).map(|n| format!("p-{n:02}")).collect();
/// let contenders: Vec<_> = names.iter().map(|name| process(name)).collect();
/// assert!(is_needed(&contenders, "p-11"));
/// assert!(!is_needed(&contenders, "p-12"));
/// ```
pub fn is_needed(contenders: &[Contender<'_>], me: &str) -> bool {
    let mut by_centre: IndexMap<&str, Vec<&Contender<'_>>> = IndexMap::new();
    for contender in contenders {
        by_centre.entry(contender.centre).or_default().push(contender);
    }
    let mut order = Vec::with_capacity(contenders.len());
    for members in by_centre.values_mut() {
        members.sort_by_key(|c| (Reverse(c.cpu), c.applies, c.name));
        let members = members.iter().enumerate();
        order.extend(members.map(|(place, c)| (place, Reverse(c.cpu), c.applies, c.name)));
    }
    order.sort_unstable();
    order.iter().take(MAX_CANDIDATES).any(|(.., name)| *name == me)
}

/// Heartbeats as an observer has read them.
#[derive(Debug, Default)]
pub struct Census {
    candidates: IndexMap<String, Sighting>,
    /// Time of the last read that counts, in milliseconds; 0 before.
    last_read: u64,
}

#[derive(Debug)]
struct Sighting {
    heartbeat: Heartbeat,
    /// Version of the heartbeat's row.
    version: u64,
    /// Time at which the row was last seen to have changed, in milliseconds.
    changed_at: u64,
}

impl Census {
    /// Records a read of the heartbeats that began at `started` and ended at `now`.
    ///
    /// After a pause in reads, or while the table is slow, no process is presumed dead because its
    /// heartbeat is old.
    pub fn observe(
        &mut self,
        heartbeats: &IndexMap<String, (u64, Heartbeat)>,
        started: u64,
        now: u64,
    ) {
        let unreliable = now > self.last_read + READ_GAP_MS || now > started + SLOW_READ_MS;
        self.last_read = now;
        self.candidates.retain(|name, _| heartbeats.contains_key(name));
        for (name, (version, heartbeat)) in heartbeats {
            let known = self.candidates.get(name).filter(|seen| seen.version == *version);
            let changed_at = known.filter(|_| !unreliable).map_or(now, |seen| seen.changed_at);
            let sighting = Sighting { heartbeat: heartbeat.clone(), version: *version, changed_at };
            self.candidates.insert(name.clone(), sighting);
        }
    }

    /// Returns whether an observer should become a candidate.
    ///
    /// A process that was a candidate before its restart is one again at once, see
    /// [`Self::was_candidate`].
    pub fn should_apply(&self, me: &Contender<'_>, start_time: u64, now: u64) -> bool {
        if self.was_candidate(me.name, start_time) {
            return true;
        }
        let live = self.candidates.iter().filter(|(name, seen)| {
            *name != me.name
                && seen.heartbeat.accepts_cells
                && now < seen.changed_at + ABSENCE_TIMEOUT_MS
        });
        let mut contenders: Vec<Contender<'_>> = live
            .map(|(name, seen)| Contender {
                name,
                centre: &seen.heartbeat.centre,
                cpu: seen.heartbeat.cpu,
                applies: false,
            })
            .collect();
        contenders.push(*me);
        is_needed(&contenders, me.name)
    }

    /// Returns whether a process was a candidate in an incarnation before `start_time`.
    ///
    /// Its first heartbeat tells the others that the former incarnation has ended.
    pub fn was_candidate(&self, name: &str, start_time: u64) -> bool {
        self.candidates.get(name).is_some_and(|seen| seen.heartbeat.start_time < start_time)
    }
}

/// Delay after which an applicant reads the heartbeats once more before it becomes a candidate, in
/// milliseconds.
///
/// # Examples
///
/// ```
/// use cells::standby::application_delay;
/// assert!(application_delay("a", 500, 7) < application_delay("a", 50, 7));
/// ```
pub fn application_delay(name: &str, cpu: u64, now: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (name, now).hash(&mut hasher);
    let lacking = 1_000u64.saturating_sub(cpu);
    lacking * DELAY_PER_MILLICORE_US / 1_000 + hasher.finish() % DELAY_SPREAD_MS
}

/// Returns whether a candidate without cells should resign.
///
/// `live` are the names of the live candidates that accept cells.
pub fn should_resign(
    heartbeats: &IndexMap<String, (u64, Heartbeat)>,
    live: &IndexSet<String>,
    me: &str,
) -> bool {
    let contenders: Vec<Contender<'_>> = heartbeats
        .iter()
        .filter(|(name, _)| live.contains(*name))
        .map(|(name, (_, heartbeat))| Contender {
            name,
            centre: &heartbeat.centre,
            cpu: heartbeat.cpu,
            applies: false,
        })
        .collect();
    live.contains(me) && !is_needed(&contenders, me)
}
