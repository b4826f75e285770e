//! Long-running tasks that are stopped without a place, or not started though executors suit them.
//!
//! Each test shows one state in which a holder leaves such a task without a run.

use jobs::cell::{Arrival, Order, StartOutcome};
use jobs::worker::PresentRun;
use jobs::{
    Cell, CellConfig, ExecutorReport, Job, Progress, Queue, Registration, Resources, Step, TaskId,
};

const CONFIG: CellConfig = CellConfig {
    lease: 4_500,
    inherited_lease: 12_000,
    stop_timeout: 900,
    early_start: 0,
    term: 1,
};

fn new_cell(advised: bool) -> Cell {
    let mut cell = Cell::new(CONFIG, 0);
    let queue = Queue { name: "q".to_owned(), max_attempts: 3, advised, ..Queue::default() };
    cell.configure(std::iter::once(&queue));
    cell
}

/// Registers an executor and answers its first poll.
fn join(cell: &mut Cell, id: &str, cpu: u64, now: u64) {
    cell.register(Registration {
        id: id.to_owned(),
        pool: "p".to_owned(),
        ready: true,
        capacity: Resources { cpu, memory: 4_000, gpus: 0 },
        ..Registration::default()
    });
    cell.handle_poll(id, &report(now, Vec::new()), now - 1, now);
}

fn long_running(count: u32, cpu: u64) -> Step {
    Step { long_running: true, ..short(count, cpu, 10) }
}

fn short(count: u32, cpu: u64, memory: u64) -> Step {
    let resources = Resources { cpu, memory, gpus: 0 };
    Step { count, resources, estimate: 60_000, ..Step::default() }
}

fn admit(cell: &mut Cell, id: &str, step: Step) {
    cell.admit(Arrival {
        id: id.to_owned(),
        part: "q".to_owned(),
        queue: "q".to_owned(),
        job: Job { payload: "x".to_owned(), steps: vec![step], schedule: None },
        progress: Progress::default(),
        requested_at: 0,
        inherited: false,
        start_blocked: false,
    });
}

fn report(clock: u64, present: Vec<PresentRun>) -> ExecutorReport {
    ExecutorReport { clock, present, ended: Vec::new() }
}

/// Runs a pass and confirms its starts; returns the executor and job of each.
fn start_all(cell: &mut Cell, now: u64) -> Vec<(String, TaskId, u64)> {
    let mut started = Vec::new();
    for order in cell.tick(now, 0) {
        if let Order::Start { worker, task, run, .. } = order {
            cell.handle_start_outcome(&worker, &task, run, StartOutcome::Running(now), now);
            started.push((worker, task, run));
        }
    }
    started
}

/// Renews the lease and answers a poll with all runs that the cell knows of on the executor, at full speed.
fn poll(cell: &mut Cell, id: &str, now: u64) {
    cell.grant_lease(id, now);
    let runs = cell.workers()[id].runs.iter();
    let present = runs.map(|(task, slot)| PresentRun {
        task: task.clone(),
        run: slot.run,
        checkpoint: String::new(),
        percent: if slot.long_running { 100 } else { now / 100 % 100 },
        gauge: 0,
    });
    let answer = report(now, present.collect());
    cell.handle_poll(id, &answer, now, now);
}

/// Guards against a task that waits for the end of tickets which only executors have that already
/// run as many tasks of its step as they may.
#[test]
fn tickets_of_executors_that_may_run_no_more_tasks_of_a_step_do_not_keep_it_from_asking() {
    let mut cell = new_cell(true);
    join(&mut cell, "a", 4_000, 1);
    join(&mut cell, "b", 4_000, 1);
    admit(&mut cell, "apart", Step { max_per_executor: 1, ..long_running(2, 1_000) });
    let orders = cell.tick(2, 0);
    let Some(Order::Advise { step, workers }) = orders.into_iter().next() else {
        panic!("the adviser is asked first")
    };
    let tickets = workers.iter().map(|id| (id.clone(), "ticket".to_owned())).collect();
    cell.handle_advice(&step, &workers, Some((tickets, 60_000)), 3);
    assert_eq!(start_all(&mut cell, 4).len(), 2);
    cell.mark_dead("b", 5);
    cell.unlist("b");
    join(&mut cell, "c", 4_000, 6);
    for now in (100..12_000).step_by(100) {
        poll(&mut cell, "a", now);
        poll(&mut cell, "c", now);
        let orders = cell.tick(now, 0);
        if orders.iter().any(|order| matches!(order, Order::Advise { .. })) {
            return;
        }
    }
    panic!("the adviser was not asked about the new executor in 12 s");
}
