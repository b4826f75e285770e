//! Rebalancing: how many machines each pool should have.
//!
//! Load pattern: the demand of the queues peaks in turn. At its peak a queue needs several times
//! its mean, more than its pool can process, while the others are nearly idle. A peak lasts a few
//! times as long as the move of a machine. Machines therefore follow the arriving work: first those
//! on standby move, then those that other pools do not need. Between peaks the pools return to even
//! shares, and only the remainder of an even division goes to standby.
//!
//! Where peaks can be forecast, machines move to a pool before its peak begins, and the pools whose
//! peaks are far away keep little: an idle machine costs as much in about a second as its move.
//!
//! Late work earns little, but accepted jobs have to end. It gets machines that no pool needs for
//! timely work: those on standby, and while no pool has a peak also idle ones of other pools.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::forecast::{ExpectedPeak, Forecaster};

/// Longest window over which arriving work is averaged, in milliseconds. Several of the larger jobs
/// arrive within it.
const LONG_WINDOW_MS: u64 = 2 * TREND_WINDOW_MS;
/// Shorter windows, which show a rise earlier, in milliseconds.
const SHORT_WINDOWS_MS: [u64; 2] = [400, 900];
/// Length of each of the two windows whose difference is the rise, in milliseconds.
const TREND_WINDOW_MS: u64 = 1_000;
/// Time by which a rise is extrapolated, in milliseconds; about the time from a decision to the
/// first task on a machine that moved.
const FORECAST_MS: u64 = 2_000;
/// Time in which a backlog should be processed, in milliseconds; the part of an objective beyond a
/// job's own work.
const BACKLOG_DRAIN_MS: u64 = 1_500;
/// Capacity to provide, in percent of the arriving work. The excess covers gaps in the packing of
/// tasks and errors of estimates.
const HEADROOM_PERCENT: u64 = 125;
/// Time for which a pool has to be larger than needed before it releases machines, in milliseconds;
/// an idle machine costs as much in this time as a move.
const SURPLUS_HOLD_MS: u64 = 1_200;
/// Time without a peak after which late work gets idle machines that other pools keep for their next
/// peak, in milliseconds; longer than the pause between two peaks.
const CALM_MS: u64 = 3_000;
/// Time before the expected start of a peak at which machines move to its pool, in milliseconds: a
/// move, the start of the executor, and the time in which a rise shows.
const PEAK_LEAD_MS: u64 = 2_600;
/// Time for which an idle machine is kept for a peak that is further away than that, in milliseconds;
/// longer idling costs more than the move to standby.
const MOVE_WORTH_MS: u64 = 1_200;
/// Time after the start of an expected peak for which its pool keeps the machines that moved ahead, in
/// milliseconds; by then its measured demand counts.
const PEAK_HOLD_MS: u64 = 3_500;
/// Part of the even share that a pool keeps while its peak is far away, in percent.
const FAR_SHARE_PERCENT: usize = 10;
/// Least rate that counts as a peak, in percent of the capacity of an even share.
const PEAK_FLOOR_PERCENT: u64 = 25;
/// Time without a forecast after which machines return from standby to the pools' even shares, in
/// milliseconds; a forecast may be missing for some rounds.
const FORECAST_LAPSE_MS: u64 = 500;
/// Highest rate of an expected peak that is believed while it begins, in percent of the expected one.
const MAX_RATE_PERCENT: u64 = 120;
/// Capacity to provide ahead of a peak, in percent of its expected rate.
const EXPECTED_PERCENT: u64 = 105;
/// Fewest machines of a pool, as one may fail while another is down for maintenance.
const MIN_POOL_MACHINES: usize = 3;

/// Recently arrived work of a pool, as time and amount of each job.
#[derive(Debug, Clone, Default)]
pub struct Inflow {
    arrivals: VecDeque<(u64, u64)>,
}

impl Inflow {
    /// Adds work that arrived at a time, in thousandths of a core times milliseconds.
    pub fn add(&mut self, at: u64, work: u64) {
        self.arrivals.push_back((at, work));
    }

