//! Tests of executors with more ends than one answer can list.

use indexmap::IndexSet;
use jobs::cell::{Arrival, Order, StartOutcome};
use jobs::worker::{EndedRun, PresentRun};
use jobs::{
    Cell, CellConfig, ExecutorReport, Job, Progress, Queue, Registration, Resources, RunOutcome,
    Step, TaskId,
};

/// Most ends in one answer.
const PAGE: u64 = 500;
/// Number of the job's tasks, all of which have run on `a`.
const TASKS: u32 = 1_200;
/// Longest time that leases of a former holder remain valid, in milliseconds.
const INHERITED_LEASE_MS: u64 = 9_800;

fn task(index: u32) -> TaskId {
    TaskId { job: "aa".to_owned(), occurrence: 0, step: 0, index }
}

fn registration(id: &str) -> Registration {
    Registration {
        id: id.to_owned(),
        pool: "p".to_owned(),
        ready: true,
        capacity: Resources { cpu: 32_000, memory: 64_000, gpus: 0 },
        ..Registration::default()
    }
}

fn cell(term: u64, inherited: bool) -> Cell {
    let config = CellConfig {
        lease: 6_000,
        inherited_lease: INHERITED_LEASE_MS,
        stop_timeout: 900,
        early_start: 0,
        term,
    };
    let mut cell = Cell::new(config, 0);
    let queue = Queue { name: "q".to_owned(), max_attempts: 5, stretch: 1_600, ..Queue::default() };
    cell.configure(std::iter::once(&queue));
    if inherited {
        cell.inherit(registration("a"));
    }
    cell.register(registration("a"));
    let step = Step {
        count: TASKS,
        resources: Resources { cpu: 10, memory: 10, gpus: 0 },
        estimate: 500,
        ..Step::default()
    };
    cell.admit(Arrival {
        id: "aa".to_owned(),
        part: "q".to_owned(),
        queue: "q".to_owned(),
        organisation: None,
        job: Job { payload: "x".to_owned(), steps: vec![step], schedule: None },
        progress: Progress::default(),
        requested_at: 0,
        inherited,
        start_blocked: false,
    });
    cell
}

/// An answer of `a`, all of whose runs have ended, with the ends after `acknowledged`.
fn answer(now: u64, acknowledged: u64) -> ExecutorReport {
    let last = (acknowledged + PAGE).min(TASKS.into());
    let end = |sequence: u64| EndedRun {
        sequence,
        task: task(u32::try_from(sequence - 1).unwrap()),
        run: 1,
        outcome: RunOutcome::Done,
        checkpoint: String::new(),
    };
    let ended = (acknowledged + 1..=last).map(end).collect();
    ExecutorReport { clock: 1_000 + now, present: Vec::new(), ended }
}

fn starts(cell: &mut Cell, now: u64) -> usize {
    let orders = cell.tick(now, now);
    orders.iter().filter(|order| matches!(order, Order::Start { .. })).count()
}

/// Polls `a` at `now`, acknowledging what is durable.
fn poll(cell: &mut Cell, now: u64) {
    let acknowledged = cell.workers()["a"].end_to_acknowledge();
    cell.grant_lease("a", now);
    cell.handle_poll("a", &answer(now, acknowledged), now, now);
    cell.record_acknowledged("a", acknowledged);
}

fn store_changes(cell: &mut Cell) {
    let (_, flush) = cell.take_changes();
    cell.flush_done(&flush);
}

/// Guards against a new holder that takes the first ends of an executor for all of them, and starts the
/// tasks of the others again.
#[test]
fn a_new_holder_starts_no_task_whose_end_is_not_in_the_first_answer() {
    let mut cell = cell(2, true);
    cell.register(registration("b"));
    for now in (100..2_000).step_by(100) {
        cell.handle_poll("b", &ExecutorReport { clock: now, ..Default::default() }, now, now);
        poll(&mut cell, now);
        assert_eq!(starts(&mut cell, now), 0, "at {now} ms");
        store_changes(&mut cell);
    }
    assert!(!cell.contains_job("aa"), "the job has ended");
}

