//! Replay of a day without a network: the queues of several pools peak in turn, and machines move
//! between the pools and standby as the rebalancer decides.

use std::collections::VecDeque;

use indexmap::IndexMap;
use jobs::share::{Demand, Inflow, MachineMove, Rebalancer};

use crate::dice::SeededRng;

/// Step of the simulated clock, in milliseconds.
const TICK_MS: u64 = 50;
/// Interval between two publications of a pool's state, in milliseconds.
const PUBLISH_INTERVAL_MS: u64 = 250;
/// Time from the publication of a state to its use, in milliseconds.
const READ_DELAY_MS: u64 = 150;
/// Age above which a pool's state is not used, in milliseconds.
const MAX_LOAD_AGE_MS: u64 = 2_500;
/// Interval between two rounds of the rebalancer, in milliseconds.
const ROUND_INTERVAL_MS: u64 = 150;
/// Time from the order for a machine to its new executor, in milliseconds.
const MOVE_MS: u64 = 1_500;
/// Time from the start of an executor to its first task, in milliseconds.
const FIRST_TASK_MS: u64 = 300;
/// CPU of a machine, in thousandths of a core.
const MACHINE_CPU: u64 = 32_000;
/// CPU of a machine that long-running tasks use, in thousandths of a core.
const LONG_RUNNING_CPU: u64 = 24_000;
/// Costs and income in thousandths: a machine's second in a pool, a move, a core-second in time.
const COSTS: (f64, f64, f64) = (0.022, 0.025, 0.017);
/// Longest gap between two arrivals that is drawn at once, in milliseconds.
const MAX_GAP_MS: f64 = 500.0;
/// Name of the pool on standby.
pub const STANDBY: &str = "standby";

/// A day of the replay.
#[derive(Clone)]
pub struct Day {
    /// Seed of the arrivals and of the jobs' sizes.
    pub seed: u64,
    /// Machines of each pool and mean demand of its queue in cores.
    pub pools: Vec<(usize, f64)>,
    /// Machines on standby.
    pub standby: usize,
    /// Duration of a peak, in milliseconds; 0 for even demand.
    pub peak_ms: u64,
    /// Start of the first peak, in milliseconds.
    pub first_peak_ms: u64,
    /// Time between the ends of two cycles of peaks and the next, in milliseconds.
    pub pause_ms: u64,
    /// Duration of the day, in milliseconds.
    pub day_ms: u64,
    /// Numbers of the peaks that do not come, from 0.
    pub missed: Vec<u64>,
    /// Numbers of the peaks that are larger, and their factor.
    pub larger: Vec<(u64, f64)>,
    /// Bursts beside the peaks: pool, start in milliseconds, and factor; each lasts 2 s.
    pub bursts: Vec<(usize, u64, f64)>,
    /// Times between which no state of a pool can be read, in milliseconds.
    pub outages: Vec<(u64, u64)>,
    /// Whether the order of the peaks is random.
    pub shuffled: bool,
}

impl Day {
    /// Four pools whose queues peak in turn for 4 s each.
    pub fn in_turn(seed: u64) -> Self {
        Self {
            seed,
            pools: vec![(61, 430.0), (69, 520.0), (78, 610.0), (85, 700.0)],
            standby: 56,
            peak_ms: 4_000,
            first_peak_ms: seed % 4 * 1_000,
            pause_ms: 0,
            day_ms: 41_000,
            missed: Vec::new(),
            larger: Vec::new(),
            bursts: Vec::new(),
            outages: Vec::new(),
            shuffled: false,
        }
    }

    /// Demand of a queue at a time, relative to its mean.
    fn factor(&self, pool: usize, now: u64) -> f64 {
        let burst =
            self.bursts.iter().find(|(p, at, _)| *p == pool && (*at..at + 2_000).contains(&now));
        let burst = burst.map_or(1.0, |(.., factor)| *factor);
        if self.peak_ms == 0 {
            return burst;
        }
        let count = self.pools.len() as u64;
        let cycle = count * self.peak_ms + self.pause_ms;
        let Some(since) = now.checked_sub(self.first_peak_ms) else { return 0.05 * burst };
        let (round, slot) = (since / cycle, since % cycle / self.peak_ms);
        let number = round * count + slot;
        let peaking = if self.shuffled {
            SeededRng(self.seed * 1_000 + number * 7_919).uniform() * count as f64
        } else {
            slot as f64
        } as usize;
        if slot >= count || peaking != pool || self.missed.contains(&number) {
            return 0.05 * burst;
        }
        let larger = self.larger.iter().find(|(n, _)| *n == number).map_or(1.0, |(_, f)| *f);
        5.0 * larger * burst
    }
}

