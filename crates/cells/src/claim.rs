//! Decides which process claims the lease on which cell.
//!
//! Load pattern: processes stop, freeze and resume at any time, and the table may be unreachable
//! for some of them. Time in which this process could not read the table does not count against
//! other processes. Of the live processes, the one with the most processor time for each of its
//! cells claims the next.
//!
//! No job of a cell can end while its holder does not reach the table, and no machine moves without
//! a holder of the fleet's duties. A holder is therefore replaced after a few missed heartbeats,
//! or, after an outage of the table, once the other processes have resumed theirs. A replaced
//! holder can no longer give orders: executors compare epochs, and the row of a machine has to be
//! written before each order to the machine.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};

use indexmap::{IndexMap, IndexSet};

use crate::context;
use crate::rows::{Heartbeat, Lease};

/// Shortest time without a heartbeat after which a process is presumed dead, in milliseconds; four
/// heartbeat intervals.
const MIN_FAILURE_TIMEOUT_MS: u64 = 1_600;
/// Failure timeout in median intervals between heartbeats, for a table with slow writes.
const FAILURE_TIMEOUT_INTERVALS: u64 = 4;
/// Longest time without a heartbeat after which a process is presumed dead, in milliseconds; a
/// third of the eight seconds for which a queue is at its peak.
const MAX_FAILURE_TIMEOUT_MS: u64 = 2_600;
/// Heartbeats after which a process has certainly resumed, counted since this process can read the
/// table.
///
/// Once half of the processes have resumed, a process without any heartbeat is presumed dead. One
/// heartbeat alone may be a request that was in flight during the outage, and another may be lost.
const RESUMED_HEARTBEATS: u32 = 3;
/// Time between two reads after which earlier observations are void, in milliseconds.
const READ_GAP_MS: u64 = 1_500;
/// Delay of each candidate after the one before it, in milliseconds; a transaction and some delay.
const CANDIDATE_DELAY_MS: u64 = 300;
/// Width of the classes in which start times count as equal, in milliseconds.
const START_CLASS_MS: u64 = 4_000;
/// Time in which a new process claims nothing, in milliseconds; machines start within 0.3 s.
///
/// It ends early once half of the processes have been seen to write heartbeats.
const SETTLING_MS: u64 = 1_200;

/// Time for which a process holds a cell, and observes the others, before it hands the cell over to
/// a stronger one, in milliseconds; a hand-over costs a cell a fraction of it.
const HAND_OVER_DELAY_MS: u64 = 2_500;
/// Least ratio of the processor times of two processes for a hand-over.
const HAND_OVER_FACTOR: u64 = 2;
/// Heartbeats in a row after which a process counts as stable.
const STABLE_HEARTBEATS: u32 = 5;

/// Heartbeats and leases as read from the table.
#[derive(Debug, Default)]
pub struct Observations {
    processes: IndexMap<String, Process>,
    leases: IndexMap<String, (u64, Lease)>,
    /// Time since which a cell has had no live holder, in milliseconds.
    vacant_since: IndexMap<String, u64>,
    /// Time of the first read, in milliseconds; 0 before.
    first_read: u64,
    last_read: u64,
}

#[derive(Debug)]
struct Process {
    heartbeat: Heartbeat,
    /// Version of the heartbeat's row.
    version: u64,
    /// Time at which the last heartbeat was seen, in milliseconds.
    seen_at: u64,
    /// Time between the last two heartbeats, in milliseconds; 0 after the first.
    interval: u64,
    /// Number of heartbeats seen since this process could read the table again.
    heartbeat_count: u32,
}

impl Observations {
    /// Records the result of one read: versions and rows by the name of the process or cell.
    pub fn observe(
        &mut self,
        heartbeats: IndexMap<String, (u64, Heartbeat)>,
        leases: IndexMap<String, (u64, Lease)>,
        now: u64,
    ) {
        if self.last_read == 0 {
            self.first_read = now;
        }
        let after_gap = self.last_read == 0 || now > self.last_read + READ_GAP_MS;
        if after_gap {
            self.vacant_since.clear();
        }
        self.last_read = now;
        self.leases = leases;
        self.processes.retain(|name, _| heartbeats.contains_key(name));
        for (name, (version, heartbeat)) in heartbeats {
            match self.processes.get_mut(&name) {
                Some(process) if process.version == version && !after_gap => {}
                Some(process) => {
                    let (interval, heartbeat_count) = if after_gap {
                        (process.interval, 0)
                    } else {
                        (now - process.seen_at, process.heartbeat_count + 1)
                    };
                    *process =
                        Process { heartbeat, version, seen_at: now, interval, heartbeat_count };
                }
                None => {
                    let heartbeat_count = u32::from(!after_gap);
                    let process =
                        Process { heartbeat, version, seen_at: now, interval: 0, heartbeat_count };
                    self.processes.insert(name, process);
                }
            }
        }
    }

