//! Tests of a holder that may have lost its cell without knowing, without I/O.
//!
//! A later holder may have taken note of the end of a run and let the executor forget it. A run that
//! vanished without an end is therefore released only once the ownership is confirmed after that.

use indexmap::IndexSet;
use jobs::cell::{Arrival, Order, Refusal, ReleaseReason, StartOutcome};
use jobs::worker::{EndedRun, PresentRun};
use jobs::{
    Cell, CellConfig, ExecutorReport, Job, Progress, Queue, Registration, Resources, RunOutcome,
    Step, TaskId,
};

/// Clock of the executors at time 0, in milliseconds.
const CLOCK_OFFSET_MS: u64 = 1_000;
/// Time of the last confirmation before the run vanishes, in milliseconds.
const CONFIRMED_MS: u64 = 60_010;
/// Time at which the holder receives the evidence that the run has vanished, in milliseconds.
const VANISHED_MS: u64 = 61_000;
/// Time after the evidence until the holder may send no more orders, in milliseconds.
const ORDERS_LEFT_MS: u64 = 2_400;
/// Longest time from the confirmation to the next start, in milliseconds.
const RELEASE_LIMIT_MS: u64 = 8_000;

fn executor(id: &str) -> Registration {
    Registration {
        id: id.to_owned(),
        pool: "p".to_owned(),
        address: format!("{id}:1"),
        ready: true,
        capacity: Resources { cpu: 4_000, memory: 4_000, gpus: 0 },
        ..Registration::default()
    }
}

fn cell(term: u64) -> Cell {
    let config = CellConfig {
        lease: 6_000,
        inherited_lease: 9_800,
        stop_timeout: 900,
        early_start: 0,
        term,
    };
    let mut cell = Cell::new(config, 0);
    let queue = Queue { name: "q".to_owned(), max_attempts: 5, stretch: 1_600, ..Queue::default() };
    cell.configure(std::iter::once(&queue));
    cell
}

fn arrival(count: u32, inherited: bool) -> Arrival {
    let step = Step {
        count,
        resources: Resources { cpu: 2_000, memory: 10, gpus: 0 },
        estimate: 500,
        ..Step::default()
    };
    Arrival {
        id: "aa".to_owned(),
        part: "q".to_owned(),
        queue: "q".to_owned(),
        organisation: None,
        job: Job { payload: "x".to_owned(), steps: vec![step], schedule: None },
        progress: Progress::default(),
        requested_at: 0,
        inherited,
        start_blocked: false,
    }
}

fn task(index: u32) -> TaskId {
    TaskId { job: "aa".to_owned(), occurrence: 0, step: 0, index }
}

fn done(sequence: u64, task: TaskId, run: u64) -> EndedRun {
    EndedRun { sequence, task, run, outcome: RunOutcome::Done, checkpoint: String::new() }
}

/// An answer at `now` with the first run of the given tasks as present.
fn report(now: u64, present: &[u32]) -> ExecutorReport {
    let present = present.iter().map(|index| PresentRun {
        task: task(*index),
        run: 1,
        checkpoint: String::new(),
        percent: 10,
        gauge: 0,
    });
    ExecutorReport { clock: now + CLOCK_OFFSET_MS, present: present.collect(), ended: Vec::new() }
}

fn starts(orders: &[Order]) -> Vec<(&str, u32, u64)> {
    let start = |order| match order {
        &Order::Start { ref worker, ref task, run, .. } => Some((worker.as_str(), task.index, run)),
        _ => None,
    };
    orders.iter().filter_map(start).collect()
}

/// A holder, last confirmed at [`CONFIRMED_MS`], whose job of `count` tasks it starts on the executor
/// `a`, without an outcome yet; the executor `b` is free.
fn holder(a: &str, b: &str, count: u32) -> Cell {
    let mut cell = cell(1);
    cell.register(executor(a));
    cell.handle_poll(a, &report(0, &[]), 0, 1);
    cell.handle_poll(a, &report(60_000, &[]), 59_999, 60_000);
    cell.admit(arrival(count, false));
    cell.confirm_ownership(CONFIRMED_MS);
    let started: Vec<(String, u32, u64)> = starts(&cell.tick(CONFIRMED_MS, 0))
        .into_iter()
        .map(|(worker, index, run)| (worker.to_owned(), index, run))
        .collect();
    let expected: Vec<_> = (0..count).map(|index| (a.to_owned(), index, 1)).collect();
    assert_eq!(started, expected);
    cell.register(executor(b));
    cell.handle_poll(b, &report(60_020, &[]), 60_015, 60_020);
    cell
}

