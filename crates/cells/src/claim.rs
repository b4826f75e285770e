//! Which process takes which cell.
//!
//! Load pattern: processes stop, freeze and return at any time, and the table may be away for some
//! of them. Nobody judges others by time in which the table could not be read; of the processes
//! that are alive, the one with the fewest cells takes the next. A cell without a holder that
//! reaches the table ends no job, and no machine moves without the fleet's, so that a holder is
//! replaced after a few missing beats; after an outage of the table, once the others have returned
//! to it. The former one can't order any more: executors compare epochs, and a machine's row has to
//! be written before it gets an order.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};

use indexmap::IndexMap;

use crate::context;
use crate::rows::{Heartbeat, Lease};

/// Silence after which a process counts as gone, in milliseconds; four beats.
const SUSPECT: u64 = 1_600;
/// The same in usual gaps between beats, for a table that takes them slowly.
const GAPS: u64 = 4;
/// Longest silence until a process counts as gone, in milliseconds; a third of a queue's turn.
const LONGEST: u64 = 2_600;
/// Beats that half of the processes have shown since this one can read the table, after which one
/// that has shown none counts as gone; the first may be of a request that was under way, and another
/// one be lost.
const RETURNED: u32 = 3;
/// Gap between reads after which earlier observations say nothing, in milliseconds.
const BLIND: u64 = 1_500;
/// Head start of each candidate over the next, in milliseconds; a transaction and some delay.
const RANK: u64 = 300;
/// Starts within such a time count as one, in milliseconds.
const SAME_START: u64 = 4_000;
/// How long a process only observes at first, unless it has seen enough of the others before, in
/// milliseconds; machines start within 0.3 s.
const SETTLE: u64 = 1_200;

/// What was read of the processes and the leases.
#[derive(Debug, Default)]
pub struct Observations {
    beats: IndexMap<String, Seen>,
    leases: IndexMap<String, (u64, Lease)>,
    /// Since when a cell has no live holder.
    vacant: IndexMap<String, u64>,
    /// First read; 0 before.
    began: u64,
    last: u64,
}

#[derive(Debug)]
struct Seen {
    beat: Heartbeat,
    version: u64,
    changed: u64,
    /// Time between its last two beats, in milliseconds; 0 while there was one.
    gap: u64,
    /// Number of its beats since this process could read the table again.
    fresh: u32,
}

impl Observations {
    /// Takes in what one read of the shared rows gave: versions and rows by name.
    pub fn observe(
        &mut self,
        beats: IndexMap<String, (u64, Heartbeat)>,
        leases: IndexMap<String, (u64, Lease)>,
        now: u64,
    ) {
        if self.last == 0 {
            self.began = now;
        }
        let blind = self.last == 0 || now > self.last + BLIND;
        if blind {
            self.vacant.clear();
        }
        self.last = now;
        self.leases = leases;
        self.beats.retain(|name, _| beats.contains_key(name));
        for (name, (version, beat)) in beats {
            match self.beats.get_mut(&name) {
                Some(seen) if seen.version == version && !blind => {}
                Some(seen) => {
                    let (gap, fresh) =
                        if blind { (seen.gap, 0) } else { (now - seen.changed, seen.fresh + 1) };
                    *seen = Seen { beat, version, changed: now, gap, fresh };
                }
                None => {
                    let fresh = u32::from(!blind);
                    let seen = Seen { beat, version, changed: now, gap: 0, fresh };
                    self.beats.insert(name, seen);
                }
            }
        }
    }

    /// Number of processes that have left a heartbeat.
    pub fn process_count(&self) -> usize {
        self.beats.len()
    }

    /// The lease of a cell and its row's version; version 0 when nobody ever held it.
    pub fn lease(&self, cell: &str) -> (u64, Lease) {
        self.leases.get(cell).cloned().unwrap_or_default()
    }

    /// Incarnations that reach the table, and whether each takes cells.
    fn present(&self) -> IndexMap<String, bool> {
        let silence = self.silence();
        let newest = self.newest();
        let returned = self.most_returned();
        self.beats
            .iter()
            .filter(|(_, seen)| newest < seen.changed + silence && (seen.fresh > 0 || !returned))
            .map(|(name, seen)| {
                (context::holder(name, seen.beat.start_time), seen.beat.accepts_cells)
            })
            .collect()
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

    /// Whether half of the processes have surely reached the table since this one can read it.
    fn most_returned(&self) -> bool {
        let returned = self.beats.values().filter(|seen| seen.fresh >= RETURNED).count();
        returned * 2 >= self.beats.len()
    }

    /// Whether a holder has surely ended: its machine runs a later start of the process.
    pub fn has_restarted(&self, holder: &str) -> bool {
        self.beats.iter().any(|(name, seen)| {
            holder
                .strip_prefix(name.as_str())
                .and_then(|rest| rest.strip_prefix('~'))
                .and_then(|start| start.parse::<u64>().ok())
                .is_some_and(|start| start < seen.beat.start_time)
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
        let power = self.beats.get(name).map_or(0, |seen| seen.beat.cpu);
        (count / 2, Reverse(power), Reverse(start), count, mix(cell, holder))
    }

    /// Cells that `me` should claim now.
    pub fn claims(&mut self, cells: &[String], me: &str, now: u64) -> Vec<String> {
        if now < self.began + SETTLE && !self.most_returned() {
            return Vec::new();
        }
        let present = self.present();
        let open = present.iter().filter(|(_, open)| **open);
        let mut counts: IndexMap<String, usize> =
            open.map(|(holder, _)| (holder.clone(), 0)).collect();
        for (_, lease) in self.leases.values() {
            if let Some(count) = counts.get_mut(&lease.holder) {
                *count += 1;
            }
        }
        let mut mine = Vec::new();
        for cell in cells {
            let holder = self.lease(cell).1.holder;
            if !holder.is_empty() && present.contains_key(&holder) {
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
