//! Tests of a cell's scheduler, without I/O.
//!
//! They cover leases, hand-over between holders, lost answers, draining, stalled and slow
//! executors, the adviser, the order of assignment and the load figures.

use std::collections::VecDeque;

use indexmap::IndexSet;
use jobs::admit::{self, Load, Verdict};
use jobs::cell::{Arrival, Order, Refusal, StartOutcome};
use jobs::flush::Selection;
use jobs::worker::{EndedRun, PresentRun};
use jobs::{
    AdviceCost, Cell, CellConfig, ExecutorReport, Job, Progress, Queue, Registration, Resources,
    RunOutcome, Step, TaskId,
};

/// Duration of executors' leases, in milliseconds.
const LEASE_MS: u64 = 6_000;
/// Longest time from a stop order to the end of the run, in milliseconds.
const STOP_TIMEOUT_MS: u64 = 900;
/// Id of the job in most tests.
const JOB: &str = "00000000000000aa";

fn config(term: u64) -> CellConfig {
    CellConfig {
        lease: LEASE_MS,
        inherited_lease: 16_000,
        stop_timeout: STOP_TIMEOUT_MS,
        early_start: 0,
        term,
    }
}

fn executor(id: &str) -> Registration {
    Registration {
        id: id.to_owned(),
        pool: "p".to_owned(),
        address: format!("10.0.0.{}:1", id.len()),
        ready: true,
        capacity: Resources { cpu: 4_000, memory: 4_000, gpus: 0 },
        ..Registration::default()
    }
}

fn step(count: u32, cpu: u64) -> Step {
    Step {
        count,
        resources: Resources { cpu, memory: 10, gpus: 0 },
        estimate: 500,
        ..Step::default()
    }
}

fn arrival(steps: Vec<Step>, inherited: bool) -> Arrival {
    Arrival {
        id: JOB.to_owned(),
        part: "q".to_owned(),
        queue: "q".to_owned(),
        job: Job { payload: "x".to_owned(), steps, schedule: None },
        progress: Progress::default(),
        requested_at: 0,
        inherited,
        start_blocked: false,
        organisation: None,
    }
}

fn task(step: usize, index: u32) -> TaskId {
    TaskId { job: JOB.to_owned(), occurrence: 0, step, index }
}

fn cell(term: u64, executors: &[&str]) -> Cell {
    let mut cell = Cell::new(config(term), 0);
    let queue = Queue {
        name: "q".to_owned(),
        max_attempts: 2,
        stretch: 1_600,
        objective_base: 600,
        ..Queue::default()
    };
    cell.configure(std::iter::once(&queue));
    for id in executors {
        cell.register(executor(id));
    }
    cell
}

fn poll_answer(clock: u64) -> ExecutorReport {
    ExecutorReport { clock, ..ExecutorReport::default() }
}

fn present(task: TaskId, run: u64) -> PresentRun {
    PresentRun { task, run, checkpoint: String::new(), percent: 100, gauge: 0 }
}

fn starts(orders: &[Order]) -> Vec<(String, TaskId, u64)> {
    orders
        .iter()
        .filter_map(|order| match order {
            Order::Start { worker, task, run, .. } => Some((worker.clone(), task.clone(), *run)),
            _ => None,
        })
        .collect()
}

fn end(sequence: u64, task: TaskId, run: u64, outcome: RunOutcome) -> EndedRun {
    EndedRun { sequence, task, run, outcome, checkpoint: String::new() }
}

/// Starts the first task of the job on executor `a`.
fn start_first_task(cell: &mut Cell) {
    cell.handle_poll("a", &poll_answer(100), 0, 1);
    cell.tick(2, 0);
    cell.handle_start_outcome("a", &task(0, 0), 1, StartOutcome::Running(101), 3);
}

/// Reports the first task of the job as done.
fn finish_first_task(cell: &mut Cell) {
    let mut answer = poll_answer(110);
    answer.ended = vec![end(1, task(0, 0), 1, RunOutcome::Done)];
    cell.handle_poll("a", &answer, 4, 10);
}

#[test]
fn runs_of_a_former_holder_keep_their_resources_until_their_lease_has_expired() {
    let mut cell = cell(2, &["a"]);
    cell.admit(arrival(vec![step(1, 4_000)], true));
    let mut answer = poll_answer(1_000);
    answer.present = vec![present(task(0, 0), 7)];
    cell.handle_poll("a", &answer, 5, 10);
    for now in [20, 500, 3_000] {
        assert!(starts(&cell.tick(now, now)).is_empty(), "the run may still be active at {now} ms");
    }
    // The executor stops answering. Its lease ends when its clock shows 7000 ms, and that clock
    // may run 2 % slow.
    assert!(starts(&cell.tick(6_010, 0)).is_empty());
}

#[test]
fn a_step_waits_for_the_steps_before_it() {
    let mut cell = cell(1, &["a"]);
    let second = Step { depends_on: vec![0], ..step(1, 100) };
    cell.admit(arrival(vec![step(2, 100), second], false));
    cell.handle_poll("a", &poll_answer(100), 0, 1);
    let first = starts(&cell.tick(2, 0));
    assert_eq!(first.len(), 2);
    for (worker, task, run) in &first {
        cell.handle_start_outcome(worker, task, *run, StartOutcome::Running(101), 3);
    }
    let mut answer = poll_answer(110);
    answer.ended = vec![end(1, task(0, 0), 1, RunOutcome::Done)];
    answer.present = vec![present(task(0, 1), 1)];
    cell.handle_poll("a", &answer, 4, 10);
    assert!(starts(&cell.tick(11, 0)).is_empty());
    let mut answer = poll_answer(120);
    answer.ended = vec![end(2, task(0, 1), 1, RunOutcome::Done)];
    cell.handle_poll("a", &answer, 12, 20);
    assert_eq!(starts(&cell.tick(21, 0)), [("a".to_owned(), task(1, 0), 1)]);
}

#[test]
fn a_job_fails_after_the_allowed_attempts_of_a_task() {
    let mut cell = cell(1, &["a"]);
    cell.admit(arrival(vec![step(1, 100)], false));
    cell.handle_poll("a", &poll_answer(100), 0, 1);
    for run in 1..=2 {
        let now = run * 1_000;
        cell.handle_poll("a", &poll_answer(100 + now), now - 10, now - 5);
        assert_eq!(starts(&cell.tick(now, 0)), [("a".to_owned(), task(0, 0), run)]);
        cell.handle_start_outcome("a", &task(0, 0), run, StartOutcome::Running(101), now + 1);
        let mut answer = poll_answer(150 + now);
        answer.ended = vec![end(run, task(0, 0), run, RunOutcome::Failed)];
        cell.handle_poll("a", &answer, now + 2, now + 5);
    }
    let (changes, _) = cell.take_changes();
    assert_eq!(changes[0].state, jobs::State::Failed);
}

#[test]
fn an_unanswered_start_keeps_its_resources_until_a_stop_is_answered() {
    let mut cell = cell(1, &["a"]);
    cell.admit(arrival(vec![step(1, 4_000)], false));
    cell.handle_poll("a", &poll_answer(100), 0, 1);
    assert_eq!(starts(&cell.tick(2, 0)).len(), 1);
    cell.handle_start_outcome("a", &task(0, 0), 1, StartOutcome::Unknown, 900);
    let orders = cell.tick(901, 0);
    assert!(matches!(orders[..], [Order::Stop { run: 1, .. }]), "{orders:?}");
    cell.handle_stop_answer("a", &task(0, 0), 1, true, 905);
    assert!(starts(&cell.tick(906, 0)).is_empty());
    cell.handle_poll("a", &poll_answer(1_010), 910, 915);
    cell.confirm_ownership(950);
    assert_eq!(starts(&cell.tick(1_000, 0)), [("a".to_owned(), task(0, 0), 2)]);
}

#[test]
fn an_unanswered_start_of_a_long_running_task_is_stopped_only_if_the_run_has_not_begun() {
    let unanswered = || {
        let mut cell = cell(1, &["a"]);
        let long_running = Step { long_running: true, max_unavailable: 1, ..step(1, 1_000) };
        cell.admit(arrival(vec![long_running], false));
        cell.handle_poll("a", &poll_answer(100), 0, 1);
        assert_eq!(starts(&cell.tick(2, 0)).len(), 1);
        cell.handle_start_outcome("a", &task(0, 0), 1, StartOutcome::Unknown, 900);
        assert!(cell.tick(901, 0).is_empty(), "the next poll shows whether it runs");
        cell
    };
    // The start was only answered late: a stop would end a working task.
    let mut slow = unanswered();
    let mut answer = poll_answer(1_010);
    answer.present = vec![present(task(0, 0), 1)];
    slow.handle_poll("a", &answer, 910, 915);
    assert!(slow.tick(916, 0).is_empty());
    // A poll sent before the start timed out does not show whether the run has begun.
    let mut lost = unanswered();
    lost.handle_poll("a", &poll_answer(1_000), 890, 905);
    assert!(lost.tick(906, 0).is_empty());
    // The start may still arrive; the stop prevents the run from beginning beside another one.
    lost.handle_poll("a", &poll_answer(1_010), 910, 915);
    let orders = lost.tick(916, 0);
    assert!(matches!(orders[..], [Order::Stop { run: 1, .. }]), "{orders:?}");
}