    /// Expected rate of arriving work, in thousandths of a core.
    ///
    /// This is the highest rate over several windows, so that a rise shows early, plus the rise
    /// that is expected within the time of a move. To leave out random fluctuation, the largest job
    /// of the long window and one standard deviation of each shorter window and of the rise are
    /// subtracted.
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
        // Work that was reported late is not in order of time, so all arrivals are checked.
        self.arrivals.retain(|(at, _)| *at + LONG_WINDOW_MS >= now);
        let long = self.window(now, LONG_WINDOW_MS);
        let long_rate = (long.sum - long.largest) / LONG_WINDOW_MS;
        let short_rates = SHORT_WINDOWS_MS
            .into_iter()
            .map(|window| self.window(now, window).sum_less_deviation() / window);
        let rate = short_rates.max().unwrap_or(0).max(long_rate);
        let (late, early) = (
            self.window(now, TREND_WINDOW_MS),
            self.window(now.saturating_sub(TREND_WINDOW_MS), TREND_WINDOW_MS),
        );
        let noise = late.deviation().hypot(early.deviation());
        let rise = late.sum.saturating_sub(early.sum).saturating_sub(to_u64(noise));
        rate + rise / TREND_WINDOW_MS * FORECAST_MS / TREND_WINDOW_MS
    }

    /// Sums up the work that arrived in a window that ends at `end`.
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
    /// Work of the largest job.
    largest: u64,
    /// Sum of the squares of the jobs' work.
    sum_of_squares: f64,
}

impl Window {
    /// Standard deviation of the sum, for jobs that arrive at random.
    fn deviation(&self) -> f64 {
        self.sum_of_squares.sqrt()
    }

    /// Sum less one standard deviation.
    fn sum_less_deviation(&self) -> u64 {
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

/// Demand and machines of a pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Demand {
    /// Rate at which work arrives, in thousandths of a core.
    pub arrival_rate: u64,
    /// Waiting work that can be in time, in thousandths of a core times milliseconds.
    pub backlog: u64,
    /// CPU reserved by long-running tasks, in thousandths of a core.
    pub long_running: u64,
    /// CPU in use by long-running tasks and by jobs that have not passed their objective, in
    /// thousandths of a core.
    pub used: u64,
    /// CPU that late work uses or could use, in thousandths of a core.
    pub late: u64,
    /// Fewest machines on which its long-running tasks fit.
    pub min_machines: usize,
    /// Number of machines in the pool or moving to it, without those that move away.
    pub machines: usize,
    /// CPU by which these machines are smaller than the fleet's largest ones, all together, in
    /// thousandths of a core.
    pub shortfall: u64,
    /// Number of these machines that are emptied or down for maintenance, or that shut down.
    pub away: usize,
    /// Number of these machines on which no task has been able to start for longer than a move takes,
    /// although no duty is in progress there.
    pub unusable: usize,
    /// Machines that can leave at little cost, the cheapest first.
    pub removable: Vec<String>,
    /// Number of removable machines without runs; they come first in `removable`.
    pub idle: usize,
    /// Time since this demand was measured, in milliseconds.
    pub age: u64,
}

/// Move of a machine from one pool to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineMove {
    /// Name of the machine.
    pub machine: String,
    /// Pool that the machine leaves.
    pub from: String,
    /// Pool that the machine joins.
    pub to: String,
}

/// Plans the moves of machines between pools.
///
/// Keeps the time since which each pool has been larger than needed, with and without its late
/// work, and the time since which no pool has had a peak.
#[derive(Debug, Clone, Default)]
pub struct Rebalancer {
    surplus_since: IndexMap<String, u64>,
    unused_since: IndexMap<String, u64>,
    calm_since: Option<u64>,
    forecaster: Option<Forecaster>,
    outlook: Outlook,
    /// Peaks that were expected, by pool: time until which their machines stay, in milliseconds, and
    /// rate.
    held_peaks: IndexMap<String, (u64, u64)>,
    /// Time of the last forecast, in milliseconds, until the pools have their even shares again.
    forecast_until: Option<u64>,
}