/// Figures of a replayed day.
#[derive(Debug, Clone, Copy, Default)]
pub struct Figures {
    /// Core-seconds that arrived, without long-running tasks.
    pub offered: f64,
    /// Core-seconds of jobs that ended in time.
    pub served: f64,
    /// Seconds of machines in pools that are not on standby.
    pub pool_seconds: f64,
    /// Seconds of executors without runs.
    pub idle_seconds: f64,
    /// Moves begun.
    pub moves: usize,
}

impl Figures {
    /// Income less the costs.
    pub fn worth(&self) -> f64 {
        self.served * COSTS.2 - self.pool_seconds * COSTS.0 - self.moves as f64 * COSTS.1
    }

    /// Adds the figures of another day.
    pub fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.served += other.served;
        self.pool_seconds += other.pool_seconds;
        self.idle_seconds += other.idle_seconds;
        self.moves += other.moves;
    }
}

impl std::fmt::Display for Figures {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "offered {:.0} served {:.0} ({:.1} %), pool {:.0} s, idle {:.0} s, moves {}, worth {:.0}",
            self.offered,
            self.served,
            100.0 * self.served / self.offered,
            self.pool_seconds,
            self.idle_seconds,
            self.moves,
            self.worth()
        )
    }
}

/// A job of one step.
struct SimJob {
    waiting: u32,
    running: u32,
    cpu: u64,
    duration: u64,
    objective: u64,
    work: u64,
}

/// A machine and its executor.
struct SimMachine {
    pool: usize,
    moving_to: Option<usize>,
    /// Time at which its order takes effect, in milliseconds.
    arrives: Option<u64>,
    /// Time from which its executor runs tasks, in milliseconds.
    ready: u64,
    long_running: bool,
    used: u64,
    /// Runs: their end, CPU and job.
    runs: Vec<(u64, u64, usize)>,
}

/// State of a pool as its cell publishes it.
#[derive(Clone, Default)]
struct Published {
    at: u64,
    demand: Demand,
    spares: Vec<(String, bool)>,
}

/// Replays a day.
pub struct Replay {
    day: Day,
    rng: SeededRng,
    now: u64,
    rebalancer: Rebalancer,
    machines: IndexMap<String, SimMachine>,
    inflows: Vec<Inflow>,
    next_job: Vec<f64>,
    jobs: Vec<SimJob>,
    /// Jobs with waiting tasks, by pool, in order of their objectives.
    queues: Vec<Vec<usize>>,
    published: Vec<VecDeque<Published>>,
    known: Vec<Published>,
    pub figures: Figures,
    pub moves: Vec<(u64, MachineMove)>,
}

impl Replay {
    pub fn new(day: &Day, rebalancer: Rebalancer) -> Self {
        let mut machines = IndexMap::new();
        let standby = day.pools.len();
        let sizes = day.pools.iter().map(|(size, _)| *size).chain([day.standby]);
        for (pool, size) in sizes.enumerate() {
            for n in 0..size {
                let long_running = pool != standby && n < size / 10;
                let machine = SimMachine {
                    pool,
                    moving_to: None,
                    arrives: None,
                    ready: 0,
                    long_running,
                    used: if long_running { LONG_RUNNING_CPU } else { 0 },
                    runs: Vec::new(),
                };
                machines.insert(format!("p{pool}-{n:03}"), machine);
            }
        }
        let count = day.pools.len();
        Self {
            day: day.clone(),
            rng: SeededRng(day.seed.wrapping_mul(7_777) + 1),
            now: 0,
            rebalancer,
            machines,
            inflows: vec![Inflow::default(); count],
            next_job: vec![0.0; count],
            jobs: Vec::new(),
            queues: vec![Vec::new(); count],
            published: vec![VecDeque::new(); count],
            known: vec![Published::default(); count],
            figures: Figures::default(),
            moves: Vec::new(),
        }
    }