#[test]
fn ends_are_acknowledged_only_when_they_are_durable() {
    let mut cell = cell(1, &["a"]);
    cell.admit(arrival(vec![step(1, 100)], false));
    start_first_task(&mut cell);
    finish_first_task(&mut cell);
    assert_eq!(cell.workers()["a"].last_durable_end, 0);
    let (changes, flush) = cell.take_changes();
    assert_eq!(changes[0].state, jobs::State::Completed);
    cell.flush_done(&flush);
    assert_eq!(cell.workers()["a"].last_durable_end, 1);
    assert!(!cell.contains_job(JOB));
}

/// Guards against a part of the table without writes that holds up the ends of jobs in other parts,
/// and against an acknowledged end whose effect is not durable.
#[test]
fn ends_in_one_part_are_durable_while_another_part_takes_no_writes() {
    let mut cell = cell(1, &["a"]);
    let other = "00000000000000bb";
    cell.admit(arrival(vec![step(1, 100)], false));
    cell.admit(Arrival {
        id: other.to_owned(),
        part: "other".to_owned(),
        ..arrival(vec![step(1, 100)], false)
    });
    cell.handle_poll("a", &poll_answer(100), 0, 1);
    cell.tick(2, 0);
    let other_task = TaskId { job: other.to_owned(), ..task(0, 0) };
    for started in [&task(0, 0), &other_task] {
        cell.handle_start_outcome("a", started, 1, StartOutcome::Running(101), 3);
    }
    let (_, flush) = cell.take_changes();
    cell.flush_done(&flush);
    let mut answer = poll_answer(110);
    answer.ended =
        vec![end(1, task(0, 0), 1, RunOutcome::Done), end(2, other_task, 1, RunOutcome::Done)];
    cell.handle_poll("a", &answer, 4, 10);
    let mut parts = cell.take_changes_by_part(|part| match part {
        "q" => Selection::None,
        _ => Selection::All,
    });
    assert_eq!(parts.keys().collect::<Vec<_>>(), ["other"]);
    cell.flush_done(&parts["other"].1);
    assert!(!cell.contains_job(other), "its end is durable");
    assert!(cell.contains_job(JOB), "its end is not durable");
    assert_eq!(cell.workers()["a"].last_durable_end, 0, "ends are acknowledged in order");
    parts = cell.take_changes_by_part(|_| Selection::All);
    assert_eq!(parts.keys().collect::<Vec<_>>(), ["q"]);
    cell.flush_done(&parts["q"].1);
    assert_eq!(cell.workers()["a"].last_durable_end, 2);
    assert!(!cell.is_dirty());
}

/// Guards against an executor whose ends are never acknowledged again, because one of them belongs to
/// a job that has ended meanwhile.
#[test]
fn an_end_reported_while_the_end_of_its_job_is_written_is_acknowledged() {
    let mut cell = cell(1, &["a"]);
    cell.admit(arrival(vec![step(1, 100)], false));
    start_first_task(&mut cell);
    cell.cancel(JOB, 5);
    let (_, flush) = cell.take_changes();
    finish_first_task(&mut cell);
    cell.flush_done(&flush);
    assert!(!cell.contains_job(JOB));
    cell.take_changes();
    assert_eq!(cell.workers()["a"].last_durable_end, 1);
}

/// Guards against a task that runs twice because the list of the executors in use was damaged.
#[test]
fn inherited_jobs_wait_for_the_leases_of_executors_that_are_not_known() {
    let mut cell = cell(2, &["a"]);
    cell.inherit_unknown();
    cell.admit(arrival(vec![step(1, 100)], true));
    cell.handle_poll("a", &poll_answer(100), 0, 1);
    cell.confirm_ownership(1_000);
    assert!(starts(&cell.tick(1_000, 0)).is_empty());
    cell.handle_poll("a", &poll_answer(17_100), 17_000, 17_001);
    cell.confirm_ownership(17_001);
    assert_eq!(starts(&cell.tick(17_002, 0)).len(), 1);
}

/// Guards against an end that is acknowledged though its effect was left out of a write.
#[test]
fn a_write_of_ended_jobs_acknowledges_no_ends_of_unfinished_jobs() {
    let mut cell = cell(1, &["a"]);
    let other = "00000000000000bb";
    cell.admit(arrival(vec![step(2, 100)], false));
    cell.admit(Arrival { id: other.to_owned(), ..arrival(vec![step(1, 100)], false) });
    cell.handle_poll("a", &poll_answer(100), 0, 1);
    cell.tick(2, 0);
    let other_task = TaskId { job: other.to_owned(), ..task(0, 0) };
    for started in [&task(0, 0), &task(0, 1), &other_task] {
        cell.handle_start_outcome("a", started, 1, StartOutcome::Running(101), 3);
    }
    let mut answer = poll_answer(110);
    answer.present = vec![present(task(0, 1), 1)];
    answer.ended =
        vec![end(1, task(0, 0), 1, RunOutcome::Done), end(2, other_task, 1, RunOutcome::Done)];
    cell.handle_poll("a", &answer, 4, 10);
    let parts = cell.take_changes_by_part(|_| Selection::Ended);
    let (changes, flush) = &parts["q"];
    assert_eq!(changes.iter().map(|change| change.id.as_str()).collect::<Vec<_>>(), [other]);
    cell.flush_done(flush);
    assert_eq!(cell.workers()["a"].last_durable_end, 0, "the end of an unfinished job comes first");
    let (changes, flush) = cell.take_changes();
    assert_eq!(changes.len(), 1);
    cell.flush_done(&flush);
    assert_eq!(cell.workers()["a"].last_durable_end, 2);
}

#[test]
fn a_job_whose_end_is_durable_is_not_admitted_again_by_an_outdated_read() {
    let mut cell = cell(1, &["a"]);
    cell.admit(arrival(vec![step(1, 100)], false));
    start_first_task(&mut cell);
    finish_first_task(&mut cell);
    let (_, flush) = cell.take_changes();
    cell.flush_done(&flush);
    cell.admit(arrival(vec![step(1, 100)], true));
    assert!(starts(&cell.tick(20, 0)).is_empty());
}

#[test]
fn a_job_starts_only_once_the_table_records_that_it_may_have_started() {
    let mut cell = cell(1, &["a"]);
    cell.handle_poll("a", &poll_answer(1), 0, 1);
    cell.admit(Arrival { start_blocked: true, ..arrival(vec![step(1, 1_000)], false) });
    assert!(starts(&cell.tick(10, 0)).is_empty());
    cell.allow_start(JOB);
    assert_eq!(starts(&cell.tick(20, 0)).len(), 1);
}

#[test]
fn jobs_that_no_former_holder_can_have_started_do_not_wait_for_an_unresponsive_executor() {
    let mut cell = cell(2, &["a"]);
    cell.inherit(executor("b"));
    cell.handle_poll("a", &poll_answer(1), 0, 1);
    let new = Arrival { id: "00000000000000bb".to_owned(), ..arrival(vec![step(1, 1_000)], false) };
    cell.admit(arrival(vec![step(1, 1_000)], true));
    cell.admit(new);
    let begun = starts(&cell.tick(10, 0));
    let jobs: Vec<&str> = begun.iter().map(|(_, task, _)| task.job.as_str()).collect();
    assert_eq!(jobs, ["00000000000000bb"]);
}

#[test]
fn ends_reported_to_a_new_holder_are_handled_before_it_starts_tasks() {
    let mut cell = cell(2, &["a"]);
    cell.inherit(executor("b"));
    cell.admit(arrival(vec![step(1, 100)], true));
    let mut answer = poll_answer(500);
    answer.ended = vec![end(1, task(0, 0), 1, RunOutcome::Done)];
    cell.handle_poll("a", &answer, 4, 10);
    // Executor `b` never answers.
    cell.unlist("b");
    for now in [20, 17_000] {
        cell.confirm_ownership(now);
        cell.handle_poll("a", &poll_answer(500 + now), now - 5, now);
        assert!(starts(&cell.tick(now, now)).is_empty(), "at {now} ms");
    }
    let (changes, _) = cell.take_changes();
    assert_eq!(changes[0].state, jobs::State::Completed);
}

#[test]
fn runs_of_an_unresponsive_executor_are_released_after_its_lease() {
    let mut cell = cell(1, &["a"]);
    cell.admit(arrival(vec![Step { long_running: true, ..step(1, 100) }], false));
    start_first_task(&mut cell);
    for now in (1_000..8_000).step_by(250) {
        assert!(cell.grant_lease("a", now).is_none() || now == 1_000);
        cell.handle_no_answer("a");
        cell.confirm_ownership(now);
        cell.tick(now, 0);
    }
    assert!(cell.workers()["a"].runs.is_empty());
}

