//! Which process takes which cell.
//!
//! Load pattern: processes stop, freeze and return at any time, and the table may be away for some
//! of them. Nobody judges others by time in which the table could not be read; of the processes
//! that are alive, the one with the fewest cells takes the next. A cell without a holder that
//! reaches the table ends no job, and no machine moves without the fleet's, so that a holder is
//! replaced after a few missing beats. The former one can't order any more: executors compare
//! epochs, and a machine's row has to be written before it gets an order.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};

use indexmap::IndexMap;

use crate::context;
use crate::rows::{Beat, Lease};

/// Silence after which a process counts as gone, in milliseconds; four beats.
const SUSPECT: u64 = 1_600;
/// The same in usual gaps between beats, for a table that takes them slowly.
const GAPS: u64 = 4;
/// Longest silence until a process counts as gone, in milliseconds; a third of a queue's turn.
const LONGEST: u64 = 2_600;
/// Gap between reads after which earlier observations say nothing, in milliseconds.
const BLIND: u64 = 1_500;
/// Head start of each candidate over the next, in milliseconds; a transaction and some delay.
const RANK: u64 = 300;
/// Starts within such a time count as one, in milliseconds.
const SAME_START: u64 = 4_000;
/// How long a new process only observes, in milliseconds; machines start within 0.3 s.
const SETTLE: u64 = 1_200;

/// What was read of the processes and the leases.
#[derive(Debug, Default)]
pub struct Observations {
    beats: IndexMap<String, Seen>,
    leases: IndexMap<String, (u64, Lease)>,
    /// Since when a cell has no live holder.
    vacant: IndexMap<String, u64>,
    since: u64,
    last: u64,
}

#[derive(Debug)]
struct Seen {
    beat: Beat,
    version: u64,
    changed: u64,
    /// Time between its last two beats, in milliseconds; 0 while there was one.
    gap: u64,
}

impl Observations {
    /// Takes in what one read of the shared rows gave: versions and rows by name.
    pub fn observe(
        &mut self,
        beats: IndexMap<String, (u64, Beat)>,
        leases: IndexMap<String, (u64, Lease)>,
        now: u64,
    ) {
        let blind = self.last == 0 || now > self.last + BLIND;
        if blind {
            self.since = now;
            self.vacant.clear();
        }
        self.last = now;
        self.leases = leases;
        self.beats.retain(|name, _| beats.contains_key(name));
        for (name, (version, beat)) in beats {
            match self.beats.get_mut(&name) {
                Some(seen) if seen.version == version && !blind => {}
                Some(seen) => {
                    let gap = if blind { seen.gap } else { now - seen.changed };
                    *seen = Seen { beat, version, changed: now, gap };
                }
                None => {
                    self.beats.insert(name, Seen { beat, version, changed: now, gap: 0 });
                }
            }
        }
    }

    /// The lease of a cell and its row's version; version 0 when nobody ever held it.
    pub fn lease(&self, cell: &str) -> (u64, Lease) {
        self.leases.get(cell).cloned().unwrap_or_default()
    }

    /// Silence after which a process counts as gone now, in milliseconds.
    fn silence(&self) -> u64 {
        let mut gaps: Vec<u64> = self.beats.values().map(|seen| seen.gap).collect();
        gaps.sort_unstable();
        let usual = gaps.get(gaps.len() / 2).copied().unwrap_or(0);
        (usual * GAPS).clamp(SUSPECT, LONGEST)
    }

    /// When the newest beat of any process was seen, in milliseconds. Silence is measured up to
    /// then: while the table takes no beats at all, nobody is judged.
    fn newest(&self) -> u64 {
        self.beats.values().map(|seen| seen.changed).max().unwrap_or(0)
    }

    /// Incarnations that are alive and take cells.
    fn candidates(&self, silence: u64) -> Vec<String> {
        let newest = self.newest();
        self.beats
            .iter()
            .filter(|(_, seen)| seen.beat.open && newest < seen.changed + silence)
            .map(|(name, seen)| context::holder(name, seen.beat.start))
            .collect()
    }

    /// Whether a holder may still be at work.
    fn alive(&self, holder: &str, silence: u64) -> bool {
        let newest = self.newest();
        self.beats.iter().any(|(name, seen)| {
            context::holder(name, seen.beat.start) == holder && newest < seen.changed + silence
        })
    }

    /// Whether a holder has surely ended: its machine runs a later start of the process.
    pub fn ended(&self, holder: &str) -> bool {
        self.beats.iter().any(|(name, seen)| {
            holder
                .strip_prefix(name.as_str())
                .and_then(|rest| rest.strip_prefix('~'))
                .and_then(|start| start.parse::<u64>().ok())
                .is_some_and(|start| start < seen.beat.start)
        })
    }

    /// Place of a candidate in the order of those that may take a cell; smaller goes first.
    ///
    /// Stronger machines go first. Among equals, a process that started later goes first, as in a
    /// series of planned restarts it is the one that does not stop soon; but no process takes many
    /// cells while others have few.
    fn preference(
        &self,
        holder: &str,
        count: usize,
        cell: &str,
    ) -> (usize, Reverse<u64>, Reverse<u64>, usize, u64) {
        let start = holder.rsplit_once('~').and_then(|(_, start)| start.parse::<u64>().ok());
        let start = start.unwrap_or(0) / SAME_START;
        let name = holder.rsplit_once('~').map_or(holder, |(name, _)| name);
        let power = self.beats.get(name).map_or(0, |seen| seen.beat.power);
        (count / 2, Reverse(power), Reverse(start), count, mix(cell, holder))
    }

    /// Cells that `me` should claim now.
    pub fn claims(&mut self, cells: &[String], me: &str, now: u64) -> Vec<String> {
        if now < self.since + SETTLE {
            return Vec::new();
        }
        let silence = self.silence();
        let candidates = self.candidates(silence);
        let mut counts: IndexMap<String, usize> =
            candidates.iter().map(|name| (name.clone(), 0)).collect();
        for (_, lease) in self.leases.values() {
            if let Some(count) = counts.get_mut(&lease.holder) {
                *count += 1;
            }
        }
        let mut mine = Vec::new();
        for cell in cells {
            let holder = self.lease(cell).1.holder;
            if !holder.is_empty() && self.alive(&holder, silence) {
                self.vacant.swap_remove(cell);
                continue;
            }
            let since = *self.vacant.entry(cell.clone()).or_insert(now);
            let mut order: Vec<&String> = counts.keys().collect();
            order.sort_by_key(|name| self.preference(name, counts[*name], cell));
            let place = order.iter().position(|name| *name == me);
            let first = order.first().map(|name| (*name).clone());
            if let Some(place) = place
                && now >= since + RANK * place as u64
            {
                mine.push(cell.clone());
            }
            if let Some(first) = first {
                counts[&first] += 1;
            }
        }
        mine
    }
}

fn mix(cell: &str, name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (cell, name).hash(&mut hasher);
    hasher.finish()
}