/// What the rebalancer expects, and what it moved for that.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outlook {
    /// Next peaks in order of time; empty without a forecast.
    pub peaks: Vec<ExpectedPeak>,
    /// Number of machines that the last plan moved ahead of a peak, by the pool that gets them.
    pub moved_ahead: IndexMap<String, u64>,
    /// Number of expected peaks that have come since the plan before.
    pub came: u64,
    /// Number of expected peaks that have failed to come since the plan before.
    pub missing: u64,
}

/// Number of machines that a pool needs, each with `size` thousandths of a core.
///
/// # Examples
///
/// ```
/// use jobs::share::{Demand, machines_needed};
/// let demand = Demand {
///     arrival_rate: 100_000,
///     backlog: 0,
///     long_running: 16_000,
///     ..Demand::default()
/// };
/// assert_eq!(machines_needed(&demand, 16_000), 9);
/// ```
pub fn machines_needed(demand: &Demand, size: u64) -> usize {
    machine_count(demand, demand.backlog / BACKLOG_DRAIN_MS, size)
}

/// Number of machines that a pool needs for arriving and running work, without its backlog.
fn machines_needed_without_backlog(demand: &Demand, size: u64) -> usize {
    machine_count(demand, 0, size)
}

/// Number of machines that a pool can use, late work included. Machines on which no task can start
/// are replaced.
fn machines_with_late_work(demand: &Demand, size: u64) -> usize {
    machine_count(demand, demand.backlog / BACKLOG_DRAIN_MS + demand.late, size) + demand.unusable
}

/// Whether a pool needs more machines than its long-running tasks do, and more than the reserve
/// that it always keeps.
fn has_peak(demand: &Demand, size: u64, reserve: usize) -> bool {
    let lasting = Demand {
        long_running: demand.long_running,
        min_machines: demand.min_machines,
        away: demand.away,
        ..Demand::default()
    };
    machines_needed(demand, size) > machines_needed(&lasting, size).max(reserve)
}

fn machine_count(demand: &Demand, backlog_cpu: u64, size: u64) -> usize {
    // Large jobs arrive in bursts: between two bursts, the resources in use are still needed.
    let required_cpu =
        (demand.long_running + demand.arrival_rate * HEADROOM_PERCENT / 100).max(demand.used);
    let required_cpu = required_cpu + backlog_cpu;
    let full_size = demand.machines as u64 * size;
    let capacity = full_size.saturating_sub(demand.shortfall);
    // A pool that lacks capacity gets full-sized machines beside its own, and one with a surplus
    // keeps the part of its own machines that it uses.
    let machines = if required_cpu > capacity {
        (required_cpu + full_size - capacity).div_ceil(size.max(1))
    } else {
        (required_cpu * demand.machines as u64).div_ceil(capacity.max(1))
    };
    // A long-running task is stopped for maintenance only once another machine can take it.
    let away = if demand.long_running > 0 { demand.away } else { 0 };
    usize::try_from(machines)
        .unwrap_or(usize::MAX)
        .max(demand.min_machines + 1 + away)
        .max(MIN_POOL_MACHINES)
}

impl Rebalancer {
    /// Creates a rebalancer that moves machines ahead of the peaks that it can forecast.
    ///
    /// [`Rebalancer::default`] makes no forecasts.
    pub fn with_forecast() -> Self {
        Self { forecaster: Some(Forecaster::default()), ..Self::default() }
    }

    /// What the last plan expected.
    pub fn outlook(&self) -> &Outlook {
        &self.outlook
    }