#[test]
fn runs_of_an_unresponsive_executor_missing_from_the_machine_list_are_released_once_confirmed() {
    let mut cell = cell(1, &["a", "bb"]);
    cell.admit(arrival(vec![step(1, 100)], false));
    cell.handle_poll("a", &poll_answer(100), 0, 1);
    let first = starts(&cell.tick(2, 0));
    assert_eq!(first.len(), 1);
    cell.handle_start_outcome("a", &task(0, 0), 1, StartOutcome::Running(101), 3);
    // The task has run for long enough not to be suspected of the crash.
    let answer = ExecutorReport { present: vec![present(task(0, 0), 1)], ..poll_answer(601) };
    cell.handle_poll("a", &answer, 502, 503);
    cell.handle_poll("bb", &poll_answer(600), 504, 505);
    let list = |ids: &[&str]| ids.iter().map(|id| (*id).to_owned()).collect();
    assert!(!cell.needs_liveness_check());
    assert!(cell.mark_missing_dead(&list(&["bb"]), 550, 560).is_empty(), "the executor answers");
    cell.handle_no_answer("a");
    assert!(cell.needs_liveness_check());
    assert!(
        cell.mark_missing_dead(&list(&["a", "bb"]), 1_000, 1_010).is_empty(),
        "the executor is live"
    );
    assert!(
        cell.mark_missing_dead(&list(&["z"]), 1_000, 1_010).is_empty(),
        "the list does not cover this cell"
    );
    assert!(
        cell.mark_missing_dead(&list(&["bb"]), 2, 1_010).is_empty(),
        "requested before the executor answered"
    );
    assert!(starts(&cell.tick(1_020, 0)).is_empty());
    assert_eq!(cell.mark_missing_dead(&list(&["bb"]), 1_000, 1_030), ["a"]);
    assert!(starts(&cell.tick(1_035, 0)).is_empty(), "a later holder may know its end");
    cell.confirm_ownership(1_036);
    assert_eq!(starts(&cell.tick(1_040, 0)), [("bb".to_owned(), task(0, 0), 2)]);
}

#[test]
fn a_holder_without_confirmed_ownership_does_not_treat_a_lease_as_expired() {
    let mut cell = cell(1, &["a"]);
    cell.admit(arrival(vec![step(1, 100)], false));
    start_first_task(&mut cell);
    cell.handle_no_answer("a");
    cell.tick(8_000, 0);
    // A later holder may have renewed the lease in the meantime.
    assert_eq!(cell.workers()["a"].runs.len(), 1);
}

#[test]
fn a_new_holder_starts_no_task_on_an_executor_to_be_drained() {
    let mut cell = cell(2, &[]);
    cell.set_leaving(std::iter::once("a".to_owned()).collect());
    cell.register(executor("a"));
    cell.admit(arrival(vec![step(1, 100)], false));
    cell.handle_poll("a", &poll_answer(100), 0, 1);
    assert!(starts(&cell.tick(2, 0)).is_empty());
}

#[test]
fn a_long_running_task_is_not_stopped_while_another_of_its_step_has_no_recent_report() {
    let mut cell = cell(1, &["a", "bb"]);
    let pair = Step { long_running: true, max_per_executor: 1, max_unavailable: 1, ..step(2, 100) };
    cell.admit(arrival(vec![pair], false));
    for id in ["a", "bb"] {
        cell.handle_poll(id, &poll_answer(100), 0, 1);
    }
    for (worker, task, run) in starts(&cell.tick(2, 0)) {
        cell.handle_start_outcome(&worker, &task, run, StartOutcome::Running(101), 3);
        let mut answer = poll_answer(110);
        answer.present = vec![present(task, run)];
        cell.handle_poll(&worker, &answer, 4, 10);
    }
    cell.set_leaving(std::iter::once("a".to_owned()).collect());
    // An executor that can take the stopped task.
    cell.register(executor("ccc"));
    cell.handle_poll("ccc", &poll_answer(100), 4_000, 4_010);
    let mut answer = poll_answer(4_110);
    answer.present = vec![present(cell.workers()["a"].runs.keys().next().unwrap().clone(), 1)];
    cell.handle_poll("a", &answer, 4_000, 4_010);
    let stops = |orders: Vec<Order>| orders.iter().any(|o| matches!(o, Order::Stop { .. }));
    assert!(!stops(cell.tick(4_020, 0)), "the other task was last reported 4 s ago");
    let mut answer = poll_answer(4_110);
    answer.present = vec![present(cell.workers()["bb"].runs.keys().next().unwrap().clone(), 1)];
    cell.handle_poll("bb", &answer, 4_000, 4_030);
    assert!(stops(cell.tick(4_040, 0)));
}

#[test]
fn a_new_holder_stops_no_long_running_task_while_its_predecessor_may_have_stopped_another() {
    let mut cell = cell(2, &["a", "bb", "ccc"]);
    let pair = Step { long_running: true, max_per_executor: 1, max_unavailable: 1, ..step(2, 100) };
    cell.admit(arrival(vec![pair], true));
    cell.set_leaving(std::iter::once("a".to_owned()).collect());
    // An executor that can take the stopped task.
    cell.handle_poll("ccc", &poll_answer(1_000), 0, 5);
    let poll_both = |cell: &mut jobs::Cell, sent: u64| {
        for (id, index) in [("a", 0), ("bb", 1)] {
            let mut answer = poll_answer(1_000 + sent);
            answer.present = vec![present(task(0, index), 1)];
            cell.handle_poll(id, &answer, sent, sent + 5);
        }
    };
    let stops = |orders: Vec<Order>| orders.iter().any(|o| matches!(o, Order::Stop { .. }));
    poll_both(&mut cell, 0);
    assert!(!stops(cell.tick(10, 0)), "the former holder may have stopped the other task");
    poll_both(&mut cell, STOP_TIMEOUT_MS - 10);
    assert!(!stops(cell.tick(STOP_TIMEOUT_MS, 0)));
    poll_both(&mut cell, STOP_TIMEOUT_MS + 10);
    assert!(stops(cell.tick(STOP_TIMEOUT_MS + 20, 0)), "the other task certainly keeps working");
}

/// Guards against a task that counts as working by the answer to another order, or by one that was
/// read late, while the former holder's stop of it takes effect.
#[test]
fn an_inherited_run_counts_as_working_only_by_a_poll_sent_after_a_former_stop() {
    let mut cell = cell(2, &["a", "bb", "ccc"]);
    let pair = Step { long_running: true, max_per_executor: 1, max_unavailable: 1, ..step(2, 100) };
    cell.admit(arrival(vec![pair], true));
    cell.set_leaving(std::iter::once("a".to_owned()).collect());
    // An executor that can take the stopped task.
    cell.handle_poll("ccc", &poll_answer(1_000), 0, 5);
    let poll = |cell: &mut jobs::Cell, sent: u64, now: u64| {
        for (id, index) in [("a", 0), ("bb", 1)] {
            let mut answer = poll_answer(1_000 + sent);
            answer.present = vec![present(task(0, index), 1)];
            cell.handle_poll(id, &answer, sent, now);
        }
    };
    let stops = |orders: Vec<Order>| orders.iter().any(|o| matches!(o, Order::Stop { .. }));
    poll(&mut cell, 0, 5);
    let late = STOP_TIMEOUT_MS + 10;
    cell.handle_start_outcome("bb", &task(0, 9), 1, StartOutcome::Running(1_000 + late), late);
    assert!(!stops(cell.tick(late, 0)), "a start's answer does not list the other task");
    poll(&mut cell, 20, late + 10);
    assert!(!stops(cell.tick(late + 20, 0)), "the answer is as old as its poll");
    poll(&mut cell, late + 20, late + 30);
    assert!(stops(cell.tick(late + 40, 0)), "the other task certainly keeps working");
}

/// Guards against a long-running best-effort task that is stopped for its lack of progress while it is
/// paused for a serving task.
#[test]
fn a_paused_best_effort_task_does_not_count_as_stalled() {
    let mut cell = cell(1, &["a"]);
    let serving = Step { long_running: true, latency_target: 100, ..step(1, 2_000) };
    let fills = Step { long_running: true, best_effort: true, ..step(1, 1_000) };
    cell.admit(arrival(vec![serving, fills], false));
    cell.handle_poll("a", &poll_answer(100), 0, 1);
    for (worker, task, run) in starts(&cell.tick(2, 0)) {
        cell.handle_start_outcome(&worker, &task, run, StartOutcome::Running(101), 3);
    }
    for now in (100..12_000).step_by(100) {
        let mut answer = poll_answer(100 + now);
        let serves = PresentRun { gauge: 95, ..present(task(0, 0), 1) };
        let paused = PresentRun { percent: 0, ..present(task(1, 0), 1) };
        answer.present = vec![serves, paused];
        cell.handle_poll("a", &answer, now - 5, now);
        cell.grant_lease("a", now);
        let orders = cell.tick(now, 0);
        let stopped = orders.iter().any(|order| matches!(order, Order::Stop { .. }));
        assert!(!stopped, "stopped at {now} ms: {orders:?}");
    }
}