/// A holder as above, whose one run is known to have begun.
fn started(a: &str, b: &str) -> Cell {
    let mut cell = holder(a, b, 1);
    let clock = 60_020 + CLOCK_OFFSET_MS;
    cell.handle_start_outcome(a, &task(0), 1, StartOutcome::Running(clock), 60_025);
    cell.handle_poll(a, &report(60_500, &[0]), 60_400, 60_500);
    cell
}

/// Executors and reasons of the releases that a tick at `now` makes after a confirmation at `owned_at`.
fn releases(cell: &mut Cell, owned_at: u64, now: u64) -> Vec<(String, ReleaseReason)> {
    cell.confirm_ownership(owned_at);
    cell.tick(now, 0);
    cell.take_releases().into_iter().map(|release| (release.executor, release.reason)).collect()
}

/// Whether the first task is started. One whose start was not carried out may start at any time.
fn restarts(orders: &[Order]) -> bool {
    starts(orders).iter().any(|(_, index, _)| *index == 0)
}

/// Asserts that the first task, whose run vanished by `evidence`, starts again only after a confirmation
/// that is later than the evidence.
fn assert_waits_for_confirmation(mut cell: Cell, b: &str, evidence: u64) {
    let mut now = evidence;
    while now < evidence + ORDERS_LEFT_MS {
        now += 100;
        if now == evidence + 1_000 {
            cell.confirm_ownership(evidence - 1);
        }
        cell.handle_poll(b, &report(now, &[]), now - 5, now);
        let orders = cell.tick(now, 0);
        assert!(!restarts(&orders), "started {} ms after the evidence", now - evidence);
    }
    let until = now + RELEASE_LIMIT_MS;
    let restarted = std::iter::repeat_with(|| {
        now += 100;
        cell.confirm_ownership(now);
        let (_, flush) = cell.take_changes();
        cell.flush_done(&flush);
        cell.handle_poll(b, &report(now, &[]), now - 5, now);
        (now, restarts(&cell.tick(now, 0)))
    })
    .take_while(|(now, _)| *now < until)
    .any(|(_, restarted)| restarted);
    assert!(restarted, "the task must start again once the ownership is confirmed");
}

/// Guards against a second run after the successor's acknowledgement let the executor forget the end,
/// when a poll that was waiting at the executor is answered with neither the run nor its end.
#[test]
fn a_run_whose_end_was_acknowledged_by_a_successor_is_not_started_again() {
    let mut cell = started("a", "b");
    cell.handle_poll("a", &report(VANISHED_MS, &[]), 60_600, VANISHED_MS);
    assert_waits_for_confirmation(cell, "b", VANISHED_MS);
}

/// Guards against a second run after the successor, which knows its end, had the machine moved.
#[test]
fn a_run_on_an_executor_that_is_no_longer_listed_is_not_started_again_unconfirmed() {
    let mut cell = started("a", "b");
    cell.handle_no_answer("a");
    let live = IndexSet::from(["b".to_owned()]);
    assert_eq!(cell.mark_missing_dead(&live, VANISHED_MS - 10, VANISHED_MS), ["a"]);
    assert_waits_for_confirmation(cell, "b", VANISHED_MS);
}

/// Guards against a second run after another incarnation answers at the address of the executor.
#[test]
fn a_run_on_a_replaced_executor_is_not_started_again_unconfirmed() {
    let mut cell = started("a", "b");
    cell.mark_dead("a", VANISHED_MS);
    assert_waits_for_confirmation(cell, "b", VANISHED_MS);
}

/// Guards against a second run after the start of another task shows that the executor is gone.
#[test]
fn a_run_on_an_executor_that_is_gone_at_a_start_is_not_started_again_unconfirmed() {
    let mut cell = holder("a", "b", 2);
    let clock = 60_020 + CLOCK_OFFSET_MS;
    cell.handle_start_outcome("a", &task(0), 1, StartOutcome::Running(clock), 60_025);
    cell.handle_poll("a", &report(60_500, &[0]), 60_400, 60_500);
    cell.handle_start_outcome("a", &task(1), 1, StartOutcome::Gone, VANISHED_MS);
    assert_waits_for_confirmation(cell, "b", VANISHED_MS);
}