    /// Takes in the pools' demand and forecasts their next peaks.
    fn update_outlook(
        &mut self,
        pools: &IndexMap<String, Demand>,
        even_share: usize,
        size: u64,
        now: u64,
    ) {
        let Some(forecaster) = &mut self.forecaster else { return };
        let floor = (even_share as u64 * size * PEAK_FLOOR_PERCENT / 100).max(1);
        for (pool, demand) in pools {
            forecaster.observe(pool, now.saturating_sub(demand.age), demand.arrival_rate, floor);
        }
        let begun = std::mem::take(&mut self.outlook.peaks).into_iter().filter_map(|peak| {
            let since = forecaster.peak_since(&peak.pool)?;
            Some((peak.pool, (since + PEAK_HOLD_MS, peak.rate)))
        });
        let begun: Vec<_> = begun.collect();
        self.held_peaks.retain(|_, (until, _)| now < *until);
        self.held_peaks.extend(begun.into_iter().filter(|(_, (until, _))| now < *until));
        let peaks = forecaster.upcoming(now);
        let (came, missing) = forecaster.take_outcomes();
        self.outlook = Outlook { peaks, came, missing, ..Outlook::default() };
    }

    /// Demand of a pool in which the arriving work is limited to what an expected peak may bring.
    ///
    /// At the start of a peak, the extrapolated rise is far above it. Where the peak was expected, its
    /// rate is known better, and a larger one shows in the backlog.
    fn without_extrapolation(&self, pool: &str, demand: &Demand) -> Demand {
        let limit = self.held_peaks.get(pool).map(|(_, rate)| rate * MAX_RATE_PERCENT / 100);
        let arrival_rate = demand.arrival_rate.min(limit.unwrap_or(u64::MAX));
        Demand { arrival_rate, ..demand.clone() }
    }

    /// Machines that a pool should have for a peak that begins within `lead` milliseconds or has just
    /// begun; 0 if none does.
    fn machines_expected(
        &self,
        pool: &str,
        demand: &Demand,
        size: u64,
        lead: u64,
        now: u64,
    ) -> usize {
        let expected =
            self.outlook.peaks.iter().find(|p| p.pool == pool && p.starts_at <= now + lead);
        let begun = self.held_peaks.get(pool).filter(|(until, _)| now < *until);
        let rate = expected.map(|peak| peak.rate).into_iter().chain(begun.map(|(_, rate)| *rate));
        let Some(rate) = rate.max() else { return 0 };
        let demand =
            Demand { arrival_rate: rate * EXPECTED_PERCENT / HEADROOM_PERCENT, ..demand.clone() };
        machines_needed_without_backlog(&demand, size)
    }

