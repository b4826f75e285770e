//! How many machines each pool should have.
//!
//! Load pattern: the queues' demand rises and falls by turns. In its turn a queue asks for several
//! times its mean, more than its pool holds, while the others are nearly idle; a turn lasts a few
//! times as long as a move takes. So machines follow the work that arrives, first the ones that
//! stand by, then the ones that other pools do not need. Between turns the pools come back to even
//! shares, and only what is left of an even division goes to standby.

use std::collections::VecDeque;

use indexmap::IndexMap;

/// Longest time over which arriving work is averaged, in milliseconds; holds several jobs of the
/// larger kinds.
const LONG_WINDOW_MS: u64 = 2 * TREND_WINDOW_MS;
/// Shorter times, in which a rise shows earlier, in milliseconds.
const SHORT_WINDOWS_MS: [u64; 2] = [400, 900];
/// Window over which a rise is measured, in milliseconds.
const TREND_WINDOW_MS: u64 = 1_000;
/// How far ahead a rise is carried on, in milliseconds; about the time from a decision to the first
/// task on a machine that moved.
const FORECAST_MS: u64 = 2_000;
/// Time in which waiting work should be done, in milliseconds; the part of an objective beyond a
/// job's own work.
const BACKLOG_DRAIN_MS: u64 = 1_500;
/// Room beyond the work that arrives, in percent; covers the packing of tasks and the spread of
/// estimates.
const HEADROOM_PERCENT: u64 = 125;
/// How long a pool has to be larger than needed before it gives machines back, in milliseconds;
/// the time in which an idle machine costs as much as a move.
const SURPLUS_HOLD_MS: u64 = 1_200;
/// Fewest machines of a pool; one may fail while another is down for maintenance.
const MIN_POOL_MACHINES: usize = 3;

/// Work that has arrived lately.
#[derive(Debug, Clone, Default)]
pub struct Inflow {
    arrivals: VecDeque<(u64, u64)>,
}

impl Inflow {
    /// Notes work that came at a time, in thousandths of a core times milliseconds.
    pub fn add(&mut self, at: u64, work: u64) {
        self.arrivals.push_back((at, work));
    }

    /// Rate at which work is about to arrive, in thousandths of a core.
    ///
    /// The highest over several windows, so that a rise shows early, and as much more as the rate
    /// rises within the time of a move. What chance alone explains is no rise: the largest job of
    /// the longest window is left out, and one deviation of shorter windows.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut inflow = jobs::share::Inflow::default();
    /// for at in 0..100 {
    ///     inflow.add(at * 40, 400_000);
    /// }
    /// assert!((9_500..=10_500).contains(&inflow.rate(3_980)));
    /// assert_eq!(inflow.rate(9_000), 0);
    /// ```
    pub fn rate(&mut self, now: u64) -> u64 {
        // What was learnt late is not in order.
        self.arrivals.retain(|(at, _)| *at + LONG_WINDOW_MS >= now);
        let longest = self.window(now, LONG_WINDOW_MS);
        let usual = (longest.sum - longest.largest) / LONG_WINDOW_MS;
        let short = SHORT_WINDOWS_MS
            .into_iter()
            .map(|window| self.window(now, window).sum_without_chance() / window);
        let rate = short.max().unwrap_or(0).max(usual);
        let (late, early) = (
            self.window(now, TREND_WINDOW_MS),
            self.window(now.saturating_sub(TREND_WINDOW_MS), TREND_WINDOW_MS),
        );
        let chance = late.deviation().hypot(early.deviation());
        let rise = late.sum.saturating_sub(early.sum).saturating_sub(to_u64(chance));
        rate + rise / TREND_WINDOW_MS * FORECAST_MS / TREND_WINDOW_MS
    }

    /// What arrived in a window that ends at `end`.
    fn window(&self, end: u64, window: u64) -> Window {
        let inside = self.arrivals.iter().filter(|(at, _)| *at + window > end && *at <= end);
        inside.fold(Window::default(), |all, (_, work)| Window {
            sum: all.sum + work,
            largest: all.largest.max(*work),
            sum_of_squares: all.sum_of_squares + (*work as f64).powi(2),
        })
    }
}

