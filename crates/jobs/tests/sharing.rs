//! Suspects of a rack crash that share executors, with and without a deadly task among them.
//!
//! Load pattern: six executors that are full of tasks that have just begun crash together, and ten
//! others take the tasks.

use std::collections::BTreeSet;
use std::ops::Range;

use indexmap::IndexMap;
use jobs::cell::{Arrival, Order, StartOutcome};
use jobs::worker::PresentRun;
use jobs::{
    Cell, CellConfig, ExecutorReport, Job, Progress, Registration, Resources, State, Step, TaskId,
};

const START_MS: u64 = 60_000;
const TICK_MS: u64 = 10;
/// Time between two polls of an executor, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;
/// Time for which a run that has just begun may crash its executor, in milliseconds.
const PROBATION_MS: u64 = 200;
/// Executors that crash together, and those that take their tasks.
const LOST: usize = 6;
const LEFT: usize = 10;
/// Tasks that run on one executor.
const TASKS_PER_EXECUTOR: usize = 16;

struct Pool {
    cell: Cell,
    now: u64,
    /// Runs of each executor that is up.
    executors: IndexMap<String, Vec<(TaskId, u64)>>,
    /// Time, executor and job of each start after the crash of the rack.
    starts: Vec<(u64, String, String)>,
    /// Job that crashes each executor on which it starts.
    deadly: Option<String>,
    /// Times of the crashes that it causes.
    crashes: Vec<u64>,
    failed: BTreeSet<String>,
}

impl Pool {
    /// A pool whose rack has just crashed under all jobs.
    fn after_rack_crash(deadly: Option<&str>, left: usize) -> Self {
        let config = CellConfig {
            lease: 6_000,
            inherited_lease: 16_000,
            stop_timeout: 200,
            early_start: 0,
            term: 1,
        };
        let mut pool = Self {
            cell: Cell::new(config, START_MS),
            now: START_MS,
            executors: IndexMap::new(),
            starts: Vec::new(),
            deadly: None,
            crashes: Vec::new(),
            failed: BTreeSet::new(),
        };
        (0..LOST).for_each(|n| pool.join(&format!("lost{n}")));
        (0..LOST * TASKS_PER_EXECUTOR).for_each(|n| pool.submit(&format!("job{n:02}")));
        pool.tick();
        (0..left).for_each(|n| pool.join(&format!("left{n}")));
        for n in 0..LOST {
            let id = format!("lost{n}");
            assert_eq!(pool.executors[&id].len(), TASKS_PER_EXECUTOR);
            pool.crash(&id);
        }
        pool.starts.clear();
        pool.deadly = deadly.map(str::to_owned);
        pool
    }

    fn join(&mut self, id: &str) {
        self.cell.register(Registration {
            id: id.to_owned(),
            pool: "p".to_owned(),
            address: format!("{id}:1"),
            ready: true,
            capacity: Resources {
                cpu: 1_000 * TASKS_PER_EXECUTOR as u64,
                memory: 1 << 20,
                gpus: 0,
            },
            ..Registration::default()
        });
        self.executors.insert(id.to_owned(), Vec::new());
        self.poll(id);
    }

    fn submit(&mut self, id: &str) {
        let resources = Resources { cpu: 1_000, memory: 1, gpus: 0 };
        let step = Step { count: 1, resources, estimate: 60_000, ..Step::default() };
        self.cell.admit(Arrival {
            id: id.to_owned(),
            part: "q".to_owned(),
            queue: "q".to_owned(),
            job: Job { payload: String::new(), steps: vec![step], schedule: None },
            progress: Progress::default(),
            requested_at: self.now,
            inherited: false,
            start_blocked: false,
            organisation: None,
        });
    }

    fn poll(&mut self, id: &str) {
        let now = self.now;
        self.cell.grant_lease(id, now);
        let present = |(task, run): &(TaskId, u64)| PresentRun {
            task: task.clone(),
            run: *run,
            checkpoint: String::new(),
            percent: now / POLL_INTERVAL_MS % 100,
            gauge: 0,
        };
        let present = self.executors[id].iter().map(present).collect();
        let report = ExecutorReport { clock: now, present, ended: Vec::new() };
        self.cell.handle_poll(id, &report, now, now);
    }