/// Guards against a task that is stopped for maintenance and then runs nowhere for seconds, as the
/// executors that stay run its siblings.
#[test]
fn a_long_running_task_is_not_stopped_while_no_other_executor_can_take_it() {
    let mut cell = cell(1, &["a", "bb"]);
    let pair = Step { long_running: true, max_per_executor: 1, ..step(2, 100) };
    cell.admit(arrival(vec![pair], false));
    for id in ["a", "bb"] {
        cell.handle_poll(id, &poll_answer(100), 0, 1);
    }
    for (worker, task, run) in starts(&cell.tick(2, 0)) {
        cell.handle_start_outcome(&worker, &task, run, StartOutcome::Running(101), 3);
    }
    let poll = |cell: &mut jobs::Cell, now: u64| {
        for id in ["a", "bb"] {
            let mut answer = poll_answer(100 + now);
            let task = cell.workers()[id].runs.keys().next().unwrap().clone();
            answer.present = vec![present(task, 1)];
            cell.handle_poll(id, &answer, now - 5, now);
        }
    };
    let stops = |orders: Vec<Order>| orders.iter().any(|o| matches!(o, Order::Stop { .. }));
    cell.set_leaving(std::iter::once("a".to_owned()).collect());
    for now in (1_000..5_000).step_by(500) {
        poll(&mut cell, now);
        assert!(!stops(cell.tick(now, 0)), "no executor can take the task at {now} ms");
    }
    cell.register(executor("ccc"));
    cell.handle_poll("ccc", &poll_answer(100), 5_000, 5_005);
    poll(&mut cell, 5_010);
    assert!(stops(cell.tick(5_020, 0)));
}

/// Guards against maintenance that never ends because its machine runs a task that no other executor
/// can ever take.
#[test]
fn a_long_running_task_is_stopped_for_maintenance_at_last_though_no_other_executor_can_take_it() {
    let mut cell = cell(1, &["a"]);
    cell.admit(arrival(vec![Step { long_running: true, ..step(1, 100) }], false));
    start_first_task(&mut cell);
    cell.set_leaving(std::iter::once("a".to_owned()).collect());
    let stopped_at = (100..20_000).step_by(100).find(|now| {
        let mut answer = poll_answer(100 + now);
        answer.present = vec![present(task(0, 0), 1)];
        cell.handle_poll("a", &answer, now - 5, *now);
        cell.grant_lease("a", *now);
        cell.tick(*now, 0).iter().any(|order| matches!(order, Order::Stop { .. }))
    });
    assert!(stopped_at.is_some_and(|at| at < 10_000), "{stopped_at:?}");
}

#[test]
fn a_run_of_an_unknown_job_reserves_its_whole_executor_until_it_ends() {
    let mut cell = cell(2, &["a"]);
    let unknown = TaskId { job: "00000000000000bb".to_owned(), ..task(0, 0) };
    let mut answer = poll_answer(500);
    answer.present = vec![present(unknown.clone(), 9)];
    cell.handle_poll("a", &answer, 4, 10);
    cell.admit(arrival(vec![step(1, 100)], false));
    let orders = cell.tick(11, 0);
    assert!(matches!(&orders[..], [Order::Stop { task, run: 9, .. }] if *task == unknown));
    cell.handle_stop_answer("a", &unknown, 9, true, 12);
    let mut answer = poll_answer(600);
    answer.ended = vec![end(1, unknown, 9, RunOutcome::Stopped)];
    cell.handle_poll("a", &answer, 13, 20);
    assert_eq!(starts(&cell.tick(21, 0)).len(), 1);
}

#[test]
fn a_step_under_advice_runs_only_where_the_adviser_allows_it() {
    let mut cell = cell(1, &["a", "bb"]);
    let queue = Queue {
        name: "q".to_owned(),
        max_attempts: 2,
        advice: Some(AdviceCost::default()),
        ..Queue::default()
    };
    cell.configure(std::iter::once(&queue));
    cell.admit(arrival(vec![step(1, 100)], false));
    for id in ["a", "bb"] {
        cell.handle_poll(id, &poll_answer(100), 0, 1);
    }
    cell.permit_query(true);
    let orders = cell.tick(2, 0);
    let [Order::Advise { step, workers, .. }] = &orders[..] else { panic!("{orders:?}") };
    assert_eq!(workers.len(), 2);
    assert!(cell.tick(30, 0).is_empty(), "one query at a time");
    let tickets = vec![("bb".to_owned(), "t-1".to_owned())];
    cell.handle_advice(step, workers, tickets, 3_000, 40);
    let orders = cell.tick(41, 0);
    let [Order::Start { worker, ticket, .. }] = &orders[..] else { panic!("{orders:?}") };
    assert_eq!((worker.as_str(), ticket.as_str()), ("bb", "t-1"));
}

#[test]
fn a_task_without_progress_is_stopped() {
    let mut cell = cell(1, &["a", "bb"]);
    cell.admit(arrival(vec![step(1, 100)], false));
    for id in ["a", "bb"] {
        cell.handle_poll(id, &poll_answer(100), 0, 1);
    }
    let (first, task, run) = starts(&cell.tick(2, 0))[0].clone();
    cell.handle_start_outcome(&first, &task, run, StartOutcome::Running(101), 3);
    let mut stopped = false;
    for now in (100..1_200).step_by(100) {
        let mut answer = poll_answer(100 + now);
        answer.present = vec![PresentRun { percent: 7, ..present(task.clone(), run) }];
        cell.handle_poll(&first, &answer, now - 5, now);
        stopped |= cell.tick(now, 0).iter().any(|o| matches!(o, Order::Stop { .. }));
    }
    assert!(stopped);
}

#[test]
fn a_task_that_failed_on_an_executor_is_tried_on_another() {
    let mut cell = cell(1, &["a", "bb"]);
    cell.admit(arrival(vec![step(1, 100)], false));
    for id in ["a", "bb"] {
        cell.handle_poll(id, &poll_answer(100), 0, 1);
    }
    let (first, task, run) = starts(&cell.tick(2, 0))[0].clone();
    cell.handle_start_outcome(&first, &task, run, StartOutcome::Running(101), 3);
    let mut answer = poll_answer(150);
    answer.ended = vec![end(1, task, run, RunOutcome::Failed)];
    cell.handle_poll(&first, &answer, 4, 10);
    let (second, ..) = starts(&cell.tick(200, 0))[0].clone();
    assert_ne!(first, second);
}

#[test]
fn an_executor_much_slower_than_the_others_gets_no_task_while_others_have_room() {
    let ids = ["a", "bb", "ccc", "dddd"];
    let mut cell = cell(1, &ids);
    cell.admit(arrival(vec![Step { max_per_executor: 1, ..step(4, 100) }], false));
    for id in ids {
        cell.handle_poll(id, &poll_answer(100), 0, 1);
    }
    let first = starts(&cell.tick(2, 0));
    for (worker, task, run) in &first {
        cell.handle_start_outcome(worker, task, *run, StartOutcome::Running(101), 3);
    }
    for now in (250..700).step_by(100) {
        for (worker, task, run) in &first {
            let percent = if worker == "a" { now / 50 } else { now / 5 };
            let mut answer = poll_answer(100 + now);
            answer.present =
                vec![PresentRun { percent: percent.min(99), ..present(task.clone(), *run) }];
            cell.handle_poll(worker, &answer, now - 20, now);
        }
    }
    let later = Arrival { id: "00000000000000cc".to_owned(), ..arrival(vec![step(8, 100)], false) };
    cell.admit(later);
    let chosen = starts(&cell.tick(660, 0));
    let chosen: Vec<_> = chosen.into_iter().filter(|(_, t, _)| t.job != JOB).collect();
    assert_eq!(chosen.len(), 8);
    assert!(chosen.iter().all(|(worker, ..)| worker != "a"), "{chosen:?}");
}

#[test]
fn a_job_that_has_started_is_finished_before_a_new_one_starts() {
    let mut cell = cell(1, &["a"]);
    let second = Step { depends_on: vec![0], ..step(1, 4_000) };
    cell.admit(arrival(vec![step(1, 4_000), second], false));
    cell.handle_poll("a", &poll_answer(100), 0, 1);
    let (worker, task, run) = starts(&cell.tick(2, 0))[0].clone();
    cell.handle_start_outcome(&worker, &task, run, StartOutcome::Running(101), 3);
    cell.admit(Arrival {
        id: "00000000000000bb".to_owned(),
        ..arrival(vec![step(1, 4_000)], false)
    });
    let mut answer = poll_answer(700);
    answer.ended = vec![end(1, task, run, RunOutcome::Done)];
    cell.handle_poll("a", &answer, 590, 600);
    let next = starts(&cell.tick(601, 0));
    assert_eq!(next.iter().map(|(_, t, _)| t.job.as_str()).collect::<Vec<_>>(), [JOB]);
}