/// Work that arrived in a window, in thousandths of a core times milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    sum: u64,
    /// Of the largest job.
    largest: u64,
    /// Sum of the squares of the jobs' work.
    sum_of_squares: f64,
}

impl Window {
    /// Standard deviation of the sum, for jobs that come at random.
    fn deviation(&self) -> f64 {
        self.sum_of_squares.sqrt()
    }

    /// What is left when chance has added one deviation.
    fn sum_without_chance(&self) -> u64 {
        self.sum.saturating_sub(to_u64(self.deviation()))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "sums of work are positive and far below 2^53"
)]
fn to_u64(work: f64) -> u64 {
    work as u64
}

/// What a pool asks for and has.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Demand {
    /// Rate at which work arrives, in thousandths of a core.
    pub arrival_rate: u64,
    /// Work that waits, in thousandths of a core times milliseconds.
    pub backlog: u64,
    /// Room of lasting tasks, in thousandths of a core.
    pub long_running: u64,
    /// Room in use by work in time, in thousandths of a core.
    pub used: u64,
    /// Fewest machines on which its lasting tasks can stand.
    pub min_machines: usize,
    /// Machines that are in it or on their way, without those that leave.
    pub machines: usize,
    /// Machines that can leave at little cost, the best first.
    pub removable: Vec<String>,
    /// Number of those that run nothing; they are the first.
    pub idle: usize,
}

/// One machine to move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineMove {
    /// Machine.
    pub machine: String,
    /// Pool that it leaves.
    pub from: String,
    /// Pool that it goes to.
    pub to: String,
}

/// Remembers since when pools have been larger than needed.
#[derive(Debug, Clone, Default)]
pub struct Rebalancer {
    surplus_since: IndexMap<String, u64>,
}

/// Machines that a pool needs, each of `size` thousandths of a core.
///
/// # Examples
///
/// ```
/// use jobs::share::{Demand, machines_needed};
/// let demand = Demand { arrival_rate: 100_000, backlog: 0, long_running: 16_000, ..Demand::default() };
/// assert_eq!(machines_needed(&demand, 16_000), 9);
/// ```
pub fn machines_needed(demand: &Demand, size: u64) -> usize {
    machine_count(demand, demand.backlog / BACKLOG_DRAIN_MS, size)
}

/// Machines that a pool needs for what arrives and runs, without what waits.
fn machines_needed_without_backlog(demand: &Demand, size: u64) -> usize {
    machine_count(demand, 0, size)
}

fn machine_count(demand: &Demand, more: u64, size: u64) -> usize {
    // Large jobs come in bursts: between two of them, what the last one uses is still needed.
    let flow =
        (demand.long_running + demand.arrival_rate * HEADROOM_PERCENT / 100).max(demand.used);
    let machines = (flow + more).div_ceil(size.max(1));
    usize::try_from(machines)
        .unwrap_or(usize::MAX)
        .max(demand.min_machines + 1)
        .max(MIN_POOL_MACHINES)
}