    /// Decides which machines move now.
    ///
    /// `standby` is the pool of machines that are switched off, with those of its machines that can
    /// move now. `total` is the number of all machines, and `size` the capacity of one in
    /// thousandths of a core.
    pub fn plan_moves(
        &mut self,
        pools: &IndexMap<String, Demand>,
        standby: Option<(&str, &[String])>,
        total: usize,
        size: u64,
        now: u64,
    ) -> Vec<MachineMove> {
        // Between peaks, a pool keeps an even share of the machines for the start of its next peak.
        // It keeps half of that share even while the demand of another pool peaks.
        let even_share = total / pools.len().max(1);
        let calm = self.is_calm(pools, size, even_share / 2, now);
        self.update_outlook(pools, even_share, size, now);
        let has_forecast = !self.outlook.peaks.is_empty();
        if has_forecast {
            self.forecast_until = Some(now);
        }
        // Peaks that are no longer forecast find the machines in the pools, as without a forecast.
        let restores_shares = self.forecast_until.is_some_and(|at| now >= at + FORECAST_LAPSE_MS);
        // With a forecast, the machines of a pool whose peak is far away wait on standby.
        let (share, reserve) = if has_forecast {
            let far_share = even_share * FAR_SHARE_PERCENT / 100;
            (far_share, far_share)
        } else {
            (even_share, even_share / 2)
        };
        let mut states: Vec<PoolState<'_>> = pools
            .iter()
            .map(|(name, demand)| {
                let demand = &self.without_extrapolation(name, demand);
                let need = machines_needed(demand, size);
                let late_need = machines_with_late_work(demand, size);
                let expected = self.machines_expected(name, demand, size, PEAK_LEAD_MS, now);
                let keep = need.max(share).max(expected).max(if calm { late_need } else { 0 });
                let surplus = demand.machines > keep;
                let unused = demand.machines > keep.max(late_need);
                let removable: VecDeque<&String> = pools[name].removable.iter().collect();
                PoolState {
                    name,
                    machines: demand.machines,
                    need,
                    late_need,
                    keep_while_others_lack: need.max(expected).max(reserve),
                    firm_need: machines_needed_without_backlog(demand, size),
                    reserve: reserve.max(expected),
                    expected,
                    keep,
                    surplus_persists: persists(&mut self.surplus_since, name, surplus, now),
                    unused_persist: persists(&mut self.unused_since, name, unused, now),
                    removable,
                    idle: demand.idle,
                }
            })
            .collect();
        let mut standby_machines: VecDeque<&String> =
            standby.map(|(_, machines)| machines.iter().collect()).unwrap_or_default();
        let standby_pool = standby.map_or("", |(pool, _)| pool);
        let mut moves = Vec::new();
        let mut add_move = |machine: &String, from: &str, to: &str| {
            moves.push(MachineMove {
                machine: machine.clone(),
                from: from.to_owned(),
                to: to.to_owned(),
            });
        };
        // The pool with the largest shortage gets the next machine.
        while let Some(to) =
            pool_with_most(&states, |state| state.need.saturating_sub(state.machines))
        {
            if let Some(machine) = standby_machines.pop_front() {
                add_move(machine, standby_pool, states[to].name);
            } else {
                let from = pool_with_most(&states, |state| {
                    state.available_above(state.keep_while_others_lack)
                });
                let Some(from) = from else { break };
                let Some(machine) = states[from].release_machine() else { break };
                add_move(machine, states[from].name, states[to].name);
            }
            states[to].machines += 1;
        }
        // A backlog beside idle machines consists of later steps of running jobs. These machines
        // are of more use in a pool that lacks machines for its arriving work.
        while let Some(to) =
            pool_with_most(&states, |state| state.firm_need.saturating_sub(state.machines))
        {
            let from = pool_with_most(&states, |state| {
                state.available_above(state.firm_need.max(state.reserve)).min(state.idle)
            });
            let Some(from) = from else { break };
            let Some(machine) = states[from].release_machine() else { break };
            add_move(machine, states[from].name, states[to].name);
            states[to].machines += 1;
        }
        // A pool whose peak is about to begin gets machines ahead of it. A wrong forecast must not
        // disturb running work, so only idle machines move.
        let mut moved_ahead: IndexMap<String, u64> = IndexMap::new();
        while let Some(to) =
            pool_with_most(&states, |state| state.expected.saturating_sub(state.machines))
        {
            let idle_in = pool_with_most(&states, |state| {
                state.available_above(state.keep_while_others_lack).min(state.idle)
            });
            if let Some(from) = idle_in {
                let Some(machine) = states[from].release_machine() else { break };
                add_move(machine, states[from].name, states[to].name);
            } else {
                let Some(machine) = standby_machines.pop_front() else { break };
                add_move(machine, standby_pool, states[to].name);
            }
            states[to].machines += 1;
            *moved_ahead.entry(states[to].name.clone()).or_default() += 1;
        }
        self.outlook.moved_ahead = moved_ahead;
        // Then the pools return to their even shares, and the remaining machines go to standby.
        while let Some(to) =
            pool_with_most(&states, |state| state.keep.saturating_sub(state.machines))
        {
            let from = pool_with_most(&states, |s| {
                if s.surplus_persists { s.available_above(s.keep) } else { 0 }
            });
            if let Some(from) = from {
                let Some(machine) = states[from].release_machine() else { break };
                add_move(machine, states[from].name, states[to].name);
            } else {
                if !restores_shares {
                    break;
                }
                let Some(machine) = standby_machines.pop_front() else { break };
                add_move(machine, standby_pool, states[to].name);
            }
            states[to].machines += 1;
        }
        if restores_shares && states.iter().all(|state| state.machines >= state.keep) {
            self.forecast_until = None;
        }
        // Late work gets what is left.
        while let Some(to) =
            pool_with_most(&states, |state| state.late_need.saturating_sub(state.machines))
        {
            if let Some(machine) = standby_machines.pop_front() {
                add_move(machine, standby_pool, states[to].name);
            } else {
                let from = pool_with_most(&states, |s| {
                    let least = s.keep_while_others_lack.max(s.late_need);
                    if calm { s.available_above(least).min(s.idle) } else { 0 }
                });
                let Some(from) = from else { break };
                let Some(machine) = states[from].release_machine() else { break };
                add_move(machine, states[from].name, states[to].name);
            }
            states[to].machines += 1;
        }
        if standby.is_some() {
            // Machines that a peak needs before a move to standby pays stay where they are.
            let soon = PEAK_LEAD_MS + MOVE_WORTH_MS;
            let missing = states.iter().map(|state| {
                let demand = &pools[state.name];
                let expected = self.machines_expected(state.name, demand, size, soon, now);
                expected.saturating_sub(state.machines)
            });
            let kept = missing.sum::<usize>();
            let mut idle: usize = states.iter().map(|s| s.idle).sum();
            while (kept == 0 || idle > kept)
                && let Some(from) = pool_with_most(&states, |s| {
                    if s.unused_persist { s.available_above(s.keep.max(s.late_need)) } else { 0 }
                })
            {
                let Some(machine) = states[from].release_machine() else { break };
                idle = idle.saturating_sub(1);
                add_move(machine, states[from].name, standby_pool);
            }
        }
        moves
    }

