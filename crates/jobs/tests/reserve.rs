//! Tests of reservations for long-running tasks, on executors whose tasks last longer than estimated.

use indexmap::IndexMap;
use jobs::cell::{Arrival, Order, StartOutcome};
use jobs::worker::{EndedRun, PresentRun};
use jobs::{
    Cell, CellConfig, ExecutorReport, Job, Progress, Queue, Registration, Resources, RunOutcome,
    Step, TaskId,
};

/// Interval between two passes, in milliseconds.
const TICK_MS: u64 = 50;
/// Capacity of an executor.
const EXECUTOR: Resources = Resources { cpu: 32_000, memory: 64_000, gpus: 0 };

struct Run {
    task: TaskId,
    run: u64,
    ends: u64,
}

/// A pool whose tasks run for as long as their jobs say.
struct Pool {
    cell: Cell,
    now: u64,
    runs: IndexMap<String, Vec<Run>>,
    sequences: IndexMap<String, u64>,
    durations: IndexMap<String, u64>,
    /// When the first task of each job started, in milliseconds.
    started: IndexMap<String, u64>,
}

impl Pool {
    fn new(executors: usize) -> Self {
        let config = CellConfig {
            lease: 6_000,
            inherited_lease: 16_000,
            stop_timeout: 900,
            early_start: 0,
            term: 1,
        };
        let mut cell = Cell::new(config, 0);
        let queue = Queue {
            name: "q".to_owned(),
            max_attempts: 2,
            stretch: 1_600,
            objective_base: 600,
            ..Queue::default()
        };
        cell.configure(std::iter::once(&queue));
        let names: Vec<String> = (0..executors).map(|n| format!("e{n}")).collect();
        for id in &names {
            cell.register(Registration {
                id: id.clone(),
                pool: "p".to_owned(),
                ready: true,
                capacity: EXECUTOR,
                ..Registration::default()
            });
        }
        let runs = names.into_iter().map(|id| (id, Vec::new())).collect();
        let (sequences, durations, started) = Default::default();
        let mut pool = Self { cell, now: 0, runs, sequences, durations, started };
        pool.run_for(TICK_MS);
        pool
    }

    /// Admits a job of one step, whose tasks take `duration` milliseconds; without end if none.
    fn admit(&mut self, id: &str, step: Step, duration: Option<u64>) {
        self.durations.insert(id.to_owned(), duration.unwrap_or(u64::MAX / 2));
        self.cell.admit(Arrival {
            id: id.to_owned(),
            part: "q".to_owned(),
            queue: "q".to_owned(),
            job: Job { payload: "x".to_owned(), steps: vec![step], schedule: None },
            progress: Progress::default(),
            requested_at: self.now,
            inherited: false,
            start_blocked: false,
            organisation: None,
        });
    }