    /// Returns the number of processes with a heartbeat in the table.
    pub fn process_count(&self) -> usize {
        self.processes.len()
    }

    /// Returns the lease of a cell and its row's version; version 0 if it was never held.
    pub fn lease(&self, cell: &str) -> (u64, Lease) {
        self.leases.get(cell).cloned().unwrap_or_default()
    }

    /// Returns the live incarnations, each with whether it accepts cells.
    fn live(&self) -> IndexMap<String, bool> {
        let timeout = self.failure_timeout();
        let newest = self.newest_heartbeat();
        let resumed = self.most_resumed();
        self.processes
            .iter()
            .filter(|(_, process)| {
                newest < process.seen_at + timeout && (process.heartbeat_count > 0 || !resumed)
            })
            .map(|(name, process)| {
                (
                    context::holder_name(name, process.heartbeat.start_time),
                    process.heartbeat.accepts_cells,
                )
            })
            .collect()
    }

    /// Returns the names of the live processes that accept cells.
    pub fn live_processes(&self) -> IndexSet<String> {
        let live = self.live();
        let accepting = live.into_iter().filter(|(_, accepts_cells)| *accepts_cells);
        accepting
            .filter_map(|(holder, _)| holder.rsplit_once('~').map(|(name, _)| name.to_owned()))
            .collect()
    }

    /// Returns the current failure timeout, in milliseconds.
    fn failure_timeout(&self) -> u64 {
        let mut intervals: Vec<u64> =
            self.processes.values().map(|process| process.interval).collect();
        intervals.sort_unstable();
        let median = intervals.get(intervals.len() / 2).copied().unwrap_or(0);
        (median * FAILURE_TIMEOUT_INTERVALS).clamp(MIN_FAILURE_TIMEOUT_MS, MAX_FAILURE_TIMEOUT_MS)
    }

    /// Returns the time at which the newest heartbeat of any process was seen, in milliseconds.
    ///
    /// The failure timeout is measured up to this time, so no process is presumed dead while the
    /// table accepts no heartbeats at all.
    fn newest_heartbeat(&self) -> u64 {
        self.processes.values().map(|process| process.seen_at).max().unwrap_or(0)
    }

    /// Returns whether half of the processes have resumed since this process can read the table.
    fn most_resumed(&self) -> bool {
        let resumed = self
            .processes
            .values()
            .filter(|process| process.heartbeat_count >= RESUMED_HEARTBEATS)
            .count();
        resumed * 2 >= self.processes.len()
    }

    /// Returns whether a later incarnation of a holder has started, so the holder has ended.
    pub fn has_restarted(&self, holder: &str) -> bool {
        self.processes.iter().any(|(name, process)| {
            holder
                .strip_prefix(name.as_str())
                .and_then(|rest| rest.strip_prefix('~'))
                .and_then(|start| start.parse::<u64>().ok())
                .is_some_and(|start| start < process.heartbeat.start_time)
        })
    }

    /// Returns the sort key of a candidate for a cell; the smallest goes first.
    ///
    /// Cells go by the processor time that a process has for each: a weak machine can't run the cell
    /// of a queue at its peak, and a strong one can run several, as the queues peak in turn. Among
    /// equals, a process that started later goes first: in a series of planned restarts it is the
    /// one that will not stop soon.
    fn preference(
        &self,
        holder: &str,
        count: usize,
        cell: &str,
    ) -> (u64, Reverse<u64>, usize, u64) {
        let start = holder.rsplit_once('~').and_then(|(_, start)| start.parse::<u64>().ok());
        let start_class = start.unwrap_or(0) / START_CLASS_MS;
        (self.load(holder, count), Reverse(start_class), count, hash(cell, holder))
    }

