//! Simulation of pools whose sizes follow their work: a cell for each pool, the rebalancer, and
//! machines that take a while to move.

use indexmap::{IndexMap, IndexSet};
use jobs::cell::{Arrival, Order, StartOutcome};
use jobs::share::{Demand, MachineMove, Rebalancer};
use jobs::worker::{EndedRun, PresentRun};
use jobs::{
    Cell, CellConfig, ExecutorReport, Job, Progress, Queue, Registration, Resources, RunOutcome,
    Step, TaskId,
};

/// Step of the simulated clock, in milliseconds.
const TICK_MS: u64 = 25;
/// Interval between two polls of an executor, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;
/// Interval between two rounds of the rebalancer, in milliseconds.
const ROUND_INTERVAL_MS: u64 = 150;
/// Duration of a machine's move, in milliseconds.
const MOVE_MS: u64 = 1_500;
/// Time until a crashed executor is up again, in milliseconds.
const RESTART_MS: u64 = 2_500;
/// Time after which a machine without an executor counts as unusable, in milliseconds.
const LONG_DOWN_MS: u64 = 4_000;
/// Time after the end of the traffic in which accepted jobs have to end, in milliseconds.
const FINISH_MS: u64 = 14_000;
/// Start of the simulation, in milliseconds.
const START_MS: u64 = 60_000;
/// Name of the pool on standby.
const STANDBY: &str = "standby";
/// Resources of a machine.
const MACHINE: Resources = Resources { cpu: 16_000, memory: 64_000, gpus: 0 };

/// A run on a simulated executor.
struct Run {
    task: TaskId,
    run: u64,
    /// Time of its end, in milliseconds; none for a long-running task.
    ends: Option<u64>,
}

/// A simulated machine and its executor.
#[derive(Default)]
struct Machine {
    pool: String,
    /// Incarnation of its executor; empty while it is down, moves or is on standby.
    executor: String,
    /// Pool that it moves to.
    moving_to: Option<String>,
    /// Time at which an executor starts, in milliseconds; none while one is up or none starts.
    starts_at: Option<u64>,
    /// Time of its last crash, in milliseconds.
    crashed_at: u64,
    runs: Vec<Run>,
    ended: Vec<EndedRun>,
    ended_count: u64,
}

/// A simulated fleet.
struct Fleet {
    now: u64,
    cells: IndexMap<String, Cell>,
    machines: IndexMap<String, Machine>,
    rebalancer: Rebalancer,
    /// Number of executors started so far.
    incarnations: usize,
    moves: Vec<MachineMove>,
}

impl Fleet {
    /// Creates a fleet with a number of machines in each pool.
    fn new(pools: &[(&str, usize)]) -> Self {
        let mut fleet = Self {
            now: START_MS,
            cells: IndexMap::new(),
            machines: IndexMap::new(),
            rebalancer: Rebalancer::default(),
            incarnations: 0,
            moves: Vec::new(),
        };
        for (pool, count) in pools {
            if *pool != STANDBY {
                fleet.cells.insert((*pool).to_owned(), new_cell());
            }
            for n in 0..*count {
                let starts_at = (*pool != STANDBY).then_some(START_MS);
                let machine = Machine { pool: (*pool).to_owned(), starts_at, ..Machine::default() };
                fleet.machines.insert(format!("{pool}-{n}"), machine);
            }
        }
        fleet
    }

    /// Submits a job that a client first requested `waited` milliseconds ago.
    fn submit(&mut self, pool: &str, id: &str, steps: Vec<Step>, waited: u64) {
        self.cells[pool].admit(Arrival {
            id: id.to_owned(),
            part: "q".to_owned(),
            queue: "q".to_owned(),
            job: Job { payload: String::new(), steps, schedule: None },
            progress: Progress::default(),
            requested_at: self.now - waited,
            inherited: false,
            start_blocked: false,
            organisation: None,
        });
    }

    /// Ends a machine's executor with its runs; it starts again after [`RESTART_MS`].
    fn crash(&mut self, name: &str) {
        let machine = &mut self.machines[name];
        let executor = std::mem::take(&mut machine.executor);
        machine.runs.clear();
        machine.ended.clear();
        if executor.is_empty() {
            return;
        }
        machine.starts_at = Some(self.now + RESTART_MS);
        machine.crashed_at = self.now;
        let cell = &mut self.cells[&machine.pool];
        cell.unlist(&executor);
        cell.mark_dead(&executor, self.now);
    }

