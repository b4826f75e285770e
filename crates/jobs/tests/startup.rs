//! Start-ups of long-running tasks that take longer than usual, on executors that are sound, slow or
//! at a standstill.

use std::collections::BTreeMap;

use jobs::cell::{Arrival, Order, StartOutcome};
use jobs::worker::{EndedRun, PresentRun};
use jobs::{
    Cell, CellConfig, ExecutorReport, Job, Progress, Registration, Resources, RunOutcome, Step,
    TaskId,
};

/// Time between two polls of an executor, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;
/// Time that a stop order takes to arrive, in milliseconds.
const ORDER_DELAY_MS: u64 = 50;
const LEASE_MS: u64 = 6_000;

/// A run on an executor of the model.
struct Run {
    run: u64,
    /// Start, and start of the order to stop it, in milliseconds.
    started: u64,
    stop_at: Option<u64>,
}

/// An executor of the model, which reports the progress of start-ups as a share of their duration.
struct Executor {
    /// Duration of a start-up, in milliseconds.
    startup: u64,
    /// Progress at which start-ups stand still, in percent; 100 for none.
    stuck_at: u64,
    /// When start-ups that stand still go on, in milliseconds.
    resumes_at: u64,
    /// Whether its answers are lost.
    silent: bool,
    runs: BTreeMap<u32, Run>,
    ended: Vec<EndedRun>,
    ends: u64,
}

impl Executor {
    fn new(startup: u64) -> Self {
        Self {
            startup,
            stuck_at: 100,
            resumes_at: u64::MAX,
            silent: false,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
        }
    }

    fn percent(&self, run: &Run, now: u64) -> u64 {
        let limit = if now < self.resumes_at { self.stuck_at } else { 100 };
        ((now - run.started) * 100 / self.startup).min(limit)
    }
}

struct World {
    cell: Cell,
    executors: BTreeMap<String, Executor>,
    now: u64,
    /// Stops that took effect: time, index of the task, and its progress in percent.
    stops: Vec<(u64, u32, u64)>,
}

/// Executors with start-ups of the same duration, in milliseconds.
fn pool<'a>(ids: &[&'a str], startup: u64) -> Vec<(&'a str, Executor)> {
    ids.iter().map(|id| (*id, Executor::new(startup))).collect()
}

fn task(index: u32) -> TaskId {
    TaskId { job: "00000000000000aa".to_owned(), occurrence: 0, step: 0, index }
}

impl World {
    /// A step of `count` long-running tasks, of which one may be unavailable, one on an executor.
    fn new(count: u32, executors: Vec<(&str, Executor)>) -> Self {
        let config = CellConfig {
            lease: LEASE_MS,
            inherited_lease: 16_000,
            stop_timeout: 0,
            early_start: 0,
            term: 1,
        };
        let mut cell = Cell::new(config, 0);
        for (id, _) in &executors {
            cell.register(Registration {
                id: (*id).to_owned(),
                pool: "p".to_owned(),
                address: format!("{id}:1"),
                ready: true,
                capacity: Resources { cpu: 4_000, memory: 4_000, gpus: 0 },
                ..Registration::default()
            });
        }
        let step = Step {
            count,
            resources: Resources { cpu: 4_000, memory: 10, gpus: 0 },
            long_running: true,
            max_per_executor: 1,
            max_unavailable: 1,
            ..Step::default()
        };
        cell.admit(Arrival {
            id: task(0).job,
            part: "q".to_owned(),
            queue: "q".to_owned(),
            job: Job { payload: String::new(), steps: vec![step], schedule: None },
            progress: Progress::default(),
            requested_at: 0,
            inherited: false,
            start_blocked: false,
            organisation: None,
        });
        let executors = executors.into_iter().map(|(id, e)| (id.to_owned(), e)).collect();
        Self { cell, executors, now: 0, stops: Vec::new() }
    }