    /// Whether no pool has had a peak for [`CALM_MS`].
    fn is_calm(
        &mut self,
        pools: &IndexMap<String, Demand>,
        size: u64,
        reserve: usize,
        now: u64,
    ) -> bool {
        if pools.values().any(|demand| has_peak(demand, size, reserve)) {
            self.calm_since = None;
            return false;
        }
        now >= *self.calm_since.get_or_insert(now) + CALM_MS
    }
}

/// Whether a pool has had more machines than needed for [`SURPLUS_HOLD_MS`]; `since` keeps the start
/// of that time.
fn persists(since: &mut IndexMap<String, u64>, pool: &str, surplus: bool, now: u64) -> bool {
    if !surplus {
        since.swap_remove(pool);
        return false;
    }
    now >= *since.entry(pool.to_owned()).or_insert(now) + SURPLUS_HOLD_MS
}

/// Working state of a pool while moves are planned.
struct PoolState<'a> {
    name: &'a String,
    machines: usize,
    /// Machines needed for arriving, running and waiting work that can be in time.
    need: usize,
    /// Machines that the pool can use, late work included.
    late_need: usize,
    /// Machines that the pool keeps while other pools lack machines.
    keep_while_others_lack: usize,
    /// Machines needed for arriving and running work.
    firm_need: usize,
    /// Machines that the pool keeps in any case.
    reserve: usize,
    /// Machines for an expected peak; 0 if none is near.
    expected: usize,
    /// Machines to keep between peaks: the need, or an even share if that is larger. While no pool has
    /// a peak, the need includes late work.
    keep: usize,
    /// Whether the pool has been larger than `keep` for [`SURPLUS_HOLD_MS`].
    surplus_persists: bool,
    /// Whether the pool has been larger than `keep` and `late_need` for that time.
    unused_persist: bool,
    removable: VecDeque<&'a String>,
    /// Number of removable machines without runs.
    idle: usize,
}

impl<'a> PoolState<'a> {
    /// Number of machines that the pool can release and still keep `least`.
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

/// Index of the pool with the largest measure; `None` if the measure is 0 for all pools.
fn pool_with_most(
    states: &[PoolState<'_>],
    measure: impl Fn(&PoolState<'_>) -> usize,
) -> Option<usize> {
    let (index, amount) =
        states.iter().map(&measure).enumerate().max_by_key(|(_, amount)| *amount)?;
    (amount > 0).then_some(index)
}
