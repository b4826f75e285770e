//! Starts that queue at the holder for a permit of their executor when the executor crashes.

use indexmap::IndexSet;
use jobs::cell::{Approval, Arrival, Order, StartOutcome, Withdrawal};
use jobs::worker::MAX_CONCURRENT_STARTS;
use jobs::{
    Cell, CellConfig, ExecutorReport, Job, Progress, Registration, Resources, Step, TaskId,
};

const START_MS: u64 = 60_000;
/// Number of tasks; three times the starts that go out at a time.
const TASKS: u32 = 12;

/// A start that the cell has ordered.
struct Start {
    worker: String,
    task: TaskId,
    run: u64,
}

fn cell_with_executors(ids: &[&str]) -> Cell {
    let config = CellConfig {
        lease: 6_000,
        inherited_lease: 16_000,
        stop_timeout: 200,
        early_start: 0,
        term: 1,
    };
    let mut cell = Cell::new(config, START_MS);
    for id in ids {
        cell.register(Registration {
            id: (*id).to_owned(),
            pool: "p".to_owned(),
            address: format!("{id}:1"),
            ready: true,
            capacity: Resources { cpu: 16_000, memory: 1 << 20, gpus: 0 },
            ..Registration::default()
        });
        let report = ExecutorReport { clock: START_MS, ..ExecutorReport::default() };
        cell.handle_poll(id, &report, START_MS, START_MS);
    }
    cell
}

/// Admits jobs of one task each.
fn admit_jobs(cell: &mut Cell) {
    for n in 0..TASKS {
        let resources = Resources { cpu: 1_000, memory: 1, gpus: 0 };
        let step = Step { count: 1, resources, estimate: 500, ..Step::default() };
        cell.admit(Arrival {
            id: format!("{n:016x}"),
            part: "q".to_owned(),
            queue: "q".to_owned(),
            job: Job { payload: String::new(), steps: vec![step], schedule: None },
            progress: Progress::default(),
            requested_at: START_MS,
            inherited: false,
            start_blocked: false,
            organisation: None,
        });
    }
}

/// Asks the cell for the approval of a start at its turn.
fn approve(cell: &mut Cell, start: &Start, now: u64) -> Result<Approval, Withdrawal> {
    cell.approve_start(&start.worker, &start.task, start.run, now)
}

fn starts(orders: Vec<Order>) -> Vec<Start> {
    let start = |order| match order {
        Order::Start { worker, task, run, .. } => Some(Start { worker, task, run }),
        _ => None,
    };
    orders.into_iter().filter_map(start).collect()
}

/// Orders the starts of all tasks, confirms the first ones and reports the next ones as sent; the
/// executor then crashes.
fn crash_with_queued_starts(cell: &mut Cell) -> Vec<Start> {
    admit_jobs(cell);
    let ordered = starts(cell.tick(START_MS + 10, 0));
    assert_eq!(ordered.len(), TASKS as usize);
    assert!(ordered.iter().all(|start| start.worker == ordered[0].worker));
    for start in &ordered[..MAX_CONCURRENT_STARTS] {
        approve(cell, start, START_MS + 15).expect("the start is approved");
        let running = StartOutcome::Running(START_MS + 15);
        cell.handle_start_outcome(&start.worker, &start.task, start.run, running, START_MS + 15);
    }
    for start in &ordered[MAX_CONCURRENT_STARTS..2 * MAX_CONCURRENT_STARTS] {
        approve(cell, start, START_MS + 15).expect("the start is approved");
    }
    cell.mark_dead(&ordered[0].worker, START_MS + 20);
    cell.confirm_ownership(START_MS + 25);
    ordered
}

/// Guards against deadly tasks that are not counted since their starts queued at first, and against
/// innocent ones that are, though their starts never went out.
#[test]
fn suspects_of_a_crash_are_the_runs_whose_starts_had_gone_out() {
    let mut cell = cell_with_executors(&["m0", "m1", "m2"]);
    let ordered = crash_with_queued_starts(&mut cell);
    let suspects: IndexSet<TaskId> = cell.take_crashes().remove(0).suspects.into_iter().collect();
    let sent = ordered[..2 * MAX_CONCURRENT_STARTS].iter().map(|start| start.task.clone());
    assert_eq!(suspects, sent.collect::<IndexSet<_>>());
    // Tasks whose starts had not gone out need no executor of their own.
    let again: IndexSet<TaskId> =
        starts(cell.tick(START_MS + 30, 0)).into_iter().map(|start| start.task).collect();
    let unsent = ordered[2 * MAX_CONCURRENT_STARTS..].iter().map(|start| start.task.clone());
    assert_eq!(again, unsent.collect::<IndexSet<_>>());
}

/// Guards against a start that goes out after its task may have started elsewhere.
#[test]
fn a_queued_start_is_withdrawn_once_its_run_is_released() {
    let mut cell = cell_with_executors(&["m0", "m1", "m2"]);
    let ordered = crash_with_queued_starts(&mut cell);
    for start in &ordered[2 * MAX_CONCURRENT_STARTS..] {
        let change = approve(&mut cell, start, START_MS + 25).expect_err("the run was released");
        let withdrawn = StartOutcome::Withdrawn(change);
        cell.handle_start_outcome(&start.worker, &start.task, start.run, withdrawn, START_MS + 25);
    }
    let again = starts(cell.tick(START_MS + 30, 0));
    assert_eq!(again.len(), ordered.len() - 2 * MAX_CONCURRENT_STARTS);
    assert!(again.iter().all(|start| approve(&mut cell, start, START_MS + 30).is_ok()));
}