    /// Advances time in steps of a poll.
    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += POLL_INTERVAL_MS;
            let now = self.now;
            for (id, executor) in &mut self.executors {
                let due =
                    executor.runs.iter().filter(|(_, run)| run.stop_at.is_some_and(|at| at <= now));
                let due: Vec<u32> = due.map(|(index, _)| *index).collect();
                for index in due {
                    let Some(run) = executor.runs.remove(&index) else { continue };
                    let at = run.stop_at.unwrap_or(now);
                    self.stops.push((at, index, executor.percent(&run, at)));
                    executor.ends += 1;
                    executor.ended.push(EndedRun {
                        sequence: executor.ends,
                        task: task(index),
                        run: run.run,
                        outcome: RunOutcome::Stopped,
                        checkpoint: String::new(),
                    });
                }
                if executor.silent {
                    continue;
                }
                let present = executor.runs.iter().map(|(index, run)| PresentRun {
                    task: task(*index),
                    run: run.run,
                    checkpoint: String::new(),
                    percent: executor.percent(run, now),
                    gauge: 0,
                });
                let answer = ExecutorReport {
                    clock: now,
                    present: present.collect(),
                    ended: executor.ended.clone(),
                };
                self.cell.handle_poll(id, &answer, now - 1, now);
                self.cell.grant_lease(id, now);
            }
            for order in self.cell.tick(now, now) {
                match order {
                    Order::Start { worker, task, run, .. } => {
                        let executor = self.executors.get_mut(&worker).expect("a known executor");
                        let begun = Run { run, started: now, stop_at: None };
                        executor.runs.insert(task.index, begun);
                        let outcome = StartOutcome::Running(now);
                        self.cell.handle_start_outcome(&worker, &task, run, outcome, now);
                    }
                    Order::Stop { worker, task, run, .. } => {
                        let executor = self.executors.get_mut(&worker).expect("a known executor");
                        if let Some(slot) = executor.runs.get_mut(&task.index) {
                            slot.stop_at.get_or_insert(now + ORDER_DELAY_MS);
                        }
                        self.cell.handle_stop_answer(&worker, &task, run, true, now);
                    }
                    Order::Advise { .. } | Order::Pace { .. } => {}
                }
            }
        }
    }

    /// Number of tasks at full speed.
    fn working(&self) -> usize {
        let runs = self.executors.values().flat_map(|e| e.runs.values().map(move |run| (e, run)));
        runs.filter(|(executor, run)| executor.percent(run, self.now) >= 100).count()
    }

    /// The executor that runs a task.
    fn host(&self, index: u32) -> String {
        let host = self.executors.iter().find(|(_, e)| e.runs.contains_key(&index));
        host.expect("the task runs").0.clone()
    }
}

/// Guards against a task that is stopped at 99 percent of its start-up and works by the time that the
/// stop takes effect, while another of its step is unavailable.
#[test]
fn a_task_about_to_work_is_not_stopped_while_another_of_its_step_is_unavailable() {
    for startup in (2_500..2_800).step_by(10) {
        let executors = pool(&["a", "b"], startup);
        let mut world = World::new(2, executors);
        world.run_until(1_000);
        let host = world.host(1);
        world.executors.get_mut(&host).expect("the host").silent = true;
        world.run_until(5_000);
        let at_work: Vec<_> =
            world.stops.iter().filter(|(_, _, percent)| *percent >= 100).collect();
        assert!(
            at_work.is_empty(),
            "start-up of {startup} ms: stopped while it worked: {at_work:?}"
        );
    }
}

/// Guards against a task that goes on after a standstill just before its end, and is stopped for it
/// while another of its step is unavailable.
#[test]
fn a_task_that_ends_its_standstill_is_not_stopped_while_another_of_its_step_is_unavailable() {
    for resumes_at in (2_500..5_000).step_by(10) {
        let mut world = World::new(2, pool(&["a", "b"], 1_000));
        for executor in world.executors.values_mut() {
            (executor.stuck_at, executor.resumes_at) = (99, resumes_at);
        }
        world.run_until(500);
        let host = world.host(1);
        world.executors.get_mut(&host).expect("the host").silent = true;
        world.run_until(8_000);
        let at_work: Vec<_> =
            world.stops.iter().filter(|(_, _, percent)| *percent >= 100).collect();
        assert!(
            at_work.is_empty(),
            "goes on at {resumes_at} ms: stopped while it worked: {at_work:?}"
        );
    }
}

/// Guards against a task that never works, as each of its starts is stopped for taking longer than a
/// usual one.
#[test]
fn a_long_startup_is_not_restarted_forever() {
    for startup in [3_000, 4_000, 7_500, 20_000] {
        let executors = pool(&["a", "b", "c"], startup);
        let mut world = World::new(2, executors);
        world.run_until(70_000);
        assert_eq!(world.working(), 2, "start-up of {startup} ms: {:?}", world.stops);
        if startup < 8_000 {
            assert!(world.stops.is_empty(), "start-up of {startup} ms: {:?}", world.stops);
        }
    }
}

/// Guards against tasks that remain on executors at a standstill, each because the other one of its
/// step is unavailable.
#[test]
fn tasks_at_a_standstill_in_their_startup_move_to_other_executors() {
    for stuck_at in [0, 40, 95] {
        let mut executors = pool(&["a", "b", "c", "d"], 1_000);
        for (_, executor) in executors.iter_mut().take(2) {
            executor.stuck_at = stuck_at;
        }
        let mut world = World::new(2, executors);
        world.run_until(60_000);
        assert_eq!(world.working(), 2, "stuck at {stuck_at} percent: {:?}", world.stops);
    }
}

/// Guards against a task that spends a minute in its start-up on a slow executor beside idle ones.
#[test]
fn a_startup_on_a_slow_executor_is_repeated_on_another() {
    let mut executors = pool(&["a", "b", "c"], 1_000);
    for (_, executor) in executors.iter_mut().take(2) {
        executor.startup = 60_000;
    }
    let mut world = World::new(1, executors);
    world.run_until(30_000);
    assert_eq!(world.working(), 1, "{:?}", world.stops);
}