#[test]
fn work_below_the_capacity_of_a_pool_leaves_whole_executors_idle() {
    let mut cell = cell(1, &["a", "bb", "ccc"]);
    let mut running: Vec<(String, TaskId, u64)> = Vec::new();
    // Jobs of two small tasks arrive and end continuously; together they need half an executor.
    for number in 0..20 {
        let now = number * 100 + 10;
        let mut job = arrival(vec![step(2, 500)], false);
        job.id = format!("{number:016x}");
        job.requested_at = now;
        cell.admit(job);
        let finished: Vec<_> =
            if running.len() > 2 { running.drain(..2).collect() } else { vec![] };
        for id in ["a", "bb", "ccc"] {
            let mut answer = poll_answer(now);
            let on_executor = |runs: &[(String, TaskId, u64)]| -> Vec<(TaskId, u64)> {
                runs.iter().filter(|r| r.0 == id).map(|r| (r.1.clone(), r.2)).collect()
            };
            answer.present =
                on_executor(&running).into_iter().map(|(t, run)| present(t, run)).collect();
            let seen_ends = cell.workers()[id].last_seen_end;
            let ends = on_executor(&finished).into_iter().zip(seen_ends + 1..);
            answer.ended = ends.map(|((t, run), n)| end(n, t, run, RunOutcome::Done)).collect();
            cell.handle_poll(id, &answer, now - 1, now);
        }
        for (worker, task, run) in starts(&cell.tick(now, 0)) {
            cell.handle_start_outcome(&worker, &task, run, StartOutcome::Running(now), now + 1);
            running.push((worker, task, run));
        }
        let idle = cell.workers().values().filter(|w| w.runs.is_empty()).count();
        assert_eq!(idle, 2, "at {now} ms");
    }
}

#[test]
fn the_timely_backlog_excludes_late_work_and_work_behind_an_unresponsive_executor() {
    let mut cell = cell(1, &["a"]);
    let second = Step { depends_on: vec![0], ..step(100, 4_000) };
    cell.admit(arrival(vec![step(1, 100), second], false));
    cell.handle_poll("a", &poll_answer(100), 0, 1);
    assert_eq!(starts(&cell.tick(2, 0)).len(), 1);
    let work = 100 * 4_000 * 500;
    assert_eq!(cell.backlog(2_000), (work, work));
    // The objective is 2.2 s: 1.6 times a chain of 1000 ms, plus 600 ms.
    assert_eq!(cell.backlog(2_500), (0, work));
    // While the executor does not answer, the second step can't start before the lease expires.
    cell.handle_no_answer("a");
    assert_eq!(cell.backlog(2_000), (0, work));
}

#[test]
fn a_gang_that_does_not_fit_reserves_nothing_that_smaller_tasks_need() {
    let mut cell = cell(1, &["a"]);
    let gang = Step { gang: true, ..step(3, 1_500) };
    cell.admit(arrival(vec![gang], false));
    let small =
        Arrival { id: "00000000000000bb".to_owned(), ..arrival(vec![step(4, 1_000)], false) };
    cell.admit(small);
    cell.handle_poll("a", &poll_answer(100), 0, 1);
    let started = starts(&cell.tick(2, 0));
    assert_eq!(started.len(), 4, "the gang needs 4.5 cores of 4: {started:?}");
}

#[test]
fn a_pass_over_a_long_backlog_compares_few_executors() {
    let ids: Vec<String> = (0..250).map(|n| format!("i-{n}")).collect();
    let mut cell = cell(1, &ids.iter().map(String::as_str).collect::<Vec<_>>());
    for n in 0..600 {
        let mut job =
            arrival(vec![step(8, 1_500), Step { depends_on: vec![0], ..step(8, 1_500) }], false);
        job.id = format!("{n:016x}");
        cell.admit(job);
    }
    for id in &ids {
        cell.handle_poll(id, &poll_answer(100), 0, 1);
    }
    let mut count = 0;
    for now in 2..8 {
        count += starts(&cell.tick(now, 0)).len();
    }
    assert_eq!(count, 500, "two tasks on each of 250 executors");
    // The next pass can start nothing and need not compare any executor.
    assert!(starts(&cell.tick(10, 0)).is_empty());
    assert_eq!(cell.executors_compared(), 0, "executors compared in the last pass");
    // A pass after one task has ended compares the one executor that has room again.
    let started: Vec<TaskId> = cell.workers()["i-7"].runs.keys().cloned().collect();
    for task in &started {
        cell.handle_start_outcome("i-7", task, 1, StartOutcome::Running(101), 11);
    }
    let mut answer = poll_answer(120);
    answer.present = vec![present(started[0].clone(), 1)];
    answer.ended = vec![end(1, started[1].clone(), 1, RunOutcome::Done)];
    cell.handle_poll("i-7", &answer, 12, 13);
    assert_eq!(starts(&cell.tick(14, 0)).len(), 1);
    assert!(cell.executors_compared() <= 2, "{} compared", cell.executors_compared());
}

#[test]
fn a_best_effort_task_goes_where_other_tasks_leave_most_cpu() {
    let mut cell = cell(1, &["a", "bb"]);
    let serving = Step { long_running: true, latency_target: 100, ..step(1, 2_000) };
    cell.admit(arrival(vec![serving], false));
    for id in ["a", "bb"] {
        cell.handle_poll(id, &poll_answer(100), 0, 1);
    }
    let served = starts(&cell.tick(2, 0));
    let best_effort = Step { best_effort: true, ..step(1, 2_000) };
    let id = "00000000000000bb".to_owned();
    cell.admit(Arrival { id, ..arrival(vec![best_effort], false) });
    let filled = starts(&cell.tick(3, 0));
    assert_ne!(served[0].0, filled[0].0, "the best-effort task would disturb the serving task");
}

#[test]
fn late_jobs_do_not_count_as_useful_cpu() {
    let mut cell = cell(1, &["a"]);
    cell.admit(arrival(vec![step(2, 1_000)], false));
    cell.handle_poll("a", &poll_answer(100), 0, 1);
    assert_eq!(cell.tick(2, 0).len(), 2);
    // The objective is 1.6 times 500 ms, plus 600 ms.
    assert_eq!(cell.useful_cpu(1_400), 2_000);
    assert_eq!(cell.useful_cpu(1_401), 0);
}

#[test]
fn jobs_whose_results_are_of_no_use_cause_no_refusals() {
    let mut cell = cell(1, &["a"]);
    cell.admit(arrival(vec![step(200, 4_000)], false));
    cell.handle_poll("a", &poll_answer(100), 0, 1);
    cell.tick(2, 0);
    let decide_at = |cell: &Cell, now| {
        let (timely_backlog, backlog) = cell.backlog(now);
        let load = Load {
            jobs: cell.job_count(),
            timely_backlog,
            backlog,
            capacity: 4_000,
            ..Default::default()
        };
        admit::decide(&load, 1_400, 500, 0)
    };
    // A hundred seconds of work wait ahead of a new job.
    assert!(matches!(decide_at(&cell, 1_000), Verdict::Refuse(_)));
    // Three times the objective of 1,400 ms has passed: the new job is scheduled first.
    assert_eq!(decide_at(&cell, 4_201), Verdict::Accept);
}

#[test]
fn a_job_that_is_read_again_is_not_admitted_again() {
    let mut cell = cell(1, &["a"]);
    assert!(cell.admit(arrival(vec![step(1, 100)], false)));
    assert!(!cell.admit(arrival(vec![step(1, 100)], true)));
    start_first_task(&mut cell);
    finish_first_task(&mut cell);
    let (_, flush) = cell.take_changes();
    cell.flush_done(&flush);
    assert!(!cell.admit(arrival(vec![step(1, 100)], true)), "the job has ended");
}

/// The log must show why a long-running task does not run: without the reasons a full pool, an
/// executor that may still run the task and a fault of the scheduler look alike.
#[test]
fn a_waiting_long_running_task_names_what_keeps_it_from_running() {
    let mut cell = cell(1, &["a", "b"]);
    let lasting = Step { long_running: true, ..step(1, 3_000) };
    cell.admit(Arrival {
        id: "00000000000000bb".to_owned(),
        ..arrival(vec![step(1, 2_000)], false)
    });
    cell.handle_poll("a", &poll_answer(100), 0, 1);
    cell.tick(2, 0);
    cell.admit(arrival(vec![lasting], false));
    cell.tick(5, 0);
    let waiting = cell.waiting_tasks(1_000, 1_500);
    assert_eq!(waiting.len(), 1);
    assert_eq!((waiting[0].task.clone(), waiting[0].eligible), (task(0, 0), 0));
    let reasons: Vec<String> =
        waiting[0].obstacles.iter().map(|(why, count)| format!("{why} {count}")).collect();
    assert_eq!(reasons, ["full 1", "unjoined 1"]);
    cell.handle_poll("b", &poll_answer(100), 0, 1_501);
    cell.tick(1_502, 0);
    cell.handle_start_outcome("b", &task(0, 0), 1, StartOutcome::Running(101), 1_503);
    assert!(cell.waiting_tasks(0, 9_000).is_empty());
}