/// Guards against a start without a result that counts as unsent because the cell was not told: with
/// a free permit it goes out at once.
#[test]
fn starts_with_a_free_permit_count_as_sent() {
    let mut cell = cell_with_executors(&["m0", "m1"]);
    admit_jobs(&mut cell);
    let ordered = starts(cell.tick(START_MS + 10, 0));
    cell.mark_dead(&ordered[0].worker, START_MS + 20);
    assert_eq!(cell.take_crashes()[0].suspects.len(), MAX_CONCURRENT_STARTS);
}

/// Guards against a deadly task whose only trace is an unanswered start.
#[test]
fn a_queued_start_that_was_not_answered_makes_a_suspect() {
    let mut cell = cell_with_executors(&["m0", "m1"]);
    admit_jobs(&mut cell);
    let ordered = starts(cell.tick(START_MS + 10, 0));
    let last = ordered.last().unwrap();
    let unknown = StartOutcome::Unknown;
    cell.handle_start_outcome(&last.worker, &last.task, last.run, unknown, START_MS + 15);
    cell.mark_dead(&last.worker, START_MS + 20);
    assert!(cell.take_crashes()[0].suspects.contains(&last.task));
}

/// Time that a holder short of processor time takes to send a start, in milliseconds.
const SEND_MS: u64 = 1;
/// Time in which a start must go out that goes before all others, in milliseconds: what the order of
/// jobs reserves for all orders, polls and writes of a job.
const URGENT_START_MS: u64 = 250;

/// Guards against a started job that ends late as the starts of hundreds of new jobs, which go after
/// it, already wait for the holder's processor time.
#[test]
fn a_started_job_is_not_delayed_by_starts_that_wait_for_processor_time() {
    let ids: Vec<String> = (0..60).map(|n| format!("m{n:02}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut cell = cell_with_executors(&ids);
    let resources = Resources { cpu: 1_000, memory: 1, gpus: 0 };
    let step =
        |count, depends_on| Step { count, resources, estimate: 500, depends_on, ..Step::default() };
    let arrival = |id: &str, steps| Arrival {
        id: id.to_owned(),
        part: "q".to_owned(),
        queue: "q".to_owned(),
        job: Job { payload: String::new(), steps, schedule: None },
        progress: Progress::default(),
        requested_at: START_MS,
        inherited: false,
        start_blocked: false,
        organisation: None,
    };
    let urgent = "00000000000000aa";
    cell.admit(arrival(urgent, vec![step(1, vec![]), step(1, vec![0])]));
    let first = starts(cell.tick(START_MS + 1, 0)).remove(0);
    let running = StartOutcome::Running(START_MS + 2);
    cell.handle_start_outcome(&first.worker, &first.task, first.run, running, START_MS + 2);
    for n in 0..40 {
        cell.admit(arrival(&format!("{n:016x}"), vec![step(16, vec![])]));
    }
    let mut queue = std::collections::VecDeque::new();
    let ends_at = START_MS + 100;
    for now in (START_MS + 10..START_MS + 1_000).step_by(SEND_MS as usize) {
        if now == ends_at {
            let end = jobs::worker::EndedRun {
                sequence: 1,
                task: first.task.clone(),
                run: first.run,
                outcome: jobs::RunOutcome::Done,
                checkpoint: String::new(),
            };
            let report = ExecutorReport { clock: now, ended: vec![end], ..Default::default() };
            cell.handle_poll(&first.worker, &report, now - 1, now);
        }
        if now % 25 == 0 {
            queue.extend(starts(cell.tick(now, 0)));
        }
        let Some(start): Option<Start> = queue.pop_front() else { continue };
        if start.task.job == urgent {
            let delay = now - ends_at;
            assert!(delay <= URGENT_START_MS, "sent after {delay} ms");
            return;
        }
        let running = StartOutcome::Running(now);
        cell.handle_start_outcome(&start.worker, &start.task, start.run, running, now);
    }
    panic!("the second step was not started");
}

/// Guards against executors that do not answer starts and so keep all others from getting any.
#[test]
fn unanswered_starts_do_not_stop_the_others() {
    let ids: Vec<String> = (0..60).map(|n| format!("m{n:02}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut cell = cell_with_executors(&ids);
    let tasks = 600;
    let resources = Resources { cpu: 1_000, memory: 1, gpus: 0 };
    let step = Step { count: tasks, resources, estimate: 500, ..Step::default() };
    cell.admit(Arrival {
        id: "00000000000000bb".to_owned(),
        part: "q".to_owned(),
        queue: "q".to_owned(),
        job: Job { payload: String::new(), steps: vec![step], schedule: None },
        progress: Progress::default(),
        requested_at: START_MS,
        inherited: false,
        start_blocked: false,
        organisation: None,
    });
    let ordered: usize = (1..=40).map(|n| starts(cell.tick(START_MS + n * 25, 0)).len()).sum();
    assert!(ordered >= tasks as usize, "{ordered} starts in a second");
}