    /// Ends a machine's executor for good.
    fn break_down(&mut self, name: &str) {
        self.crash(name);
        self.machines[name].starts_at = None;
    }

    /// Machines of a pool whose executors are up.
    fn up(&self, pool: &str) -> usize {
        self.machines.values().filter(|m| m.pool == pool && !m.executor.is_empty()).count()
    }

    fn job_count(&self, pool: &str) -> usize {
        self.cells[pool].job_count()
    }

    /// Advances the clock by a tick.
    fn step(&mut self) {
        self.now += TICK_MS;
        self.start_executors();
        self.poll_executors();
        for pool in self.cells.keys().cloned().collect::<Vec<_>>() {
            let cell = &mut self.cells[&pool];
            cell.confirm_ownership(self.now);
            for order in cell.tick(self.now, self.now) {
                let Order::Start { worker, task, run, .. } = order else { continue };
                let ends = estimate(&task).map(|duration| self.now + duration);
                let machine = self.machines.values_mut().find(|m| m.executor == worker).unwrap();
                machine.runs.push(Run { task: task.clone(), run, ends });
                cell.handle_start_outcome(
                    &worker,
                    &task,
                    run,
                    StartOutcome::Running(self.now),
                    self.now,
                );
            }
            let (_, flush) = cell.take_changes();
            cell.flush_done(&flush);
        }
        if self.now.is_multiple_of(ROUND_INTERVAL_MS) {
            self.plan_moves();
        }
        self.continue_moves();
    }

    /// Advances the clock by a duration in milliseconds.
    fn run_for(&mut self, duration: u64) {
        for _ in 0..duration / TICK_MS {
            self.step();
        }
    }

    fn start_executors(&mut self) {
        for machine in self.machines.values_mut() {
            if machine.starts_at.is_none_or(|at| self.now < at) {
                continue;
            }
            machine.starts_at = None;
            if let Some(pool) = machine.moving_to.take() {
                machine.pool = pool;
            }
            self.incarnations += 1;
            machine.executor = format!("i-{}", self.incarnations);
            machine.ended_count = 0;
            self.cells[&machine.pool].register(Registration {
                id: machine.executor.clone(),
                pool: machine.pool.clone(),
                address: machine.executor.clone(),
                ready: true,
                capacity: MACHINE,
                ..Registration::default()
            });
        }
    }

    fn poll_executors(&mut self) {
        if !self.now.is_multiple_of(POLL_INTERVAL_MS) {
            return;
        }
        let now = self.now;
        for machine in self.machines.values_mut().filter(|m| !m.executor.is_empty()) {
            for run in machine.runs.extract_if(.., |run| run.ends.is_some_and(|at| at <= now)) {
                machine.ended_count += 1;
                machine.ended.push(EndedRun {
                    sequence: machine.ended_count,
                    task: run.task,
                    run: run.run,
                    outcome: RunOutcome::Done,
                    checkpoint: String::new(),
                });
            }
            let present = machine.runs.iter().map(|run| PresentRun {
                task: run.task.clone(),
                run: run.run,
                checkpoint: String::new(),
                percent: run.ends.map_or(100, |at| 100 - (at - now) * 100 / TASK_MS),
                gauge: 0,
            });
            let report = ExecutorReport {
                clock: now,
                present: present.collect(),
                ended: std::mem::take(&mut machine.ended),
            };
            self.cells[&machine.pool].handle_poll(&machine.executor, &report, now, now);
        }
    }

    /// Demand of a pool, as the holder of the fleet's duties sees it.
    fn demand(&self, pool: &str) -> Demand {
        let cell = &self.cells[pool];
        let limits = cell.shrink_limits();
        let name = |id: &String| {
            let found = self.machines.iter().find(|(_, m)| m.executor == *id)?;
            found.1.moving_to.is_none().then(|| found.0.clone())
        };
        let machines = self.machines.values().filter(|m| match &m.moving_to {
            Some(to) => to == pool,
            None => m.pool == pool,
        });
        let is_down = |m: &&Machine| {
            m.moving_to.is_none()
                && m.executor.is_empty()
                && self.now >= m.crashed_at + LONG_DOWN_MS
        };
        Demand {
            backlog: cell.backlog(self.now).0,
            long_running: limits.long_running_cpu,
            used: cell.useful_cpu(self.now),
            late: cell.late_cpu(self.now),
            min_machines: limits.min_executors,
            machines: machines.clone().count(),
            unusable: machines.filter(is_down).count() + cell.unusable_executors(self.now),
            idle: limits.spares.iter().take(limits.idle).filter_map(name).count(),
            removable: limits.spares.iter().filter_map(name).collect(),
            ..Demand::default()
        }
    }