/// Guards against a second run after the record of a duty shows that the executor has ended.
#[test]
fn a_run_on_an_executor_that_ended_by_a_duty_is_not_started_again_unconfirmed() {
    let mut cell = started("a", "b");
    cell.mark_ended("a", VANISHED_MS);
    assert_waits_for_confirmation(cell, "b", VANISHED_MS);
}

/// Guards against a second run after the executor has started again under its name.
#[test]
fn a_run_on_a_restarted_executor_is_not_started_again_unconfirmed() {
    let mut cell = started("a~100", "b~100");
    cell.mark_restarted("a~100", VANISHED_MS);
    assert_waits_for_confirmation(cell, "b~100", VANISHED_MS);
}

/// Guards against a second run of a start in doubt whose wait was over when its executor ended.
#[test]
fn an_unverified_run_is_not_started_again_unconfirmed() {
    let mut cell = holder("a~100", "b~100", 1);
    cell.handle_start_outcome("a~100", &task(0), 1, StartOutcome::Unknown, 60_900);
    let (confirmed, evidence) = (CONFIRMED_MS + 1_600, CONFIRMED_MS + 1_700);
    cell.confirm_ownership(confirmed);
    cell.mark_ended("a~100", evidence);
    assert_waits_for_confirmation(cell, "b~100", evidence);
}

/// Guards against a second run after `old`, as the very run may have begun and ended there.
#[test]
fn a_run_whose_start_is_refused_as_old_is_not_started_again_unconfirmed() {
    let mut cell = holder("a", "b", 1);
    let refused = StartOutcome::Refused(Refusal::Old);
    cell.handle_start_outcome("a", &task(0), 1, refused, VANISHED_MS);
    assert_waits_for_confirmation(cell, "b", VANISHED_MS);
}

/// Guards against a start that goes out again after its executor has ended.
#[test]
fn a_start_on_an_ended_executor_is_not_sent_again() {
    let mut cell = holder("a", "b", 1);
    assert!(cell.approve_start("a", &task(0), 1, VANISHED_MS).is_ok());
    cell.mark_ended("a", VANISHED_MS);
    assert!(cell.approve_start("a", &task(0), 1, VANISHED_MS).is_err());
}

/// Guards against a restart that waits for the next incarnation, which is taken to have the run.
#[test]
fn an_absent_run_is_not_passed_on_to_the_next_incarnation() {
    let mut cell = started("a~100", "b~100");
    cell.register(executor("a~200"));
    cell.mark_restarted("a~100", VANISHED_MS);
    cell.handle_poll("a~200", &report(VANISHED_MS + 20, &[]), VANISHED_MS + 10, VANISHED_MS + 20);
    let released = releases(&mut cell, VANISHED_MS + 30, VANISHED_MS + 40);
    assert_eq!(released, [("a~100".to_owned(), ReleaseReason::Restarted)]);
}

/// Guards against a second run beside one that an executor shows after the list had lacked it.
#[test]
fn a_run_that_a_revived_executor_shows_is_not_released() {
    let mut cell = started("a", "b");
    cell.handle_no_answer("a");
    let live = IndexSet::from(["b".to_owned()]);
    assert_eq!(cell.mark_missing_dead(&live, VANISHED_MS - 10, VANISHED_MS), ["a"]);
    cell.handle_poll("a", &report(VANISHED_MS + 20, &[0]), VANISHED_MS + 10, VANISHED_MS + 20);
    assert_eq!(releases(&mut cell, VANISHED_MS + 30, VANISHED_MS + 40), []);
}

/// Guards against stops to an executor that has ended, when the job is cancelled.
#[test]
fn a_cancelled_run_on_an_ended_executor_is_not_stopped() {
    let mut cell = started("a", "b");
    cell.mark_ended("a", VANISHED_MS);
    cell.cancel("aa", VANISHED_MS + 10);
    let orders = cell.tick(VANISHED_MS + 20, 0);
    let stopped = orders.iter().any(|order| matches!(order, Order::Stop { .. }));
    assert!(!stopped, "{orders:?}");
}

/// Guards against a second run after a confirmation that is not later than the evidence.
#[test]
fn a_confirmation_at_the_time_of_the_evidence_releases_nothing() {
    let mut cell = started("a", "b");
    cell.handle_poll("a", &report(VANISHED_MS, &[]), 60_600, VANISHED_MS);
    assert_eq!(releases(&mut cell, VANISHED_MS, VANISHED_MS + 10), []);
    let released = releases(&mut cell, VANISHED_MS + 1, VANISHED_MS + 20);
    assert_eq!(released, [("a".to_owned(), ReleaseReason::Missing)]);
}