/// Guards against a long-running task that waits because its own failures, or those of others,
/// have excluded every executor.
#[test]
fn a_long_running_task_restarts_though_every_executor_is_excluded() {
    let mut cell = cell(1, &["a"]);
    let long_running = Step { long_running: true, ..step(1, 1_000) };
    cell.admit(arrival(vec![long_running], false));
    for failure in 1..=8 {
        let (now, run) = (failure * 20_000, 2 * failure - 1);
        cell.confirm_ownership(now);
        cell.handle_poll("a", &poll_answer(now), now - 10, now);
        assert_eq!(starts(&cell.tick(now + 5, 0)), [("a".to_owned(), task(0, 0), run)]);
        cell.handle_start_outcome("a", &task(0, 0), run, StartOutcome::Running(now), now + 10);
        let mut answer = poll_answer(now + 9_000);
        answer.ended = vec![end(failure, task(0, 0), run, RunOutcome::Failed)];
        cell.handle_poll("a", &answer, now + 8_990, now + 9_000);
        cell.confirm_ownership(now + 9_000);
        let restarted = starts(&cell.tick(now + 9_100, 0));
        assert_eq!(restarted.len(), 1, "after {failure} failures");
        // The executor rejects the restart, so that each round has one failure.
        let refused = StartOutcome::Refused(Refusal::Late);
        cell.handle_start_outcome("a", &task(0, 0), run + 1, refused, now + 9_110);
    }
}

/// Guards against exclusion for failures that a long-running task's time at work lies between.
#[test]
fn a_long_running_task_at_full_speed_clears_the_failures_of_its_executor() {
    let mut cell = cell(1, &["a"]);
    let long_running = Step { long_running: true, ..step(1, 1_000) };
    cell.admit(arrival(vec![long_running], false));
    for run in 1..=4 {
        let now = run * 5_000;
        cell.confirm_ownership(now);
        cell.handle_poll("a", &poll_answer(now), now - 10, now);
        cell.tick(now + 5, 0);
        cell.handle_start_outcome("a", &task(0, 0), run, StartOutcome::Running(now), now + 10);
        let mut answer = poll_answer(now + 1_000);
        answer.present = vec![present(task(0, 0), run)];
        cell.handle_poll("a", &answer, now + 990, now + 1_000);
        let mut answer = poll_answer(now + 4_000);
        answer.ended = vec![end(run, task(0, 0), run, RunOutcome::Failed)];
        cell.handle_poll("a", &answer, now + 3_990, now + 4_000);
        assert!(cell.workers()["a"].accepts_tasks(now + 4_001), "after {run} failures");
    }
}

/// Executors that are full of small tasks, which end one after the other.
struct FullPool {
    cell: Cell,
    /// Small tasks with their executors, the one that ends next first.
    running: VecDeque<(String, TaskId, u64)>,
    ends: u64,
}

impl FullPool {
    /// Executors of 64 GB with tasks of 8 GB.
    fn new(ids: &[&str]) -> Self {
        let mut cell = Cell::new(config(1), 0);
        for id in ids {
            let capacity = Resources { cpu: 16_000, memory: 64_000, gpus: 0 };
            cell.register(Registration { capacity, ..executor(id) });
            cell.handle_poll(id, &poll_answer(100), 0, 1);
        }
        let small = Step {
            resources: Resources { cpu: 500, memory: 8_000, gpus: 0 },
            estimate: 1_000,
            ..step(1_000, 500)
        };
        cell.admit(arrival(vec![small], false));
        let mut running = starts(&cell.tick(2, 0));
        // The executors take turns.
        running.sort_by_key(|(_, task, _)| task.index % 8);
        Self { cell, running: running.into(), ends: 0 }
    }

    /// Adds a job with one long-running task.
    fn add_long_running(&mut self, id: &str, memory: u64) {
        let long_running = Step {
            long_running: true,
            resources: Resources { cpu: 1_000, memory, gpus: 0 },
            ..step(1, 1_000)
        };
        self.cell.admit(Arrival { id: id.to_owned(), ..arrival(vec![long_running], false) });
    }

    /// Ends the oldest small task and returns the starts that follow.
    fn end_small_task(&mut self, now: u64) -> Vec<(String, TaskId, u64)> {
        let (id, ended, run) = self.running.pop_front().unwrap();
        self.ends += 1;
        let names: Vec<String> = self.cell.workers().keys().cloned().collect();
        for name in names {
            let mut answer = poll_answer(100 + now);
            let here = self.running.iter().filter(|(worker, ..)| *worker == name);
            answer.present = here
                .map(|(_, task, run)| PresentRun { percent: now, ..present(task.clone(), *run) })
                .collect();
            if name == id {
                answer.ended = vec![end(self.ends, ended.clone(), run, RunOutcome::Done)];
            }
            self.cell.handle_poll(&name, &answer, now - 5, now);
        }
        let started = starts(&self.cell.tick(now + 1, 0));
        for (id, task, run) in &started {
            self.cell.handle_start_outcome(id, task, *run, StartOutcome::Running(now), now + 2);
            self.running.push_back((id.clone(), task.clone(), *run));
        }
        started
    }
}

/// Guards against a long-running task that never gets room, because each piece of memory that a
/// small task frees is given to the next one.
#[test]
fn a_large_long_running_task_gets_room_on_executors_full_of_small_tasks() {
    let mut pool = FullPool::new(&["a", "b"]);
    assert_eq!(pool.running.len(), 16, "the small tasks fill both executors");
    let large = "00000000000000bb";
    pool.add_long_running(large, 30_000);
    let mut started = (100..3_000).step_by(60).flat_map(|now| pool.end_small_task(now));
    assert!(started.any(|(_, task, _)| task.job == large), "the large task has not started");
}

/// Guards against executors that stay empty for a task that no executor can run.
#[test]
fn an_executor_is_reserved_only_for_a_task_that_it_can_run() {
    let mut pool = FullPool::new(&["a", "b"]);
    pool.add_long_running("00000000000000bb", 65_000);
    for now in (100..3_000).step_by(60) {
        assert_eq!(pool.end_small_task(now).len(), 1, "a small task takes the piece");
    }
}

/// Guards against an executor that stays reserved for a task that is no longer wanted, and against
/// reservations that hold back more executors than the task needs.
#[test]
fn a_reservation_holds_back_one_executor_until_the_job_ends() {
    let mut pool = FullPool::new(&["a", "b"]);
    let large = "00000000000000bb";
    pool.add_long_running(large, 60_000);
    let started: Vec<_> = (100..800).step_by(60).flat_map(|now| pool.end_small_task(now)).collect();
    let executors: IndexSet<&String> = started.iter().map(|(id, ..)| id).collect();
    assert_eq!(executors.len(), 1, "only the executor that is not reserved gets tasks");
    pool.cell.cancel(large, 900);
    let started = pool.end_small_task(910);
    assert!(started.len() > 1, "the pieces held back are given to small tasks");
}

/// Guards against the late outcome of an earlier start, or of one that a poll has confirmed
/// meanwhile, that stops a run at work.
#[test]
fn a_start_that_goes_unanswered_stops_no_run_known_to_work() {
    let mut cell = cell(1, &["a"]);
    let long_running = Step { long_running: true, ..step(1, 1_000) };
    cell.admit(arrival(vec![long_running], false));
    cell.handle_poll("a", &poll_answer(100), 0, 1);
    assert_eq!(starts(&cell.tick(2, 0)).len(), 1);
    let mut answer = poll_answer(150);
    answer.ended = vec![end(1, task(0, 0), 1, RunOutcome::Failed)];
    cell.handle_poll("a", &answer, 40, 50);
    assert_eq!(starts(&cell.tick(51, 0)), [("a".to_owned(), task(0, 0), 2)]);
    let mut answer = poll_answer(200);
    answer.present = vec![present(task(0, 0), 2)];
    cell.handle_poll("a", &answer, 90, 100);
    cell.handle_start_outcome("a", &task(0, 0), 1, StartOutcome::Unknown, 902);
    assert_eq!(cell.tick(903, 0), [], "the unanswered start was that of run 1");
    cell.handle_start_outcome("a", &task(0, 0), 2, StartOutcome::Unknown, 951);
    assert_eq!(cell.tick(952, 0), [], "run 2 is at work");
}

/// Guards against a long-running task that counts as running until its executor leaves, because its
/// end is not among those that fit an answer while ends can't be acknowledged.
#[test]
fn a_long_running_task_restarts_while_ends_are_not_acknowledged() {
    let mut cell = cell(1, &["a"]);
    let long_running = Step { long_running: true, ..step(1, 1_000) };
    cell.admit(arrival(vec![long_running], false));
    cell.handle_poll("a", &poll_answer(100), 0, 1);
    assert_eq!(starts(&cell.tick(2, 0)).len(), 1);
    cell.handle_start_outcome("a", &task(0, 0), 1, StartOutcome::Running(101), 3);
    let other = |sequence| {
        let job = format!("{:016x}", 1_000 + sequence);
        end(sequence, TaskId { job, ..task(0, 0) }, 1, RunOutcome::Done)
    };
    let ended: Vec<EndedRun> = (1..=500).map(other).collect();
    for now in [500, 1_000] {
        let mut answer = poll_answer(100 + now);
        answer.ended.clone_from(&ended);
        cell.handle_poll("a", &answer, now - 10, now);
    }
    cell.confirm_ownership(1_001);
    assert_eq!(starts(&cell.tick(1_001, 0)), [("a".to_owned(), task(0, 0), 2)]);
}