    /// Replays the whole day and returns its figures.
    pub fn run(&mut self) -> Figures {
        while self.now < self.day.day_ms {
            self.step();
        }
        self.figures
    }

    fn step(&mut self) {
        self.now += TICK_MS;
        for pool in 0..self.day.pools.len() {
            self.arrive(pool);
        }
        self.end_runs();
        self.continue_moves();
        for pool in 0..self.day.pools.len() {
            self.assign(pool);
            if self.now.is_multiple_of(PUBLISH_INTERVAL_MS) {
                self.publish(pool);
            }
        }
        if self.now.is_multiple_of(ROUND_INTERVAL_MS) {
            self.plan();
        }
        let standby = self.day.pools.len();
        let tick = TICK_MS as f64 / 1_000.0;
        let in_pool = self.machines.values().filter(|m| m.pool != standby || m.arrives.is_some());
        self.figures.pool_seconds += in_pool.count() as f64 * tick;
        let idle = self.machines.values().filter(|m| {
            m.pool != standby && m.arrives.is_none() && m.runs.is_empty() && !m.long_running
        });
        self.figures.idle_seconds += idle.count() as f64 * tick;
    }

    /// Lets the jobs of a tick arrive.
    fn arrive(&mut self, pool: usize) {
        // Jobs have 2 to 10 tasks of 1 to 4 cores and 0.6 to 2 s: 19.5 core-seconds on average.
        let rate = self.day.pools[pool].1 * self.day.factor(pool, self.now) / 19.5;
        while self.next_job[pool] < self.now as f64 {
            // The rate changes, so a longer gap is drawn again after half a second.
            let gap = self.rng.arrival_gap(rate.max(0.1));
            self.next_job[pool] += gap.min(MAX_GAP_MS);
            if gap > MAX_GAP_MS {
                continue;
            }
            let tasks = 2 + (self.rng.uniform() * 9.0) as u32;
            let cpu = 1_000 * (1 + (self.rng.uniform() * 4.0) as u64);
            let duration = 600 + (self.rng.uniform() * 1_400.0) as u64;
            let work = u64::from(tasks) * cpu * duration;
            self.figures.offered += work as f64 / 1e6;
            self.inflows[pool].add(self.now, work);
            self.jobs.push(SimJob {
                waiting: tasks,
                running: 0,
                cpu,
                duration,
                objective: self.now + duration * 16 / 10 + 600,
                work,
            });
            let id = self.jobs.len() - 1;
            let jobs = &self.jobs;
            let at =
                self.queues[pool].partition_point(|j| jobs[*j].objective <= jobs[id].objective);
            self.queues[pool].insert(at, id);
        }
    }

    fn end_runs(&mut self) {
        let now = self.now;
        for machine in self.machines.values_mut() {
            for (_, cpu, id) in machine.runs.extract_if(.., |(end, ..)| *end <= now) {
                machine.used -= cpu;
                let job = &mut self.jobs[id];
                job.running -= 1;
                if job.running == 0 && job.waiting == 0 && now <= job.objective + TICK_MS {
                    self.figures.served += job.work as f64 / 1e6;
                }
            }
        }
    }

    /// Starts waiting tasks, those with the earliest objective first, where the least CPU is left.
    ///
    /// A job that can't end in time any more is turned away.
    fn assign(&mut self, pool: usize) {
        let now = self.now;
        let jobs = &mut self.jobs;
        let machines = self.machines.values_mut().filter(|m| {
            m.pool == pool && m.arrives.is_none() && m.moving_to.is_none() && m.ready <= now
        });
        let mut machines: Vec<&mut SimMachine> = machines.collect();
        self.queues[pool].retain(|id| {
            let job = &mut jobs[*id];
            if now + job.duration > job.objective {
                job.waiting = u32::MAX;
                return false;
            }
            while job.waiting > 0 {
                let fits = machines.iter_mut().filter(|m| m.used + job.cpu <= MACHINE_CPU);
                let Some(machine) = fits.max_by_key(|m| m.used) else { break };
                machine.used += job.cpu;
                machine.runs.push((now + job.duration, job.cpu, *id));
                job.waiting -= 1;
                job.running += 1;
            }
            job.waiting > 0
        });
    }