    fn plan_moves(&mut self) {
        let pools: IndexMap<String, Demand> =
            self.cells.keys().map(|pool| (pool.clone(), self.demand(pool))).collect();
        let on_standby = |m: &Machine| m.pool == STANDBY && m.moving_to.is_none();
        let standby: Vec<String> = self
            .machines
            .iter()
            .filter(|(_, m)| on_standby(m))
            .map(|(name, _)| name.clone())
            .collect();
        let moves = self.rebalancer.plan_moves(
            &pools,
            Some((STANDBY, &standby)),
            self.machines.len(),
            MACHINE.cpu,
            self.now,
        );
        for machine_move in &moves {
            let machine = &mut self.machines[&machine_move.machine];
            machine.moving_to = Some(machine_move.to.clone());
            if machine_move.from == STANDBY {
                machine.starts_at = Some(self.now + MOVE_MS);
            }
        }
        self.moves.extend(moves);
    }

    /// Empties the executors of machines that move, then takes them down.
    fn continue_moves(&mut self) {
        for (pool, cell) in &mut self.cells {
            let leaving = |m: &&mut Machine| {
                m.pool == *pool && m.moving_to.is_some() && !m.executor.is_empty()
            };
            let mut executors = IndexSet::new();
            for machine in self.machines.values_mut().filter(leaving) {
                executors.insert(machine.executor.clone());
            }
            cell.set_leaving(executors.clone());
            for machine in self.machines.values_mut().filter(leaving) {
                if !cell.is_drained(&machine.executor) {
                    continue;
                }
                let executor = std::mem::take(&mut machine.executor);
                cell.unlist(&executor);
                cell.mark_dead(&executor, self.now);
                if machine.moving_to.as_deref() == Some(STANDBY) {
                    STANDBY.clone_into(&mut machine.pool);
                    machine.moving_to = None;
                } else {
                    machine.starts_at = Some(self.now + MOVE_MS);
                }
            }
        }
    }
}

fn new_cell() -> Cell {
    let config = CellConfig {
        lease: 6_000,
        inherited_lease: 16_000,
        stop_timeout: 900,
        early_start: 0,
        term: 1,
    };
    let mut cell = Cell::new(config, START_MS);
    let queue = Queue {
        name: "q".to_owned(),
        max_attempts: 3,
        stretch: 1_600,
        objective_base: 600,
        ..Queue::default()
    };
    cell.configure(std::iter::once(&queue));
    cell
}

/// Duration of a task that ends, in milliseconds.
const TASK_MS: u64 = 1_000;
/// Start of the ids of long-running jobs.
const LASTING: &str = "lasting";

/// Duration of a task, in milliseconds; none for a long-running one.
fn estimate(task: &TaskId) -> Option<u64> {
    (!task.job.starts_with(LASTING)).then_some(TASK_MS)
}

fn step(count: u32, cpu: u64, memory: u64) -> Step {
    Step {
        count,
        resources: Resources { cpu, memory, gpus: 0 },
        estimate: TASK_MS,
        ..Step::default()
    }
}

/// Objectives of such jobs are 2.2 s; results are of use for 6.6 s.
const LATE_MS: u64 = 3_000;
const USELESS_MS: u64 = 10_000;

/// Submits late jobs with a number of core-seconds of work in all.
fn submit_late_jobs(fleet: &mut Fleet, pool: &str, work: u32) {
    for n in 0..work / 8 {
        let waited = if n % 2 == 0 { LATE_MS } else { USELESS_MS };
        fleet.submit(pool, &format!("late-{n}"), vec![step(4, 2_000, 100)], waited);
    }
}

#[test]
fn accepted_jobs_that_are_late_end_in_time_beside_idle_machines_of_other_pools() {
    // Each pool has its even share.
    let mut fleet = Fleet::new(&[("late", 4), ("b", 4), ("c", 4), ("d", 4), (STANDBY, 1)]);
    submit_late_jobs(&mut fleet, "late", 1_000);
    for n in 0..4 {
        fleet.run_for(1_000);
        fleet.crash(&format!("late-{n}"));
    }
    fleet.run_for(FINISH_MS - 4_000);
    assert_eq!(fleet.job_count("late"), 0, "jobs that have not ended; moves {:?}", fleet.moves);
    // Then the machines return.
    fleet.run_for(8_000);
    assert_eq!((fleet.up("late"), fleet.up("b")), (4, 4), "moves {:?}", fleet.moves);
}