/// Guards against a task that is held by an executor known to have ended, because an earlier answer
/// of the executor arrives late.
#[test]
fn a_late_answer_of_an_ended_executor_holds_no_task() {
    let mut cell = cell(1, &["a", "b"]);
    let long_running = Step { long_running: true, ..step(1, 1_000) };
    cell.admit(arrival(vec![long_running], false));
    cell.handle_poll("a", &poll_answer(100), 0, 1);
    assert_eq!(starts(&cell.tick(2, 0)).len(), 1);
    cell.handle_start_outcome("a", &task(0, 0), 1, StartOutcome::Running(101), 3);
    cell.mark_ended("a", 500);
    let mut answer = poll_answer(550);
    answer.present = vec![present(task(0, 0), 1)];
    cell.handle_poll("a", &answer, 450, 510);
    cell.handle_poll("b", &poll_answer(100), 500, 511);
    cell.confirm_ownership(512);
    assert_eq!(starts(&cell.tick(512, 0)), [("b".to_owned(), task(0, 0), 2)]);
}

/// Registers an executor and answers its first poll.
fn join(cell: &mut Cell, id: &str, cpu: u64, now: u64) {
    let capacity = Resources { cpu, memory: 4_000, gpus: 0 };
    cell.register(Registration { capacity, ..executor(id) });
    cell.handle_poll(id, &poll_answer(now), now - 1, now);
}

fn long_running(count: u32, cpu: u64) -> Step {
    Step { long_running: true, ..short(count, cpu, 10) }
}

fn short(count: u32, cpu: u64, memory: u64) -> Step {
    let resources = Resources { cpu, memory, gpus: 0 };
    Step { count, resources, estimate: 60_000, ..Step::default() }
}

fn admit(cell: &mut Cell, id: &str, step: Step) {
    cell.admit(Arrival { id: id.to_owned(), ..arrival(vec![step], false) });
}

/// Runs a pass and confirms its starts; returns the executor, task and run of each.
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

/// Renews the lease and answers a poll with all runs that the cell knows of on the executor.
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
    let answer = ExecutorReport { present: present.collect(), ..poll_answer(now) };
    cell.handle_poll(id, &answer, now, now);
}

fn stopped_jobs(cell: &mut Cell, now: u64) -> Vec<String> {
    let stop = |order| match order {
        Order::Stop { task, .. } => Some(task.job),
        _ => None,
    };
    cell.tick(now, 0).into_iter().filter_map(stop).collect()
}

/// Guards against several tasks that are stopped for the same place, of which only one gets it.
#[test]
fn a_place_for_one_task_lets_a_drain_stop_only_one() {
    let mut cell = cell(1, &[]);
    join(&mut cell, "a", 4_000, 1);
    admit(&mut cell, "first", long_running(1, 2_000));
    admit(&mut cell, "second", long_running(1, 2_000));
    assert_eq!(start_all(&mut cell, 2).len(), 2);
    join(&mut cell, "b", 2_000, 3);
    poll(&mut cell, "a", 4);
    cell.set_leaving(IndexSet::from(["a".to_owned()]));
    assert_eq!(stopped_jobs(&mut cell, 5).len(), 1);
}

/// Guards against a task that is stopped for a place that is reserved for a task that waits.
#[test]
fn a_place_that_another_task_waits_for_lets_a_drain_stop_none() {
    let mut cell = cell(1, &[]);
    join(&mut cell, "a", 2_000, 1);
    admit(&mut cell, "runs", long_running(1, 2_000));
    assert_eq!(start_all(&mut cell, 2).len(), 1);
    join(&mut cell, "b", 2_000, 3);
    admit(&mut cell, "short", short(1, 2_000, 10));
    assert_eq!(start_all(&mut cell, 4).len(), 1);
    admit(&mut cell, "waits", long_running(1, 2_000));
    assert!(start_all(&mut cell, 5).is_empty(), "the executor with the short task is reserved");
    poll(&mut cell, "a", 6);
    poll(&mut cell, "b", 6);
    cell.set_leaving(IndexSet::from(["a".to_owned()]));
    assert_eq!(stopped_jobs(&mut cell, 7), Vec::<String>::new());
}

/// Ends one of the runs on `busy` every 100 ms for 5 s, and returns whether the job starts meanwhile.
///
/// What becomes free is given to other small tasks unless the executor is reserved.
fn starts_while_small_tasks_end(
    cell: &mut Cell,
    job: &str,
    other: &str,
    busy: &str,
    mut runs: Vec<(TaskId, u64)>,
) -> bool {
    for sequence in 1..=50 {
        let now = 100 * sequence;
        poll(cell, other, now);
        if runs.is_empty() {
            return false;
        }
        let (task, run) = runs.remove(0);
        let present = runs.iter().map(|(task, run)| PresentRun {
            task: task.clone(),
            run: *run,
            checkpoint: String::new(),
            percent: sequence,
            gauge: 0,
        });
        let mut answer = ExecutorReport { present: present.collect(), ..poll_answer(now) };
        answer.ended.push(end(sequence, task, run, RunOutcome::Done));
        cell.grant_lease(busy, now);
        cell.handle_poll(busy, &answer, now, now);
        let started = start_all(cell, now + 1);
        if started.iter().any(|(_, task, _)| task.job == job) {
            return true;
        }
        runs.extend(started.into_iter().map(|(_, task, run)| (task, run)));
    }
    false
}

/// Guards against a task that waits for the end of a long run, on the executor that lacks the least,
/// while all that becomes free within moments on another one is given away.
#[test]
fn the_executor_that_is_free_first_is_reserved_and_not_the_one_that_lacks_least() {
    let mut cell = cell(1, &[]);
    join(&mut cell, "long", 4_000, 1);
    admit(&mut cell, "slow", short(1, 2_800, 3_900));
    assert_eq!(start_all(&mut cell, 2).len(), 1);
    join(&mut cell, "b", 4_000, 3);
    admit(&mut cell, "small", Step { estimate: 300, ..short(100, 1_100, 1_000) });
    let small = start_all(&mut cell, 4);
    assert_eq!(small.len(), 3);
    admit(&mut cell, "lasts", long_running(1, 2_000));
    assert!(start_all(&mut cell, 5).is_empty());
    let runs = small.into_iter().map(|(_, task, run)| (task, run)).collect();
    assert!(starts_while_small_tasks_end(&mut cell, "lasts", "long", "b", runs));
}

/// Guards against a task that waits for the end of a run that takes much longer than estimated.
#[test]
fn a_reservation_moves_when_a_run_makes_slow_progress() {
    let mut cell = cell(1, &[]);
    join(&mut cell, "slow", 4_000, 1);
    admit(&mut cell, "slow", Step { estimate: 300, ..short(1, 2_800, 3_900) });
    assert_eq!(start_all(&mut cell, 2).len(), 1);
    join(&mut cell, "b", 4_000, 3);
    admit(&mut cell, "small", Step { estimate: 600, ..short(100, 1_100, 1_000) });
    let small = start_all(&mut cell, 4);
    assert_eq!(small.len(), 3);
    admit(&mut cell, "lasts", long_running(1, 2_000));
    assert!(start_all(&mut cell, 5).is_empty());
    let runs = small.into_iter().map(|(_, task, run)| (task, run)).collect();
    assert!(starts_while_small_tasks_end(&mut cell, "lasts", "slow", "b", runs));
}

/// Guards against a reservation of an executor that has shrunk below what its long-running tasks
/// use, and so has no room for any other task.
#[test]
fn an_executor_that_has_shrunk_is_not_reserved_for_a_best_effort_task() {
    let mut cell = cell(1, &[]);
    join(&mut cell, "shrunk", 4_000, 1);
    admit(&mut cell, "serves", long_running(1, 4_000));
    assert_eq!(start_all(&mut cell, 2).len(), 1);
    let mut registration = cell.workers()["shrunk"].registration.clone();
    registration.capacity.cpu = 2_000;
    cell.register(registration);
    join(&mut cell, "b", 4_000, 3);
    admit(&mut cell, "small", short(100, 1_000, 2_000));
    let small = start_all(&mut cell, 4);
    assert_eq!(small.len(), 2, "the memory is used up");
    let fills = Step { long_running: true, best_effort: true, ..short(1, 1_000, 3_000) };
    admit(&mut cell, "fills", fills);
    let runs = small.into_iter().map(|(_, task, run)| (task, run)).collect();
    assert!(starts_while_small_tasks_end(&mut cell, "fills", "shrunk", "b", runs));
}