/// A successor that inherits the executors `a` and `b` and the job.
fn successor() -> Cell {
    let mut cell = cell(2);
    for id in ["a", "b"] {
        cell.inherit(executor(id));
        cell.register(executor(id));
    }
    cell.admit(arrival(1, true));
    cell
}

/// Guards against a second run beside one that a former holder's late order began after the first
/// polls of the successor, on an executor that the successor had not polled yet.
#[test]
fn a_late_order_on_an_unread_executor_does_not_lead_to_a_second_run() {
    let mut successor = successor();
    successor.handle_poll("a", &report(100, &[]), 50, 100);
    assert_eq!(starts(&successor.tick(110, 0)), [], "an executor has not answered");
    // The former holder's order is carried out on `b` before the first poll of the successor there.
    successor.handle_poll("b", &report(400, &[0]), 350, 400);
    for now in [410, 1_000, 2_000] {
        assert_eq!(starts(&successor.tick(now, 0)), [], "the run goes on");
    }
    let ended = vec![done(1, task(0), 1)];
    successor.handle_poll("b", &ExecutorReport { ended, ..report(2_100, &[]) }, 2_000, 2_100);
    let (changes, flush) = successor.take_changes();
    assert_eq!(changes[0].state, jobs::State::Completed);
    successor.flush_done(&flush);
}

/// Guards against a second run after the end of a job that is not known yet was passed over.
#[test]
fn an_end_of_a_job_that_is_not_known_yet_is_not_lost() {
    let mut cell = cell(2);
    cell.inherit(executor("a"));
    cell.register(executor("a"));
    let end = done(1, task(0), 1);
    let answer = ExecutorReport { ended: vec![end.clone()], ..report(100, &[]) };
    cell.handle_poll("a", &answer, 50, 100);
    let acknowledged = cell.workers()["a"].end_to_acknowledge();
    cell.admit(arrival(1, true));
    let ended = if acknowledged < end.sequence { vec![end] } else { Vec::new() };
    cell.handle_poll("a", &ExecutorReport { ended, ..report(200, &[]) }, 150, 200);
    assert_eq!(starts(&cell.tick(210, 0)), [], "run 1 is done");
}

/// Guards against a second run beside one that was seen before its job was read, as a part of the table
/// was new to the successor.
#[test]
fn a_run_that_is_seen_before_its_job_is_not_started_again() {
    let mut cell = cell(2);
    for id in ["a", "b"] {
        cell.inherit(executor(id));
        cell.register(executor(id));
    }
    cell.handle_poll("a", &report(100, &[0]), 50, 100);
    cell.handle_poll("b", &report(100, &[]), 50, 100);
    cell.admit(arrival(1, true));
    assert_eq!(starts(&cell.tick(110, 0)), [], "run 1 may be at work");
    cell.handle_stop_answer("a", &task(0), 1, true, 120);
    let stopped = EndedRun { outcome: RunOutcome::Stopped, ..done(1, task(0), 1) };
    let answer = ExecutorReport { ended: vec![stopped], ..report(200, &[]) };
    cell.handle_poll("a", &answer, 150, 200);
    assert_eq!(starts(&cell.tick(210, 0)).len(), 1, "run 1 has ended");
}

/// Guards against a second run while a full answer omits the end of the first.
#[test]
fn a_run_whose_end_a_full_answer_omits_is_not_started_again() {
    let mut cell = started("a", "b");
    let other = |n: u64| done(n, TaskId { job: format!("o{n}"), ..task(0) }, 1);
    let ended = (1..=500).map(other).collect();
    let answer = ExecutorReport { ended, ..report(VANISHED_MS, &[]) };
    cell.handle_poll("a", &answer, VANISHED_MS - 10, VANISHED_MS);
    cell.confirm_ownership(VANISHED_MS + 10);
    assert_eq!(starts(&cell.tick(VANISHED_MS + 20, 0)), [], "the end may be omitted");
    let ended = vec![done(501, task(0), 1)];
    let answer = ExecutorReport { ended, ..report(VANISHED_MS + 100, &[]) };
    cell.handle_poll("a", &answer, VANISHED_MS + 90, VANISHED_MS + 100);
    assert_eq!(cell.take_changes().0[0].state, jobs::State::Completed);
}