#[test]
fn late_jobs_end_in_time_although_most_machines_of_their_pool_are_down() {
    let mut fleet = Fleet::new(&[("late", 8), ("b", 8), ("c", 8), ("d", 8), (STANDBY, 1)]);
    submit_late_jobs(&mut fleet, "late", 400);
    fleet.run_for(500);
    (1..8).for_each(|n| fleet.break_down(&format!("late-{n}")));
    fleet.run_for(FINISH_MS - 500);
    assert_eq!(fleet.job_count("late"), 0, "jobs that have not ended; moves {:?}", fleet.moves);
}

/// A crashed executor is back sooner than another machine can replace it, and a task that crashes
/// executors would crash those of further machines too.
#[test]
fn machines_whose_executors_restart_are_not_replaced() {
    let mut fleet = Fleet::new(&[("late", 8), ("b", 8), ("c", 8), ("d", 8), (STANDBY, 1)]);
    submit_late_jobs(&mut fleet, "late", 80);
    for _ in 0..20 {
        fleet.run_for(500);
        (0..8).for_each(|n| fleet.crash(&format!("late-{n}")));
    }
    assert!(fleet.moves.is_empty(), "{:?}", fleet.moves);
}

#[test]
fn silent_and_excluded_executors_count_as_unusable_but_not_after_one_lost_answer() {
    let mut fleet = Fleet::new(&[("late", 3)]);
    fleet.submit("late", "job", vec![step(3, 1_000, 100)], 0);
    fleet.run_for(500);
    let (now, cell) = (fleet.now, &mut fleet.cells["late"]);
    let is_idle = |id: &String| cell.workers()[id].runs.is_empty();
    let (idle, busy): (Vec<String>, Vec<String>) =
        cell.workers().keys().cloned().partition(is_idle);
    // All three tasks fail on one executor.
    let failed = |(n, task): (u64, &TaskId)| EndedRun {
        sequence: n,
        task: task.clone(),
        run: 1,
        outcome: RunOutcome::Failed,
        checkpoint: String::new(),
    };
    let tasks = cell.workers()[&busy[0]].runs.keys();
    let report = ExecutorReport {
        clock: now,
        ended: (1..).zip(tasks).map(failed).collect(),
        ..ExecutorReport::default()
    };
    cell.handle_poll(&busy[0], &report, now, now);
    assert_eq!(cell.unusable_executors(now + 300), 1);
    cell.handle_no_answer(&idle[0]);
    assert_eq!(cell.unusable_executors(now + 300), 1, "one lost answer");
    for id in [&busy[0], &idle[1]] {
        let report = ExecutorReport { clock: now + 4_000, ..ExecutorReport::default() };
        cell.handle_poll(id, &report, now + 4_000, now + 4_000);
    }
    assert_eq!(cell.unusable_executors(now + 4_000), 1, "the exclusion is over");
    cell.set_leaving(IndexSet::from([idle[0].clone()]));
    assert_eq!(cell.unusable_executors(now + 4_000), 0);
}

#[test]
fn a_pool_gets_the_machines_that_its_long_running_tasks_need_for_their_memory() {
    let mut fleet = Fleet::new(&[("lasting", 3), ("b", 3), ("c", 3), ("d", 3), (STANDBY, 5)]);
    let task = |memory| Step { long_running: true, ..step(4, 1_000, memory) };
    fleet.submit("lasting", LASTING, vec![task(34_000), task(12_000), task(25_000)], 0);
    fleet.run_for(5_000);
    assert_eq!(fleet.cells["lasting"].waiting_tasks(0, fleet.now), []);
    let moved = fleet.moves.len();
    fleet.run_for(10_000);
    assert_eq!(fleet.moves.len(), moved, "{:?}", fleet.moves);
}

fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|n| format!("{prefix}{n}")).collect()
}

/// A pool whose machines are all idle.
fn idle_pool(name: &str, machines: usize) -> (String, Demand) {
    let removable = names(name, machines);
    (name.to_owned(), Demand { machines, idle: machines, removable, ..Demand::default() })
}

/// A pool with an even share of the machines, all in use, and late work for twice as many.
fn late_pool(machines: usize) -> (String, Demand) {
    let late = 2 * machines as u64 * MACHINE.cpu;
    ("late".to_owned(), Demand { machines, late, ..Demand::default() })
}