    /// Load of a holder with another cell, relative to its processor time.
    ///
    /// Two cells count as one, so that a process which started later can take a second one.
    fn load(&self, holder: &str, count: usize) -> u64 {
        let name = holder.rsplit_once('~').map_or(holder, |(name, _)| name);
        let cpu = self.processes.get(name).map_or(0, |process| process.heartbeat.cpu);
        (count as u64 / 2 + 1) * 1_000_000 / cpu.max(1)
    }

    /// Returns a cell that the incarnation `me` should hand over to a much stronger process.
    ///
    /// Load pattern: while a part of the machines is cut off, a cell goes to a weak machine, and
    /// would stay there through the peaks that follow. `taken_at` returns when `me` has taken a
    /// cell.
    pub fn hand_over(
        &self,
        me: &str,
        taken_at: impl Fn(&str) -> Option<u64>,
        now: u64,
    ) -> Option<String> {
        if self.last_read < self.first_read + HAND_OVER_DELAY_MS {
            return None;
        }
        let live = self.live();
        let counts = self.cell_counts(&live);
        let process = |holder: &str| {
            let name = holder.rsplit_once('~').map_or(holder, |(name, _)| name);
            self.processes.get(name)
        };
        let (own_cpu, own_count) = (process(me)?.heartbeat.cpu, counts.get(me).copied()?);
        let own_load = self.load(me, own_count.saturating_sub(1));
        let is_better = |(holder, count): (&String, &usize)| {
            process(holder).is_some_and(|process| {
                process.heartbeat_count >= STABLE_HEARTBEATS
                    && process.heartbeat.cpu >= own_cpu * HAND_OVER_FACTOR
                    && self.load(holder, *count) < own_load
            })
        };
        if !counts.iter().any(is_better) {
            return None;
        }
        let held = self.leases.iter().filter(|(_, (_, lease))| lease.holder == me);
        held.map(|(cell, _)| cell)
            .find(|cell| taken_at(cell).is_some_and(|at| now >= at + HAND_OVER_DELAY_MS))
            .cloned()
    }

    /// Returns the cells whose lease names the incarnation `me` although it does not run them, each
    /// with the version of the lease's row and its term.
    pub fn orphans(&self, me: &str, is_held: impl Fn(&str) -> bool) -> Vec<(String, u64, u64)> {
        let own = self.leases.iter().filter(|(_, (_, lease))| lease.holder == me);
        own.filter(|(cell, _)| !is_held(cell))
            .map(|(cell, (version, lease))| (cell.clone(), *version, lease.term))
            .collect()
    }

    /// Returns the live incarnations that accept cells, each with the number that it holds.
    fn cell_counts(&self, live: &IndexMap<String, bool>) -> IndexMap<String, usize> {
        let candidates = live.iter().filter(|(_, accepts_cells)| **accepts_cells);
        let mut counts: IndexMap<String, usize> =
            candidates.map(|(holder, _)| (holder.clone(), 0)).collect();
        for (_, lease) in self.leases.values() {
            if let Some(count) = counts.get_mut(&lease.holder) {
                *count += 1;
            }
        }
        counts
    }

    /// Returns the cells that the incarnation `me` should claim now.
    pub fn claims(&mut self, cells: &[String], me: &str, now: u64) -> Vec<String> {
        if now < self.first_read + SETTLING_MS && !self.most_resumed() {
            return Vec::new();
        }
        let live = self.live();
        let mut counts = self.cell_counts(&live);
        let mut claims = Vec::new();
        for cell in cells {
            let holder = self.lease(cell).1.holder;
            if !holder.is_empty() && live.contains_key(&holder) {
                self.vacant_since.swap_remove(cell);
                continue;
            }
            let since = *self.vacant_since.entry(cell.clone()).or_insert(now);
            let mut order: Vec<&String> = counts.keys().collect();
            order.sort_by_key(|name| self.preference(name, counts[*name], cell));
            let rank = order.iter().position(|name| *name == me);
            let first = order.first().map(|name| (*name).clone());
            if let Some(rank) = rank
                && now >= since + CANDIDATE_DELAY_MS * rank as u64
            {
                claims.push(cell.clone());
            }
            // The choices for the following cells count this cell as one of its first candidate.
            if let Some(first) = first {
                counts[&first] += 1;
            }
        }
        claims
    }
}

fn hash(cell: &str, name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (cell, name).hash(&mut hasher);
    hasher.finish()
}