    fn run_for(&mut self, duration: u64) {
        let until = self.now + duration;
        while self.now < until {
            self.now += TICK_MS;
            self.tick();
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        for (id, runs) in &mut self.runs {
            let mut answer = ExecutorReport { clock: now, ..ExecutorReport::default() };
            for run in runs.extract_if(.., |run| run.ends <= now) {
                let sequence = self.sequences.entry(id.clone()).or_default();
                *sequence += 1;
                answer.ended.push(EndedRun {
                    sequence: *sequence,
                    task: run.task,
                    run: run.run,
                    outcome: RunOutcome::Done,
                    checkpoint: String::new(),
                });
            }
            answer.present = runs
                .iter()
                .map(|run| PresentRun {
                    task: run.task.clone(),
                    run: run.run,
                    checkpoint: String::new(),
                    percent: 0,
                    gauge: 0,
                })
                .collect();
            self.cell.grant_lease(id, now);
            self.cell.handle_poll(id, &answer, now, now);
        }
        for order in self.cell.tick(now, now) {
            let Order::Start { worker, task, run, .. } = order else { continue };
            let ends = now + self.durations[&task.job];
            self.started.entry(task.job.clone()).or_insert(now);
            self.cell.handle_start_outcome(&worker, &task, run, StartOutcome::Running(now), now);
            self.runs[&worker].push(Run { task, run, ends });
        }
        for (id, runs) in &self.runs {
            assert!(self.cell.workers()[id].is_within_capacity(), "{} runs on {id}", runs.len());
        }
    }
}

fn step(count: u32, cpu: u64, memory: u64, estimate: u64) -> Step {
    Step { count, resources: Resources { cpu, memory, gpus: 0 }, estimate, ..Step::default() }
}

fn long_running(count: u32, cpu: u64, memory: u64) -> Step {
    Step { long_running: true, ..step(count, cpu, memory, 1_000) }
}

/// Two tasks of 40 s on each of eight executors, estimated at `estimate` milliseconds.
fn half_full(estimate: u64) -> Pool {
    let mut pool = Pool::new(8);
    let spread = Step { max_per_executor: 2, ..step(16, 7_000, 15_800, estimate) };
    pool.admit("long", spread, Some(40_000));
    pool.run_for(100);
    assert!(pool.runs.values().all(|runs| runs.len() == 2), "two tasks run on each executor");
    pool
}

/// Guards against small tasks that wait for room which a long-running task can't use, as every
/// executor is reserved for one.
#[test]
fn small_tasks_start_beside_reservations() {
    for estimate in [40_000, 400] {
        let mut pool = half_full(estimate);
        pool.admit("lasts", long_running(8, 4_000, 34_000), None);
        pool.run_for(200);
        for n in 0..10 {
            pool.admit(&format!("small{n}"), step(2, 1_000, 600, 500), Some(500));
        }
        pool.run_for(2_000);
        assert_eq!(pool.started.len(), 11, "all small jobs have begun");
        assert!(!pool.started.contains_key("lasts"), "it fits nowhere");
        pool.run_for(40_000);
        assert!(pool.started.contains_key("lasts"));
    }
}

/// Guards against reservations of all executors of a pool, beside which nothing fits.
#[test]
fn only_a_share_of_the_executors_is_reserved() {
    let mut pool = half_full(40_000);
    pool.admit("lasts", long_running(8, 4_000, 60_000), None);
    pool.run_for(200);
    pool.admit("small", step(12, 1_000, 16_000, 500), Some(500));
    pool.run_for(100);
    let small = pool.runs.values().flatten().filter(|run| run.task.job == "small");
    let beside: usize = small.count();
    assert!(beside >= 6, "{beside} small tasks run");
}

/// Guards against a job without any run for as long as tasks last that a reservation waits for,
/// while most of the pool is free.
#[test]
fn a_job_uses_reserved_room_after_a_while_in_a_pool_that_is_mostly_free() {
    let mut pool = Pool::new(1);
    pool.admit("long", step(1, 7_000, 10_000, 400), Some(100_000));
    pool.run_for(100);
    pool.admit("lasts", long_running(1, 4_000, 60_000), None);
    pool.run_for(100);
    pool.admit("small", step(1, 1_000, 20_000, 500), Some(500));
    pool.run_for(2_000);
    assert!(pool.started.contains_key("small"), "the small job has not begun");
}

/// Guards against a long-running task that never gets room, because small tasks that fit beside its
/// reservation last a hundred times as long as estimated, or take what the reservation waits for.
#[test]
fn a_long_running_task_gets_room_beside_a_stream_of_tasks_that_outlast_their_estimates() {
    for factor in [1, 100] {
        let mut pool = Pool::new(4);
        let admit = |pool: &mut Pool, n: u64| {
            pool.admit(&format!("small{n}"), step(2, 1_000, 8_000, 100), Some(100 * factor));
        };
        // The backlog holds more than the pool has room for.
        (0..40).for_each(|n| admit(&mut pool, n));
        pool.run_for(200);
        pool.admit("lasts", long_running(2, 4_000, 34_000), None);
        let ready = pool.now;
        for n in 40..400 {
            admit(&mut pool, n);
            pool.run_for(100);
            if pool.started.contains_key("lasts") {
                break;
            }
        }
        let waited = pool.started.get("lasts").map(|at| at - ready);
        // The tasks that ran before take as long as this.
        assert!(waited.is_some_and(|waited| waited <= 100 * factor + 1_000), "{waited:?}");
    }
}

/// Guards against a job that counts as waiting while it runs, and takes reserved room with its next step
/// at once.
#[test]
fn a_job_that_has_run_waits_anew_with_its_next_step() {
    let mut pool = Pool::new(1);
    pool.admit("runs", step(1, 1_000, 1_000, 2_000), Some(3_000));
    pool.run_for(2_500);
    assert_eq!(pool.cell.usage(pool.now).longest_idle, 0);
    pool.run_for(1_000);
    pool.admit("waits", step(1, 64_000, 1_000, 2_000), Some(3_000));
    pool.run_for(500);
    assert_eq!(pool.cell.usage(pool.now).longest_idle, 450);
}
