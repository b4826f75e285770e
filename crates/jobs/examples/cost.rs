//! Measurement of the scheduler's processor time at a peak: `cost`, or `cost --organisations`.
//!
//! Run it in a release build under a tool that counts instructions. It prints a digest of all orders,
//! which a change that only saves time must leave as it was.

use std::hash::{DefaultHasher, Hash, Hasher};

use indexmap::IndexMap;
use jobs::cell::{Arrival, Order, StartOutcome};
use jobs::order::Policy;
use jobs::worker::{EndedRun, PresentRun};
use jobs::{
    Cell, CellConfig, ExecutorReport, Job, Progress, Queue, Registration, Resources, RunOutcome,
    Step, TaskId,
};

/// Number of executors, each with 32 cores.
const EXECUTORS: u64 = 85;
/// Number of organisations.
const ORGANISATIONS: u64 = 20;
/// Number of jobs that are kept in the cell.
const JOBS: usize = 500;
/// Interval between passes, in milliseconds.
const TICK_MS: u64 = 25;
/// Number of passes.
const TICKS: u64 = 160;
/// Passes between two polls of an executor; a holder with 0.12 of a core polls 360 times a second.
const TICKS_PER_POLL: u64 = 9;
/// Passes between two publications of the load.
const TICKS_PER_LOAD: u64 = 6;
/// Passes between two log lines about the load.
const TICKS_PER_LOG: u64 = 40;

#[derive(Default)]
struct Executor {
    runs: Vec<(TaskId, u64, u64)>,
    ended: Vec<EndedRun>,
    ended_count: u64,
}

fn cell() -> Cell {
    let config = CellConfig {
        lease: 6_000,
        inherited_lease: 16_000,
        stop_timeout: 200,
        early_start: 0,
        term: 1,
    };
    let queue = Queue {
        name: "q".to_owned(),
        max_attempts: 3,
        stretch: 1_600,
        objective_base: 600,
        ..Queue::default()
    };
    let mut cell = Cell::new(config, 0);
    cell.configure(std::iter::once(&queue));
    cell.set_policy(Policy::LatestStart);
    cell
}

/// Sets limits; those of every other organisation are below what it has waiting.
fn limit(cell: &mut Cell) {
    let names: Vec<String> = (0..ORGANISATIONS).map(organisation).collect();
    let amount = |n: u64| {
        let cpu = if n.is_multiple_of(2) { 60_000 + n * 1_000 } else { 2_000_000 };
        Resources { cpu, memory: 4 * cpu, gpus: 0 }
    };
    cell.set_limits(names.iter().map(String::as_str).zip((0..).map(amount)));
    cell.configure_shares(names.iter().map(|name| (name.as_str(), 20_000)));
    for (n, name) in (0..).zip(&names) {
        cell.set_grant(name, amount(n));
    }
}

fn organisation(n: u64) -> String {
    format!("organisation-{n}")
}

fn arrival(n: u64, now: u64, organised: bool) -> Arrival {
    let step = |number: u64, depends_on: Vec<usize>| Step {
        count: 4 + u32::try_from((n * 7 + number) % 9).unwrap(),
        resources: Resources { cpu: 1_500 + (n * 37) % 3_000, memory: 3_000 + n % 5_000, gpus: 0 },
        estimate: 400 + (n * 61) % 500,
        depends_on,
        ..Step::default()
    };
    Arrival {
        id: format!("{n:016x}"),
        part: "q/1".to_owned(),
        queue: "q".to_owned(),
        organisation: organised.then(|| organisation(n * 11 % ORGANISATIONS)),
        job: Job {
            payload: String::new(),
            steps: vec![step(0, vec![]), step(1, vec![0])],
            schedule: None,
        },
        progress: Progress::default(),
        requested_at: now,
        inherited: false,
        start_blocked: false,
    }
}

/// Answer of an executor at a time.
fn report(executor: &mut Executor, now: u64) -> ExecutorReport {
    for (task, run, _) in executor.runs.extract_if(.., |(.., ends)| *ends <= now) {
        executor.ended_count += 1;
        executor.ended.push(EndedRun {
            sequence: executor.ended_count,
            task,
            run,
            outcome: RunOutcome::Done,
            checkpoint: String::new(),
        });
    }
    let present = executor.runs.iter().map(|(task, run, ends)| PresentRun {
        task: task.clone(),
        run: *run,
        checkpoint: String::new(),
        percent: 100 - ends.saturating_sub(now).min(1_000) / 10,
        gauge: 0,
    });
    let present = present.collect();
    ExecutorReport { clock: now, present, ended: std::mem::take(&mut executor.ended) }
}

/// Computes what a holder publishes and logs.
fn publish(cell: &Cell, now: u64) {
    let load = (cell.pending(), cell.backlog(now), cell.useful_cpu(now), cell.late_cpu(now));
    let views = (cell.outlook(now), cell.usage(now), cell.shrink_limits());
    std::hint::black_box((load, views, cell.beyond_share(now).count()));
}

/// Runs the cell and prints the digest of its orders.
fn run(organised: bool) {
    let mut cell = cell();
    if organised {
        limit(&mut cell);
    }
    let mut pool: IndexMap<String, Executor> = IndexMap::new();
    let start = 60_000;
    for n in 0..EXECUTORS {
        let id = format!("w{n}");
        cell.register(Registration {
            id: id.clone(),
            pool: "p".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            ready: true,
            capacity: Resources { cpu: 32_000, memory: 64_000, gpus: 0 },
            ..Registration::default()
        });
        let empty = ExecutorReport { clock: start, ..ExecutorReport::default() };
        cell.handle_poll(&id, &empty, start, start);
        pool.insert(id, Executor::default());
    }
    let mut digest = DefaultHasher::new();
    let (mut admitted, mut starts, mut ended) = (0, 0, 0);
    for tick in 0..TICKS {
        let now = start + tick * TICK_MS;
        while cell.job_count() < JOBS {
            cell.admit(arrival(admitted, now, organised));
            admitted += 1;
        }
        for (n, (id, executor)) in (0..).zip(&mut pool) {
            if (tick + n) % TICKS_PER_POLL == 0 {
                let report = report(executor, now);
                cell.handle_poll(id, &report, now, now);
            }
        }
        for order in cell.tick(now, now) {
            let Order::Start { worker, task, run, .. } = order else { continue };
            (&worker, &task.job, task.step, task.index, run).hash(&mut digest);
            starts += 1;
            let duration = 300 + u64::from(task.index) * 40;
            pool[&worker].runs.push((task.clone(), run, now + duration));
            cell.handle_start_outcome(&worker, &task, run, StartOutcome::Running(now), now);
        }
        // The exchange of grants.
        std::hint::black_box((cell.quota_needs(), cell.is_quota_use_known()));
        let (changes, flush) = cell.take_changes();
        ended += changes.iter().filter(|change| change.state.is_final()).count();
        cell.flush_done(&flush);
        if tick.is_multiple_of(TICKS_PER_LOAD) {
            publish(&cell, now);
        }
        if tick.is_multiple_of(TICKS_PER_LOG) {
            std::hint::black_box(cell.quota_use());
        }
    }
    println!("{starts} starts, {ended} jobs ended, digest {:016x}", digest.finish());
}

fn main() {
    run(std::env::args().any(|argument| argument == "--organisations"));
}