/// Guards against ends that a holder starts to disregard once the former holder's leases are over,
/// although it has renewed them and an outage of the table keeps it from acknowledging ends.
#[test]
fn unread_ends_are_waited_for_while_the_lease_of_their_executor_lasts() {
    let mut cell = cell(2, true);
    cell.register(registration("b"));
    let mut now = 100;
    while now < 2 * INHERITED_LEASE_MS {
        cell.confirm_ownership(now);
        poll(&mut cell, now);
        cell.handle_poll("b", &ExecutorReport { clock: now, ..Default::default() }, now, now);
        assert_eq!(starts(&mut cell, now), 0, "at {now} ms");
        now += 100;
    }
    // The executor falls silent, and its lease ends.
    let mut started = 0;
    for now in (now..now + 8_000).step_by(100) {
        cell.confirm_ownership(now);
        cell.handle_no_answer("a");
        cell.handle_poll("b", &ExecutorReport { clock: now, ..Default::default() }, now, now);
        started += starts(&mut cell, now);
    }
    assert!(started > 0, "the tasks start elsewhere");
}

/// Guards against the loss of ends with a machine that is moved or switched off because its executor
/// runs nothing and has listed as many ends as an answer holds.
#[test]
fn an_executor_with_unread_ends_is_not_empty() {
    let mut cell = cell(2, true);
    let mut drained = Vec::new();
    for now in [100, 200, 300] {
        poll(&mut cell, now);
        store_changes(&mut cell);
        drained.push((cell.is_drained("a"), cell.shrink_limits().idle));
    }
    assert_eq!(drained, [(false, 0), (false, 0), (true, 1)]);
}

/// Guards against a holder that starts tasks of its own again after a cut, since their ends are not
/// among the first that their executor lists.
#[test]
fn a_holder_starts_no_task_of_its_own_again_after_a_cut() {
    let mut cell = cell(1, false);
    cell.confirm_ownership(10);
    cell.handle_poll("a", &ExecutorReport { clock: 1_000, ..Default::default() }, 0, 10);
    let mut seen = IndexSet::new();
    for now in (20..2_000).step_by(20) {
        for order in cell.tick(now, now) {
            let Order::Start { worker, task, run, .. } = order else { continue };
            assert!(seen.insert(task.clone()), "{task} starts again");
            let outcome = StartOutcome::Running(1_000 + now);
            cell.handle_start_outcome(&worker, &task, run, outcome, now);
        }
        let present = seen.iter().map(|task| PresentRun {
            task: task.clone(),
            run: 1,
            checkpoint: String::new(),
            percent: 10,
            gauge: 0,
        });
        let report =
            ExecutorReport { clock: 1_000 + now, present: present.collect(), ended: vec![] };
        cell.handle_poll("a", &report, now, now);
    }
    assert_eq!(seen.len(), TASKS as usize);
    // The holder hears nothing for less than a lease; meanwhile all runs end.
    cell.handle_no_answer("a");
    for now in (6_000..9_000).step_by(100) {
        cell.confirm_ownership(now);
        poll(&mut cell, now);
        assert_eq!(starts(&mut cell, now), 0, "at {now} ms");
        if now > 7_000 {
            store_changes(&mut cell);
        }
    }
    assert!(!cell.contains_job("aa"), "the job has ended");
}

/// Guards against tasks that start again beside their runs, whose leases the new holder renewed while
/// it read the jobs, before it lost touch with their executor.
#[test]
fn runs_whose_leases_were_renewed_before_they_were_read_are_waited_for() {
    let mut cell = cell(2, true);
    cell.register(registration("b"));
    for now in (100..9_000).step_by(100) {
        cell.grant_lease("a", now);
        cell.record_clock("a", 1_000 + now, now);
    }
    let mut first = None;
    for now in (9_000..20_000).step_by(100) {
        cell.confirm_ownership(now);
        cell.handle_poll("b", &ExecutorReport { clock: now, ..Default::default() }, now, now);
        if starts(&mut cell, now) > 0 {
            first.get_or_insert(now);
        }
    }
    // The last lease was granted at 8.9 s, for 6 s.
    assert!(first.is_some_and(|at| (14_900..16_000).contains(&at)), "{first:?}");
}
