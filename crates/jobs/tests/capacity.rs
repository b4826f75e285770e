//! Tests of the scheduler with executors whose capacity changes while they run.
//!
//! They guard against starts that bring an executor over its capacity, which executors without a
//! check of their own carry out, and against capacity that is not used again once it is back.

use jobs::cell::{Arrival, Order, StartOutcome};
use jobs::worker::{EndedRun, PresentRun};
use jobs::{
    Cell, CellConfig, ExecutorReport, Job, Progress, Queue, Registration, Resources, RunOutcome,
    Step, TaskId,
};

/// Duration of executors' leases, in milliseconds.
const LEASE_MS: u64 = 4_500;
/// Longest time from a stop order to the end of the run, in milliseconds.
const STOP_TIMEOUT_MS: u64 = 900;
/// Capacity of an executor that has not shrunk.
const FULL: Resources = Resources { cpu: 4_000, memory: 4_000, gpus: 2 };
/// Id of the job in tests with one job.
const JOB: &str = "00000000000000aa";

fn config(term: u64) -> CellConfig {
    CellConfig {
        lease: LEASE_MS,
        inherited_lease: 12_000,
        stop_timeout: STOP_TIMEOUT_MS,
        early_start: 0,
        term,
    }
}

fn executor(id: &str, capacity: Resources) -> Registration {
    Registration {
        id: id.to_owned(),
        pool: "p".to_owned(),
        address: "10.0.0.1:1".to_owned(),
        ready: true,
        capacity,
        ..Registration::default()
    }
}

fn new_cell(term: u64, now: u64) -> Cell {
    let mut cell = Cell::new(config(term), now);
    let queue = Queue {
        name: "q".to_owned(),
        max_attempts: 1_000,
        stretch: 1_600,
        objective_base: 600,
        ..Queue::default()
    };
    cell.configure(std::iter::once(&queue));
    cell
}

fn step(count: u32, cpu: u64, memory: u64) -> Step {
    let resources = Resources { cpu, memory, gpus: 0 };
    Step { count, resources, estimate: 500, ..Step::default() }
}

fn arrival(id: &str, steps: Vec<Step>) -> Arrival {
    Arrival {
        id: id.to_owned(),
        part: "q".to_owned(),
        queue: "q".to_owned(),
        job: Job { payload: "x".to_owned(), steps, schedule: None },
        progress: Progress::default(),
        requested_at: 0,
        inherited: false,
        start_blocked: false,
    }
}

fn task(index: u32) -> TaskId {
    TaskId { job: JOB.to_owned(), occurrence: 0, step: 0, index }
}

fn present(task: TaskId, run: u64) -> PresentRun {
    PresentRun { task, run, checkpoint: String::new(), percent: 100, gauge: 0 }
}

fn report(clock: u64, present: Vec<PresentRun>) -> ExecutorReport {
    ExecutorReport { clock, present, ended: Vec::new() }
}

/// Tasks that a pass starts, each confirmed at once.
fn start_all(cell: &mut Cell, now: u64) -> Vec<TaskId> {
    let mut started = Vec::new();
    for order in cell.tick(now, 0) {
        if let Order::Start { worker, task, run, .. } = order {
            cell.handle_start_outcome(&worker, &task, run, StartOutcome::Running(now), now);
            started.push(task);
        }
    }
    started
}

/// A cell with one executor of full size, on which all tasks of a job run that have room.
fn running_cell(steps: Vec<Step>) -> (Cell, Vec<TaskId>) {
    let mut cell = new_cell(1, 0);
    cell.register(executor("a", FULL));
    cell.admit(arrival(JOB, steps));
    cell.handle_poll("a", &report(1, Vec::new()), 0, 1);
    let started = start_all(&mut cell, 2);
    (cell, started)
}

/// Guards against starts on an executor that has shrunk below what is in use, and against an
/// executor that gets none after it has grown again.
#[test]
fn an_executor_that_has_shrunk_gets_tasks_again_only_once_they_fit() {
    let (mut cell, started) = running_cell(vec![step(6, 1_000, 100)]);
    assert_eq!(started.len(), 4);
    cell.register(executor("a", Resources { cpu: 2_000, ..FULL }));
    let runs: Vec<PresentRun> = started.iter().map(|task| present(task.clone(), 1)).collect();
    cell.handle_poll("a", &report(10, runs.clone()), 9, 10);
    assert!(cell.tick(11, 0).is_empty(), "runs are neither started nor stopped");
    assert_eq!(cell.workers()["a"].free().cpu, 0);
    let end = |sequence, task: &TaskId| EndedRun {
        sequence,
        task: task.clone(),
        run: 1,
        outcome: RunOutcome::Done,
        checkpoint: String::new(),
    };
    for (count, fits) in [(1, false), (2, false), (3, true)] {
        let mut answer = report(20, runs[count..].to_vec());
        answer.ended = (1..).zip(&started[..count]).map(|(n, task)| end(n, task)).collect();
        let now = 20 * count as u64;
        cell.handle_poll("a", &answer, now, now + 1);
        assert_eq!(start_all(&mut cell, now + 2).len(), usize::from(fits), "{count} have ended");
    }
    cell.register(executor("a", FULL));
    assert_eq!(start_all(&mut cell, 80).len(), 1);
}

/// Guards against a run of unknown size for which only the capacity of its time of discovery is
/// reserved.
#[test]
fn a_run_of_an_unknown_job_reserves_the_whole_executor_though_it_grows() {
    for first in [Resources { cpu: 1_000, memory: 1_000, gpus: 0 }, Resources::default()] {
        let mut cell = new_cell(2, 0);
        cell.register(executor("a", first));
        let unknown = TaskId { job: "00000000000000bb".to_owned(), ..task(0) };
        cell.handle_poll("a", &report(1, vec![present(unknown.clone(), 9)]), 0, 1);
        cell.register(executor("a", FULL));
        cell.admit(arrival(JOB, vec![step(1, 100, 100)]));
        assert!(start_all(&mut cell, 2).is_empty(), "the run may need all of it");
        assert_eq!(
            cell.waiting_tasks(0, 2).len() + cell.workers()["a"].runs.len(),
            1,
            "only the unknown run is there"
        );
        cell.handle_stop_answer("a", &unknown, 9, true, 3);
        cell.handle_poll("a", &report(10, Vec::new()), 9, 10);
        assert_eq!(start_all(&mut cell, 11).len(), 1);
    }
}

/// Guards against the first answer of an executor that comes before its registration was read: its
/// capacity is not known yet.
#[test]
fn a_run_of_an_unknown_job_reserves_an_executor_that_is_not_registered_yet() {
    let mut cell = new_cell(2, 0);
    cell.inherit(Registration { ready: false, ..executor("a", Resources::default()) });
    let unknown = TaskId { job: "00000000000000bb".to_owned(), ..task(0) };
    cell.handle_poll("a", &report(1, vec![present(unknown, 9)]), 0, 1);
    cell.register(executor("a", FULL));
    cell.admit(arrival(JOB, vec![step(1, 100, 100)]));
    assert!(start_all(&mut cell, 2).is_empty());
}