/// Plans moves every 500 ms and returns those of the last round.
fn moves_after(
    pools: &IndexMap<String, Demand>,
    standby: &[String],
    duration: u64,
) -> Vec<MachineMove> {
    let mut rebalancer = Rebalancer::default();
    let total = pools.values().map(|d| d.machines).sum::<usize>() + standby.len();
    let mut plan =
        |now| rebalancer.plan_moves(pools, Some((STANDBY, standby)), total, MACHINE.cpu, now);
    (0..=duration / 500).map(|n| plan(n * 500)).last().unwrap()
}

#[test]
fn late_work_gets_standby_machines_at_once_and_idle_ones_of_even_shares_between_peaks() {
    let pools = IndexMap::from([late_pool(12), idle_pool("b", 12), idle_pool("c", 12)]);
    let standby = names("s", 2);
    let moves = moves_after(&pools, &standby, 0);
    assert!(moves.iter().all(|m| m.from == STANDBY && m.to == "late"), "{moves:?}");
    assert_eq!(moves.len(), 2);
    let moves = moves_after(&pools, &standby, 4_000);
    assert!(moves.iter().all(|m| m.to == "late"), "{moves:?}");
    // The others keep half of their even shares.
    assert_eq!(moves.len(), 12, "{moves:?}");
}

#[test]
fn late_work_takes_no_machine_while_another_pool_has_a_peak() {
    let (name, idle) = idle_pool("peak", 12);
    let peak = Demand { arrival_rate: 30 * MACHINE.cpu, idle: 0, removable: Vec::new(), ..idle };
    let pools = IndexMap::from([late_pool(12), (name, peak), idle_pool("c", 12)]);
    for duration in [0, 4_000, 20_000] {
        let moves = moves_after(&pools, &names("s", 2), duration);
        assert!(moves.iter().all(|m| m.to == "peak"), "{moves:?}");
        assert_eq!(moves.len(), 8, "two on standby, and half of an even share: {moves:?}");
    }
}

#[test]
fn machines_with_late_work_go_to_a_pool_whose_peak_begins() {
    let (name, mut late) = late_pool(24);
    late.removable = names("l", 24);
    let (next, idle) = idle_pool("peak", 6);
    let peak = Demand { arrival_rate: 30 * MACHINE.cpu, ..idle };
    let pools = IndexMap::from([(name, late), (next, peak), idle_pool("c", 6)]);
    let moves = moves_after(&pools, &[], 0);
    assert!(moves.iter().all(|m| m.from == "late" && m.to == "peak"), "{moves:?}");
    assert_eq!(moves.len(), 18, "{moves:?}");
}

#[test]
fn late_work_that_falls_and_rises_moves_no_machines_back_and_forth() {
    let mut rebalancer = Rebalancer::default();
    let mut pools = IndexMap::from([late_pool(13), idle_pool("b", 12), idle_pool("c", 12)]);
    pools["late"].removable = names("l", 13);
    let mut plan = |late: u64, now| {
        pools["late"].late = late * MACHINE.cpu;
        rebalancer.plan_moves(&pools, Some((STANDBY, &[])), 37, MACHINE.cpu, now)
    };
    for now in (0..2_000).step_by(500) {
        assert_eq!(plan(13, now), []);
    }
    assert_eq!(plan(5, 2_000), []);
    assert_eq!(plan(13, 2_500), []);
    assert_eq!(plan(5, 3_000), []);
    assert_eq!(plan(5, 4_200).len(), 1, "the machine from standby returns");
}

#[test]
fn late_work_that_cannot_use_more_machines_gets_none() {
    let mut fleet = Fleet::new(&[("late", 4), ("b", 4), ("c", 4), ("d", 4), (STANDBY, 1)]);
    // 320 core-seconds in a chain of single tasks.
    let chain = (0..20).map(|n: usize| Step {
        depends_on: n.checked_sub(1).into_iter().collect(),
        ..step(1, MACHINE.cpu, 100)
    });
    fleet.submit("late", "chain", chain.collect(), START_MS);
    fleet.run_for(10_000);
    assert!(fleet.moves.is_empty(), "{:?}", fleet.moves);
}

#[test]
fn a_late_gang_gets_as_many_machines_as_it_needs_at_once() {
    let mut fleet = Fleet::new(&[("late", 4), ("b", 4), ("c", 4), ("d", 4), (STANDBY, 1)]);
    fleet.submit("late", "gang", vec![Step { gang: true, ..step(7, 16_000, 100) }], USELESS_MS);
    fleet.run_for(FINISH_MS);
    assert_eq!(fleet.job_count("late"), 0, "moves {:?}", fleet.moves);
}