/// Guards against a task that is held for ever by a start order whose sender has ended without a
/// result. The executor answers all polls, and reports no such run.
#[test]
fn a_start_without_any_result_does_not_hold_its_task_for_ever() {
    let mut cell = cell(1, &[]);
    join(&mut cell, "a", 4_000, 1);
    join(&mut cell, "b", 4_000, 1);
    admit(&mut cell, "lost", long_running(1, 1_000));
    assert_eq!(cell.tick(2, 0).len(), 1);
    for now in (100..12_000).step_by(100) {
        for id in ["a", "b"] {
            cell.grant_lease(id, now);
            cell.handle_poll(id, &poll_answer(now), now, now);
        }
        if !cell.tick(now, 0).is_empty() {
            return;
        }
    }
    panic!("neither a stop nor a new start in 12 s");
}

/// Guards against a task that waits for the end of tickets which only executors have that already
/// run as many tasks of its step as they may.
#[test]
fn tickets_of_executors_that_may_run_no_more_tasks_of_a_step_do_not_keep_it_from_asking() {
    let mut cell = cell(1, &[]);
    let queue = Queue {
        name: "q".to_owned(),
        max_attempts: 2,
        advice: Some(AdviceCost::default()),
        ..Queue::default()
    };
    cell.configure(std::iter::once(&queue));
    join(&mut cell, "a", 4_000, 1);
    join(&mut cell, "b", 4_000, 1);
    admit(&mut cell, "apart", Step { max_per_executor: 1, ..long_running(2, 1_000) });
    cell.permit_query(true);
    let orders = cell.tick(2, 0);
    let Some(Order::Advise { step, workers, .. }) = orders.into_iter().next() else {
        panic!("the adviser is asked first")
    };
    let tickets = workers.iter().map(|id| (id.clone(), "ticket".to_owned())).collect();
    cell.handle_advice(&step, &workers, tickets, 60_000, 3);
    assert_eq!(start_all(&mut cell, 4).len(), 2);
    cell.mark_ended("b", 5);
    cell.unlist("b");
    join(&mut cell, "c", 4_000, 6);
    for now in (100..12_000).step_by(100) {
        poll(&mut cell, "a", now);
        poll(&mut cell, "c", now);
        cell.permit_query(true);
        cell.confirm_ownership(now);
        let orders = cell.tick(now, 0);
        if orders.iter().any(|order| matches!(order, Order::Advise { .. })) {
            return;
        }
    }
    panic!("the adviser was not asked about the new executor in 12 s");
}

/// Guards against steps that are never asked about: those that come first in the order have tickets
/// that expire before there is room, and would use each query again.
#[test]
fn steps_whose_tickets_expire_unused_hold_up_no_others() {
    let mut cell = cell(1, &[]);
    let cost = AdviceCost { decision: 200, period: 10 };
    let queue =
        Queue { name: "q".to_owned(), max_attempts: 2, advice: Some(cost), ..Queue::default() };
    cell.configure(std::iter::once(&queue));
    join(&mut cell, "a", 4_000, 1);
    for n in 0..20 {
        admit(&mut cell, &format!("job-{n:02}"), step(1, 3_000));
    }
    let mut queried = IndexSet::new();
    for now in (300..20_000).step_by(300) {
        poll(&mut cell, "a", now);
        cell.permit_query(true);
        for order in cell.tick(now, 0) {
            if let Order::Advise { step, workers, cost } = order {
                assert_eq!(cost, 210);
                // The ticket has expired when it arrives.
                let tickets = workers.iter().map(|id| (id.clone(), "ticket".to_owned())).collect();
                cell.handle_advice(&step, &workers, tickets, 0, now);
                queried.insert(step.job);
            }
        }
    }
    assert_eq!(queried.len(), 20, "{queried:?}");
}

/// Guards against a job whose write is rejected for good and that holds up the ends, the writes and
/// the starts of others, or loses its own.
#[test]
fn a_job_whose_write_is_rejected_holds_up_no_others() {
    let mut cell = cell(1, &[]);
    join(&mut cell, "a", 4_000, 1);
    admit(&mut cell, "bad", step(2, 1_000));
    admit(&mut cell, "good", step(1, 1_000));
    assert_eq!(start_all(&mut cell, 2).len(), 3);
    let first = |job: &str| TaskId { job: job.to_owned(), occurrence: 0, step: 0, index: 0 };
    let mut answer = poll_answer(100);
    answer.present = vec![present(TaskId { index: 1, ..first("bad") }, 1)];
    answer.ended = vec![
        end(1, first("good"), 1, RunOutcome::Done),
        end(2, first("bad"), 1, RunOutcome::Failed),
    ];
    cell.handle_poll("a", &answer, 90, 100);
    let (_, flush) = cell.take_changes();
    cell.flush_partly(&flush, &IndexSet::from(["bad".to_owned()]));
    assert!(!cell.contains_job("good"), "its end is durable");
    assert_eq!(cell.workers()["a"].end_to_acknowledge(), 1, "the other end is not");
    admit(&mut cell, "next", step(1, 1_000));
    let started = starts(&cell.tick(1_000, 0));
    assert_eq!(started.iter().map(|s| s.1.job.as_str()).collect::<Vec<_>>(), ["next"]);
    let ids = |cell: &mut Cell| -> Vec<String> {
        cell.take_changes().0.into_iter().map(|change| change.id).collect()
    };
    assert_eq!(ids(&mut cell), ["next"]);
    cell.release_job("bad");
    assert_eq!(ids(&mut cell), ["bad"], "nothing of it is forgotten");
    assert_eq!(starts(&cell.tick(1_100, 0)).len(), 1);
}

/// Guards against a machine that is never emptied, as the table rejects the change of a job whose run
/// has ended there.
#[test]
fn an_executor_with_an_end_of_a_job_whose_write_is_rejected_is_drained() {
    let mut cell = cell(1, &[]);
    join(&mut cell, "a", 4_000, 1);
    admit(&mut cell, "bad", step(1, 1_000));
    assert_eq!(start_all(&mut cell, 2).len(), 1);
    let first = TaskId { job: "bad".to_owned(), occurrence: 0, step: 0, index: 0 };
    let mut answer = poll_answer(100);
    answer.ended = vec![end(1, first, 1, RunOutcome::Failed)];
    cell.handle_poll("a", &answer, 90, 100);
    let (_, flush) = cell.take_changes();
    assert!(!cell.is_drained("a"), "its end is being written");
    cell.flush_partly(&flush, &IndexSet::from(["bad".to_owned()]));
    assert!(cell.is_drained("a"));
}

/// Guards against a machine that goes down with the only record of a run that is done, so that its
/// task is done again.
#[test]
fn an_executor_is_not_drained_while_its_ends_are_not_durable() {
    let mut cell = cell(1, &["a"]);
    cell.admit(arrival(vec![step(1, 100)], false));
    start_first_task(&mut cell);
    finish_first_task(&mut cell);
    assert!(!cell.is_drained("a"), "its end is not durable");
    let (_, flush) = cell.take_changes();
    cell.flush_done(&flush);
    assert!(cell.is_drained("a"));
}

/// Guards against a task that is started again by a former holder, as the order for a machine, which
/// a later holder has emptied and whose ends it has read, has ended the executor.
#[test]
fn runs_of_an_executor_that_an_order_has_ended_are_released_once_the_lease_was_confirmed_later() {
    let mut cell = cell(1, &["a", "bb"]);
    cell.admit(arrival(vec![step(1, 100)], false));
    start_first_task(&mut cell);
    let answer = ExecutorReport { present: vec![present(task(0, 0), 1)], ..poll_answer(601) };
    cell.handle_poll("a", &answer, 502, 503);
    cell.handle_poll("bb", &poll_answer(600), 504, 505);
    cell.confirm_ownership(900);
    cell.mark_ended("a", 1_000);
    assert!(starts(&cell.tick(1_010, 0)).is_empty(), "a later holder may know how the run ended");
    cell.confirm_ownership(1_020);
    assert_eq!(starts(&cell.tick(1_030, 0)), [("bb".to_owned(), task(0, 0), 2)]);
}

/// Guards against a task that is started again, as its end was acknowledged before its job was read.
#[test]
fn the_end_of_a_job_that_is_read_later_is_not_lost() {
    let mut cell = cell(2, &["a"]);
    let answer =
        ExecutorReport { ended: vec![end(1, task(0, 0), 1, RunOutcome::Done)], ..poll_answer(100) };
    cell.handle_poll("a", &answer, 0, 1);
    let is_forgotten = cell.workers()["a"].end_to_acknowledge() >= 1;
    cell.admit(arrival(vec![step(1, 100)], true));
    let ended = if is_forgotten { Vec::new() } else { answer.ended };
    cell.handle_poll("a", &ExecutorReport { ended, ..poll_answer(200) }, 100, 101);
    assert!(starts(&cell.tick(102, 0)).is_empty(), "the end was forgotten: {is_forgotten}");
}