impl Rebalancer {
    /// Decides which machines move now.
    ///
    /// `standby` names the pool of machines that are switched off, with those that are ready
    /// to move; `total` is the number of all machines and `size` the room of one in thousandths
    /// of a core.
    pub fn plan_moves(
        &mut self,
        pools: &IndexMap<String, Demand>,
        standby: Option<(&str, &[String])>,
        total: usize,
        size: u64,
        now: u64,
    ) -> Vec<MachineMove> {
        // Between its turns, a pool keeps an even share for the first moments of the next; half of
        // it also while another has its turn.
        let base = total / pools.len().max(1);
        let mut sides: Vec<PoolState<'_>> = pools
            .iter()
            .map(|(name, demand)| {
                let need = machines_needed(demand, size);
                let keep = need.max(base);
                if demand.machines <= keep {
                    self.surplus_since.swap_remove(name);
                } else {
                    self.surplus_since.entry(name.clone()).or_insert(now);
                }
                let since = self.surplus_since.get(name).copied().unwrap_or(now);
                let spares = demand.removable.iter().collect();
                PoolState {
                    name,
                    machines: demand.machines,
                    need,
                    keep_while_others_lack: need.max(base / 2),
                    firm_need: machines_needed_without_backlog(demand, size),
                    reserve: base / 2,
                    keep,
                    surplus_persists: now >= since + SURPLUS_HOLD_MS,
                    removable: spares,
                    idle: demand.idle,
                }
            })
            .collect();
        let mut off: VecDeque<&String> =
            standby.map(|(_, machines)| machines.iter().collect()).unwrap_or_default();
        let off_pool = standby.map_or("", |(pool, _)| pool);
        let mut shifts = Vec::new();
        let mut shift = |machine: &String, from: &str, to: &str| {
            shifts.push(MachineMove {
                machine: machine.clone(),
                from: from.to_owned(),
                to: to.to_owned(),
            });
        };
        // The pool that lacks most gets the next machine.
        while let Some(to) = pool_with_most(&sides, |side| side.need.saturating_sub(side.machines))
        {
            if let Some(machine) = off.pop_front() {
                shift(machine, off_pool, sides[to].name);
            } else {
                let from = pool_with_most(&sides, |side| {
                    side.available_above(side.keep_while_others_lack)
                });
                let Some(from) = from else { break };
                let Some(machine) = sides[from].release_machine() else { break };
                shift(machine, sides[from].name, sides[to].name);
            }
            sides[to].machines += 1;
        }
        // What waits beside idle machines are later steps of what runs: these machines are better used
        // where work arrives for which there is none.
        while let Some(to) =
            pool_with_most(&sides, |side| side.firm_need.saturating_sub(side.machines))
        {
            let from = pool_with_most(&sides, |side| {
                side.available_above(side.firm_need.max(side.reserve)).min(side.idle)
            });
            let Some(from) = from else { break };
            let Some(machine) = sides[from].release_machine() else { break };
            shift(machine, sides[from].name, sides[to].name);
            sides[to].machines += 1;
        }
        // Then pools come back to their share, and what is left goes to standby.
        while let Some(to) = pool_with_most(&sides, |side| side.keep.saturating_sub(side.machines))
        {
            let from = pool_with_most(&sides, |s| {
                if s.surplus_persists { s.available_above(s.keep) } else { 0 }
            });
            let Some(from) = from else { break };
            let Some(machine) = sides[from].release_machine() else { break };
            shift(machine, sides[from].name, sides[to].name);
            sides[to].machines += 1;
        }
        if standby.is_some() {
            while let Some(from) = pool_with_most(&sides, |s| {
                if s.surplus_persists { s.available_above(s.keep) } else { 0 }
            }) {
                let Some(machine) = sides[from].release_machine() else { break };
                shift(machine, sides[from].name, off_pool);
            }
        }
        shifts
    }
}

/// A pool while moves are decided.
struct PoolState<'a> {
    name: &'a String,
    machines: usize,
    /// Machines for the work at hand.
    need: usize,
    /// Machines that it does not give to others.
    keep_while_others_lack: usize,
    /// Machines for what arrives and runs.
    firm_need: usize,
    /// Machines that it keeps in any case.
    reserve: usize,
    /// Machines to keep for what may come.
    keep: usize,
    /// Whether it has been larger than that for a while.
    surplus_persists: bool,
    removable: VecDeque<&'a String>,
    /// Number of spares that run nothing.
    idle: usize,
}

impl<'a> PoolState<'a> {
    /// Machines that it can give and still have `least`.
    fn available_above(&self, least: usize) -> usize {
        self.machines.saturating_sub(least).min(self.removable.len())
    }

    fn release_machine(&mut self) -> Option<&'a String> {
        let machine = self.removable.pop_front()?;
        self.machines -= 1;
        self.idle = self.idle.saturating_sub(1);
        Some(machine)
    }
}

/// The pool with the most of something; none when no pool has any.
fn pool_with_most(
    sides: &[PoolState<'_>],
    measure: impl Fn(&PoolState<'_>) -> usize,
) -> Option<usize> {
    let (index, amount) =
        sides.iter().map(&measure).enumerate().max_by_key(|(_, amount)| *amount)?;
    (amount > 0).then_some(index)
}