    fn publish(&mut self, pool: usize) {
        let now = self.now;
        let jobs = &self.jobs;
        let in_pool = |m: &&SimMachine| m.pool == pool && m.arrives.is_none();
        let long_running =
            self.machines.values().filter(in_pool).filter(|m| m.long_running).count();
        let timely = |(_, cpu, id): &(u64, u64, usize)| {
            if now <= jobs[*id].objective { *cpu } else { 0 }
        };
        let runs = self.machines.values().filter(in_pool).flat_map(|m| &m.runs);
        let backlog = self.queues[pool]
            .iter()
            .map(|id| u64::from(jobs[*id].waiting) * jobs[*id].cpu * jobs[*id].duration);
        let mut spares: Vec<(u64, &String)> = self
            .machines
            .iter()
            .filter(|(_, m)| in_pool(m) && !m.long_running && m.moving_to.is_none())
            .filter(|(_, m)| m.ready <= now)
            .map(|(name, m)| (m.used, name))
            .collect();
        spares.sort();
        let long_running_cpu = long_running as u64 * LONG_RUNNING_CPU;
        let demand = Demand {
            arrival_rate: self.inflows[pool].rate(now),
            backlog: backlog.sum(),
            long_running: long_running_cpu,
            used: long_running_cpu + runs.map(timely).sum::<u64>(),
            min_machines: long_running,
            ..Demand::default()
        };
        let spares = spares.into_iter().map(|(used, name)| (name.clone(), used == 0)).collect();
        self.published[pool].push_back(Published { at: now, demand, spares });
    }

    fn plan(&mut self) {
        let now = self.now;
        if !self.day.outages.iter().any(|(from, to)| (*from..*to).contains(&now)) {
            for (queue, known) in self.published.iter_mut().zip(&mut self.known) {
                while queue.front().is_some_and(|p| p.at + READ_DELAY_MS <= now) {
                    *known = queue.pop_front().unwrap();
                }
            }
        }
        let mut pools = IndexMap::new();
        for (pool, known) in self.known.iter().enumerate() {
            if known.at == 0 || now >= known.at + MAX_LOAD_AGE_MS {
                continue;
            }
            let free = |name: &String| {
                let machine = &self.machines[name];
                machine.pool == pool && machine.moving_to.is_none() && machine.arrives.is_none()
            };
            let machines =
                self.machines.values().filter(|m| m.moving_to.unwrap_or(m.pool) == pool).count();
            let spares = known.spares.iter().filter(|(name, _)| free(name));
            let demand = Demand {
                machines,
                idle: spares.clone().filter(|(_, idle)| *idle).count(),
                removable: spares.map(|(name, _)| name.clone()).collect(),
                ..known.demand.clone()
            };
            pools.insert(format!("p{pool}"), demand);
        }
        let count = self.day.pools.len();
        let on_standby: Vec<String> = self
            .machines
            .iter()
            .filter(|(_, m)| m.pool == count && m.moving_to.is_none() && m.arrives.is_none())
            .map(|(name, _)| name.clone())
            .collect();
        let standby = (self.day.standby > 0).then_some((STANDBY, on_standby.as_slice()));
        let total = self.machines.len();
        let moves = self.rebalancer.plan_moves(&pools, standby, total, MACHINE_CPU, now);
        for machine_move in moves {
            let to = machine_move.to.strip_prefix('p').map_or(count, |n| n.parse().unwrap());
            let machine = &mut self.machines[&machine_move.machine];
            machine.moving_to = Some(to);
            if machine.pool == count {
                machine.arrives = Some(now + MOVE_MS);
            }
            self.figures.moves += 1;
            self.moves.push((now, machine_move));
        }
    }

    /// Orders emptied machines, and lets the ordered ones arrive.
    fn continue_moves(&mut self) {
        let (now, standby) = (self.now, self.day.pools.len());
        for machine in self.machines.values_mut() {
            if machine.moving_to.is_some() && machine.runs.is_empty() && machine.arrives.is_none() {
                machine.arrives =
                    Some(now + if machine.moving_to == Some(standby) { 0 } else { MOVE_MS });
            }
            if machine.arrives.is_some_and(|at| at <= now) {
                machine.arrives = None;
                machine.pool = machine.moving_to.take().unwrap();
                machine.ready = now + FIRST_TASK_MS;
            }
        }
    }
}