    fn crash(&mut self, id: &str) {
        self.executors.swap_remove(id);
        self.cell.mark_dead(id, self.now);
        self.cell.unlist(id);
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        let now = self.now;
        self.cell.confirm_ownership(now);
        let deadly = |runs: &Vec<(TaskId, u64)>| {
            runs.iter().any(|(task, _)| self.deadly.as_ref().is_some_and(|job| *job == task.job))
        };
        let crashed: Vec<String> =
            self.executors.iter().filter(|(_, r)| deadly(r)).map(|(id, _)| id.clone()).collect();
        for id in crashed {
            self.crashes.push(now);
            self.crash(&id);
        }
        let ids: Vec<String> = self.executors.keys().cloned().collect();
        for id in ids.iter().filter(|_| now.is_multiple_of(POLL_INTERVAL_MS)) {
            self.poll(id);
        }
        let (changes, flush) = self.cell.take_changes();
        let failed = changes.into_iter().filter(|change| change.state == State::Failed);
        self.failed.extend(failed.map(|change| change.id));
        self.cell.flush_done(&flush);
        for order in self.cell.tick(now, 0) {
            let Order::Start { worker, task, run, .. } = order else { continue };
            self.starts.push((now, worker.clone(), task.job.clone()));
            self.executors[&worker].push((task.clone(), run));
            self.cell.handle_start_outcome(&worker, &task, run, StartOutcome::Running(now), now);
        }
    }

    fn run(&mut self, duration: u64) {
        let until = self.now + duration;
        while self.now < until {
            self.tick();
        }
    }

    /// Most jobs that started on one executor within a probation, in a range of time.
    fn most_sharing(&self, range: Range<u64>) -> usize {
        let starts = || self.starts.iter().filter(|(at, ..)| range.contains(at));
        let sharing = |(at, id, _): &(u64, String, String)| {
            let beside = starts().filter(|(other, host, _)| {
                host == id && *other >= *at && *other < at + PROBATION_MS
            });
            beside.map(|(.., job)| job).collect::<BTreeSet<_>>().len()
        };
        starts().map(sharing).max().unwrap_or(0)
    }
}

/// Guards against innocent suspects that wait for seconds for an executor of their own.
#[test]
fn many_suspects_share_executors() {
    let mut pool = Pool::after_rack_crash(None, LEFT);
    let crashed_at = pool.now;
    pool.run(10_000);
    let jobs: BTreeSet<&String> = pool.starts.iter().map(|(.., job)| job).collect();
    assert_eq!(jobs.len(), LOST * TASKS_PER_EXECUTOR);
    let latest = pool.starts.iter().map(|(at, ..)| at - crashed_at).max().unwrap();
    assert!(latest < 5_000, "the last of {} suspects starts after {latest} ms", jobs.len());
    assert!((2..=8).contains(&pool.most_sharing(crashed_at..u64::MAX)));
}

/// Guards against a deadly task that crashes more executors because it shared one, and against
/// innocent tasks that are given up with it.
#[test]
fn a_deadly_task_shares_an_executor_once() {
    for deadly in ["job00", "job17", "job50", "job95"] {
        let mut pool = Pool::after_rack_crash(Some(deadly), LEFT);
        pool.run(30_000);
        let failed: Vec<&str> = pool.failed.iter().map(String::as_str).collect();
        assert_eq!(failed, [deadly]);
        // One with others to blame and two without, after the crash of the rack.
        assert!(pool.crashes.len() <= 3, "{deadly}: {} crashes", pool.crashes.len());
        let present: usize = pool.executors.values().map(Vec::len).sum();
        assert_eq!(present, LOST * TASKS_PER_EXECUTOR - 1, "{deadly}: all others run");
    }
}

/// Guards against deadly tasks that crash executors under other jobs one after the other, since
/// suspects go on to share executors.
#[test]
fn suspects_start_apart_after_a_crash_of_an_executor_kept_for_them() {
    let mut pool = Pool::after_rack_crash(Some("job17"), LEFT);
    while pool.crashes.is_empty() {
        pool.tick();
    }
    let crashed_at = pool.now;
    assert!(pool.most_sharing(0..crashed_at) > 1);
    pool.run(9_000);
    // The last crash also ends runs that have been cleared; these start again without restrictions.
    let last = *pool.crashes.last().expect("the job has crashed an executor");
    assert!(last > crashed_at, "{:?}", pool.crashes);
    assert_eq!(pool.most_sharing(crashed_at..last), 1);
}

/// Guards against suspects that wait for executors that long tasks fill, in pools that have hardly
/// room for all of them.
#[test]
fn suspects_share_executors_in_pools_with_little_room() {
    for left in LOST..=LEFT {
        let mut pool = Pool::after_rack_crash(None, left);
        let crashed_at = pool.now;
        pool.run(10_000);
        let latest = pool.starts.iter().map(|(at, ..)| at - crashed_at).max().unwrap();
        assert_eq!(pool.starts.len(), LOST * TASKS_PER_EXECUTOR, "{left} left");
        assert!(latest < 5_000, "{left} left: the last suspect starts after {latest} ms");
    }
}
