//! Tests of executors that start again under their names, without I/O.

mod dice;

use std::collections::{BTreeMap, BTreeSet};

use dice::SeededRng;
use indexmap::IndexMap;
use jobs::cell::{Arrival, Order, StartOutcome};
use jobs::worker::{EndedRun, PresentRun};
use jobs::{
    Cell, CellConfig, ExecutorReport, Job, Progress, Queue, Registration, Resources, RunOutcome,
    State, Step, TaskId, incarnation,
};

/// Longest time after which an executor carries out an order, in milliseconds.
const LATE_ORDER_MS: u64 = 12_000;
/// Time for which a task waits for the restart of its executor, in milliseconds.
const RESTART_WAIT_MS: u64 = 1_500;
/// Duration of leases, in milliseconds.
const LEASE_MS: u64 = 4_500;
/// Longest lease that an executor accepts, in milliseconds.
const LONGEST_LEASE_MS: u64 = 6_000;

fn executor(id: &str) -> Registration {
    Registration {
        id: id.to_owned(),
        pool: "p".to_owned(),
        address: "10.0.0.1:1".to_owned(),
        ready: true,
        capacity: Resources { cpu: 4_000, memory: 4_000, gpus: 0 },
        ..Registration::default()
    }
}

fn cell(term: u64) -> Cell {
    let config = CellConfig {
        lease: LEASE_MS,
        inherited_lease: 8_000,
        stop_timeout: 400,
        early_start: 0,
        term,
    };
    let mut cell = Cell::new(config, 0);
    cell.set_longest_lease(LONGEST_LEASE_MS);
    let queue = Queue { name: "q".to_owned(), max_attempts: 5, stretch: 1_600, ..Queue::default() };
    cell.configure(std::iter::once(&queue));
    cell
}

/// A job of one step with tasks of 4 cores.
fn arrival(id: &str, count: u32, inherited: bool) -> Arrival {
    let step = Step {
        count,
        resources: Resources { cpu: 4_000, memory: 10, gpus: 0 },
        estimate: 500,
        ..Step::default()
    };
    Arrival {
        id: id.to_owned(),
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

fn task(job: &str) -> TaskId {
    TaskId { job: job.to_owned(), occurrence: 0, step: 0, index: 0 }
}

fn report(clock: u64, present: &[(&str, u64)]) -> ExecutorReport {
    let present = present.iter().map(|(job, run)| PresentRun {
        task: task(job),
        run: *run,
        checkpoint: String::new(),
        percent: 10,
        gauge: 0,
    });
    ExecutorReport { clock, present: present.collect(), ended: Vec::new() }
}

fn starts(orders: &[Order]) -> Vec<(&str, u64)> {
    let start = |order| match order {
        &Order::Start { ref worker, run, .. } => Some((worker.as_str(), run)),
        _ => None,
    };
    orders.iter().filter_map(start).collect()
}

fn stops(orders: &[Order]) -> Vec<(&str, u64)> {
    let stop = |order| match order {
        &Order::Stop { ref worker, run, .. } => Some((worker.as_str(), run)),
        _ => None,
    };
    orders.iter().filter_map(stop).collect()
}

/// A cell whose job `aa` was started on `a~100`, an executor that had been answering for a minute;
/// the outcome of the start is given. The executor `b~100` is free.
fn started(outcome: StartOutcome) -> Cell {
    let mut cell = cell(1);
    cell.register(executor("a~100"));
    cell.handle_poll("a~100", &report(1_000, &[]), 0, 1);
    cell.handle_poll("a~100", &report(61_000, &[]), 60_000, 60_001);
    cell.admit(arrival("aa", 1, false));
    cell.confirm_ownership(60_010);
    assert_eq!(starts(&cell.tick(60_010, 0)), [("a~100", 1)]);
    cell.handle_start_outcome("a~100", &task("aa"), 1, outcome, 60_020);
    cell.register(executor("b~100"));
    cell.handle_poll("b~100", &report(61_000, &[]), 60_020, 60_030);
    cell
}

/// Guards against a second start of a task that the next incarnation began, as the order named the
/// executor only, and against the loss of its end.
#[test]
fn a_run_that_the_next_incarnation_began_goes_on_there() {
    let mut cell = started(StartOutcome::Running(50));
    cell.mark_restarted("a~100", 60_100);
    assert!(starts(&cell.tick(60_110, 0)).is_empty(), "the next incarnation may have the run");
    cell.register(executor("a~200"));
    cell.handle_poll("a~200", &report(200, &[("aa", 1)]), 60_200, 60_210);
    assert_eq!(cell.tick(60_220, 0), [], "the run goes on");
    let ended = EndedRun {
        sequence: 1,
        task: task("aa"),
        run: 1,
        outcome: RunOutcome::Done,
        checkpoint: String::new(),
    };
    let answer = ExecutorReport { ended: vec![ended], ..report(700, &[]) };
    cell.handle_poll("a~200", &answer, 60_700, 60_710);
    let (changes, _) = cell.take_changes();
    assert_eq!(changes[0].state, State::Completed);
}

/// Guards against a task that starts again while the next incarnation may still carry out the order
/// for its earlier run.
#[test]
fn an_unanswered_start_is_stopped_at_the_next_incarnation() {
    let mut cell = started(StartOutcome::Unknown);
    cell.tick(60_040, 0);
    // This stop was answered by the incarnation that has ended, and does not bind the next one.
    cell.handle_stop_answer("a~100", &task("aa"), 1, true, 60_050);
    cell.mark_restarted("a~100", 60_100);
    cell.register(executor("a~200"));
    assert!(starts(&cell.tick(60_110, 0)).is_empty());
    cell.handle_poll("a~200", &report(100, &[]), 60_200, 60_210);
    let orders = cell.tick(60_220, 0);
    assert_eq!((starts(&orders), stops(&orders)), (vec![], vec![("a~200", 1)]));
    cell.handle_stop_answer("a~200", &task("aa"), 1, true, 60_230);
    cell.handle_poll("a~200", &report(150, &[]), 60_240, 60_250);
    let (_, flush) = cell.take_changes();
    cell.flush_done(&flush);
    cell.confirm_ownership(60_260);
    assert_eq!(starts(&cell.tick(60_260, 0)).len(), 1);
}

/// Guards against runs that are waited for though they have certainly ended with their executor.
#[test]
fn runs_that_a_poll_has_shown_start_again_at_once() {
    let mut cell = started(StartOutcome::Unknown);
    cell.handle_poll("a~100", &report(61_100, &[("aa", 1)]), 60_100, 60_110);
    cell.handle_poll("a~100", &report(61_400, &[("aa", 1)]), 60_400, 60_410);
    cell.tick(60_420, 0);
    cell.mark_restarted("a~100", 60_500);
    cell.confirm_ownership(60_510);
    assert_eq!(starts(&cell.tick(60_510, 0)), [("b~100", 2)]);
}

/// Guards against an answered start that is waited for though the clock in the answer shows that the
/// executor had not restarted.
#[test]
fn a_start_answered_by_the_clock_of_its_incarnation_starts_again_at_once() {
    let mut cell = started(StartOutcome::Running(61_020));
    cell.mark_restarted("a~100", 60_500);
    cell.confirm_ownership(60_510);
    let orders = cell.tick(60_510, 0);
    // As a suspect of the crash it waits until the table knows of it.
    assert!(starts(&orders).is_empty());
    let (_, flush) = cell.take_changes();
    cell.flush_done(&flush);
    assert_eq!(starts(&cell.tick(60_520, 0)), [("b~100", 2)]);
}

/// Guards against an earlier incarnation that lives on because its name is registered, and against
/// its end without suspects.
#[test]
fn a_registered_incarnation_ends_the_earlier_one_as_a_crash() {
    let mut cell = started(StartOutcome::Running(61_020));
    cell.register(executor("a~200"));
    cell.tick(60_100, 0);
    assert!(cell.workers()["a~100"].dead && !cell.workers()["a~200"].dead);
    let crashes = cell.take_crashes();
    assert_eq!(
        (crashes[0].executor.as_str(), &crashes[0].suspects[..]),
        ("a~100", &[task("aa")][..])
    );
}

/// Guards against a late entry of an earlier incarnation that ends the current one.
#[test]
fn an_earlier_incarnation_does_not_end_a_later_one() {
    let mut cell = started(StartOutcome::Running(61_020));
    cell.register(executor("a~50"));
    cell.tick(60_100, 0);
    assert!(!cell.workers()["a~100"].dead);
}

/// Guards against a new holder that starts tasks again which the next incarnation of an executor of
/// the former holder has.
#[test]
fn a_new_holder_waits_for_the_next_incarnation() {
    for registered_first in [false, true] {
        let mut cell = cell(2);
        cell.inherit(executor("a~100"));
        cell.admit(arrival("aa", 1, true));
        cell.register(executor("b~100"));
        cell.handle_poll("b~100", &report(61_000, &[]), 0, 10);
        if registered_first {
            cell.register(executor("a~200"));
        }
        cell.mark_restarted("a~100", 20);
        assert!(starts(&cell.tick(30, 0)).is_empty(), "the next incarnation has not answered");
        cell.register(executor("a~200"));
        assert!(starts(&cell.tick(40, 0)).is_empty(), "the next incarnation has not answered");
        cell.handle_poll("a~200", &report(50, &[("aa", 7)]), 50, 60);
        assert_eq!(cell.tick(70, 0), []);
        cell.handle_poll("a~200", &report(600, &[]), 600, 610);
        cell.confirm_ownership(620);
        assert_eq!(starts(&cell.tick(620, 0)).len(), 1);
    }
}

/// Guards against a long-running task that is without a run for seven seconds as its executor has gone
/// with a start in doubt, and against a late run of that start, on an executor that comes back after
/// the task has started elsewhere, which is not stopped.
#[test]
fn a_start_in_doubt_waits_briefly_for_a_restart_and_is_stopped_after_a_later_one() {
    let mut cell = started(StartOutcome::Unknown);
    cell.unlist("a~100");
    cell.mark_restarted("a~100", 60_100);
    let mut restarted_at = None;
    for now in (60_100..90_000).step_by(100) {
        cell.handle_poll("b~100", &report(now, &[]), now, now);
        cell.confirm_ownership(now);
        let (_, flush) = cell.take_changes();
        cell.flush_done(&flush);
        if !starts(&cell.tick(now, 0)).is_empty() {
            restarted_at = Some(now);
            break;
        }
    }
    let bound = 60_010 + RESTART_WAIT_MS;
    assert!(restarted_at.is_some_and(|at| (bound..bound + 300).contains(&at)), "{restarted_at:?}");
    let back = 60_010 + LATE_ORDER_MS - 1_000;
    cell.register(executor("a~200"));
    cell.tick(back, 0);
    cell.handle_poll("a~200", &report(50, &[("aa", 1)]), back + 10, back + 20);
    assert_eq!(stops(&cell.tick(back + 30, 0)), [("a~200", 1)]);
}

/// Guards against a cancelled job whose task runs on in an incarnation that began it late, whether
/// the job is still in the cell or not.
#[test]
fn a_late_run_of_a_cancelled_job_is_stopped_at_once() {
    for removed in [false, true] {
        let mut cell = started(StartOutcome::Unknown);
        cell.cancel("aa", 60_040);
        if removed {
            let (_, flush) = cell.take_changes();
            cell.flush_done(&flush);
        }
        cell.mark_restarted("a~100", 60_100);
        cell.register(executor("a~200"));
        cell.tick(60_110, 0);
        cell.handle_poll("a~200", &report(100, &[("aa", 1)]), 60_200, 60_210);
        assert_eq!(stops(&cell.tick(60_220, 0)), [("a~200", 1)], "removed: {removed}");
    }
}

/// Guards against two names or starts whose ids are the same.
#[test]
fn names_and_starts_are_told_from_ids() {
    for name in ["", "i", "i~", "i~1", "i~01", "i~+1", "i~x", "~", "i~1~", "i~18446744073709551616"]
    {
        for start in [None, Some(0), Some(1_700), Some(u64::MAX)] {
            let id = incarnation::id(name, start);
            assert_eq!((incarnation::name(&id), incarnation::start(&id)), (name, start));
        }
    }
}

/// Guards against an acknowledgement that is repeated in each poll, or while the executor does not
/// answer, so that the next incarnation drops its own ends up to that number.
#[test]
fn an_acknowledgement_is_not_repeated_once_it_was_received() {
    let mut cell = started(StartOutcome::Unknown);
    let ended = EndedRun {
        sequence: 4,
        task: task("aa"),
        run: 1,
        outcome: RunOutcome::Done,
        checkpoint: String::new(),
    };
    let answer = ExecutorReport { ended: vec![ended], ..report(61_100, &[]) };
    cell.handle_poll("a~100", &answer, 60_100, 60_110);
    assert_eq!(cell.workers()["a~100"].end_to_acknowledge(), 3, "the end is not durable yet");
    let (_, flush) = cell.take_changes();
    cell.flush_done(&flush);
    assert_eq!(cell.workers()["a~100"].end_to_acknowledge(), 4);
    // No answer to the poll: the acknowledgement may be lost, and the executor may have restarted.
    cell.handle_no_answer("a~100");
    assert_eq!(cell.workers()["a~100"].end_to_acknowledge(), 0);
    cell.handle_poll("a~100", &report(61_300, &[]), 60_300, 60_310);
    assert_eq!(cell.workers()["a~100"].end_to_acknowledge(), 4);
    cell.record_acknowledged("a~100", 4);
    assert_eq!(cell.workers()["a~100"].end_to_acknowledge(), 0);
}

/// Guards against an executor that is never used or polled again, as the list of machines did not name
/// it while it was silent, and against two runs of a task that has started elsewhere since.
#[test]
fn an_executor_presumed_dead_that_answers_again_is_a_new_one() {
    let mut cell = started(StartOutcome::Running(61_020));
    cell.handle_poll("a~100", &report(61_400, &[("aa", 1)]), 60_400, 60_410);
    cell.handle_no_answer("a~100");
    let live = std::iter::once("b~100".to_owned()).collect();
    assert_eq!(cell.mark_missing_dead(&live, 60_500, 60_510), ["a~100"]);
    cell.confirm_ownership(60_520);
    assert_eq!(starts(&cell.tick(60_520, 0)), [("b~100", 2)]);
    assert!(cell.workers()["a~100"].is_polled());
    cell.handle_poll("a~100", &report(62_400, &[("aa", 1)]), 61_400, 61_410);
    assert_eq!(stops(&cell.tick(61_420, 0)), [("a~100", 1)], "the task runs elsewhere");
    let worker = &cell.workers()["a~100"];
    assert!(!worker.dead && worker.joined && worker.runs.len() == 1);
}

/// One incarnation of an executor in the replay below; its clock begins at 0.
struct Host {
    id: String,
    start: u64,
    lease_end: u64,
    /// Runs with the times of their ends.
    runs: IndexMap<TaskId, (u64, u64)>,
    /// Highest run ended or stopped, by task.
    barred: BTreeMap<TaskId, u64>,
    ended: Vec<EndedRun>,
    last_end: u64,
}

impl Host {
    fn new(name: &str, start: u64) -> Self {
        Self {
            id: incarnation::id(name, Some(start)),
            start,
            lease_end: 0,
            runs: IndexMap::new(),
            barred: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
        }
    }

    fn end(&mut self, task: &TaskId, outcome: RunOutcome) {
        let Some((run, _)) = self.runs.swap_remove(task) else { return };
        self.barred.insert(task.clone(), run);
        self.last_end += 1;
        let (sequence, task, checkpoint) = (self.last_end, task.clone(), String::new());
        self.ended.push(EndedRun { sequence, task, run, outcome, checkpoint });
    }

    /// Extends the lease by an end on the clock of any incarnation.
    fn extend_lease(&mut self, end: u64, now: u64) {
        self.lease_end = self.lease_end.max(end.min(now - self.start + LONGEST_LEASE_MS));
    }
}

/// A positive number without its fraction.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive and small")]
fn to_ms(number: f64) -> u64 {
    number as u64
}

/// A random number below `limit`.
#[expect(clippy::cast_precision_loss, reason = "limits are small")]
fn below(rng: &mut SeededRng, limit: u64) -> u64 {
    to_ms(rng.uniform() * limit as f64)
}

enum Call {
    Start { task: TaskId, run: u64, lease_end: u64 },
    Stop { task: TaskId, run: u64 },
    Poll { lease_end: Option<u64>, acked: u64 },
}

/// Replays executors that restart under their names every few seconds while starts are carried out
/// up to twelve seconds late, and checks that no task has two runs at a time.
#[test]
fn no_task_runs_twice_while_executors_restart() {
    let count = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = count("RESTART_FROM").unwrap_or(1);
    let (mut restarts, mut completed) = (0, 0);
    for seed in first..first + count("RESTART_SEEDS").unwrap_or(8) {
        let (seed_restarts, seed_completed) = replay(seed);
        restarts += seed_restarts;
        completed += seed_completed;
    }
    println!("{restarts} restarts, {completed} jobs completed");
    assert!(restarts > 0 && completed > 0);
}

/// Replays one seed; returns the numbers of restarts and of completed jobs.
fn replay(seed: u64) -> (usize, usize) {
    const NAMES: [&str; 4] = ["a", "b", "c", "d"];
    /// Longest time from a late start to its end by a stop, in milliseconds: a registration, two
    /// polls and a pass.
    const MAX_LATE_RUN_MS: u64 = 1_500 + 450;
    const DAY_MS: u64 = 90_000;
    /// Time from which nothing restarts or arrives, in milliseconds.
    const CALM_FROM_MS: u64 = 35_000;
    let mut rng = SeededRng(seed);
    let mut cell = cell(1);
    let mut hosts: Vec<Host> = NAMES.iter().map(|name| Host::new(name, 0)).collect();
    // Registrations, calls and answers by the time at which they arrive.
    let mut registrations: Vec<(u64, String)> =
        hosts.iter().map(|host| (0, host.id.clone())).collect();
    let mut calls: Vec<(u64, u64, String, Call, bool)> = Vec::new();
    // Runs whose stop was answered. It binds that incarnation only, so that the next one may begin
    // them until it is registered and polled.
    let mut stopped: BTreeSet<(TaskId, u64)> = BTreeSet::new();
    let mut overlaps: BTreeMap<(TaskId, u64), u64> = BTreeMap::new();
    let mut next_poll: BTreeMap<String, u64> = BTreeMap::new();
    let (mut next_job, mut jobs, mut restarts, mut completed) = (0, 0, 0, 0);
    for now in (0..DAY_MS).step_by(25) {
        for host in &mut hosts {
            let clock = now - host.start;
            let lapsed = clock > host.lease_end;
            let due = host.runs.iter().filter(|(_, (_, end))| lapsed || now >= *end);
            let due: Vec<(TaskId, bool)> =
                due.map(|(task, (_, end))| (task.clone(), now >= *end && !lapsed)).collect();
            for (task, done) in due {
                host.end(&task, if done { RunOutcome::Done } else { RunOutcome::Lapsed });
            }
            if now < CALM_FROM_MS && below(&mut rng, 1_000) < 4 {
                restarts += 1;
                let name = incarnation::name(&host.id).to_owned();
                *host = Host::new(&name, now);
                registrations.push((now + below(&mut rng, 1_500), host.id.clone()));
            }
        }
        registrations.retain(|(at, id)| {
            if *at <= now && hosts.iter().any(|host| host.id == *id) {
                let stale: Vec<String> = cell.workers().keys().cloned().collect();
                let is_earlier = |other: &&String| incarnation::is_replaced_by(other, id);
                stale.iter().filter(is_earlier).for_each(|other| cell.unlist(other));
                cell.register(executor(id));
            }
            *at > now
        });
        if now < CALM_FROM_MS && now >= next_job {
            next_job = now + to_ms(rng.arrival_gap(6.0));
            jobs += 1;
            let count = 1 + u32::try_from(below(&mut rng, 2)).expect("a small number");
            cell.admit(Arrival {
                requested_at: now,
                ..arrival(&format!("{jobs:04}"), count, false)
            });
        }
        cell.confirm_ownership(now);
        for order in cell.tick(now, 0) {
            let (worker, call) = match order {
                Order::Start { worker, task, run, lease_end, .. } => {
                    (worker, Call::Start { task, run, lease_end })
                }
                Order::Stop { worker, task, run, .. } => (worker, Call::Stop { task, run }),
                _ => continue,
            };
            // One start in ten is carried out late, without an answer in time.
            let late = matches!(call, Call::Start { .. }) && below(&mut rng, 10) == 0;
            let delay = if late { below(&mut rng, LATE_ORDER_MS) } else { 1 };
            if late {
                let Call::Start { task, run, .. } = &call else { unreachable!("only starts") };
                cell.handle_start_outcome(&worker, task, *run, StartOutcome::Unknown, now);
            }
            calls.push((now + delay, now, worker, call, !late));
        }
        let alive: Vec<String> =
            cell.workers().iter().filter(|(_, w)| !w.dead).map(|(id, _)| id.clone()).collect();
        for id in alive {
            if now < *next_poll.entry(id.clone()).or_default() {
                continue;
            }
            next_poll.insert(id.clone(), now + 200);
            let worker = &cell.workers()[&id];
            let (acked, has_runs) = (worker.end_to_acknowledge(), !worker.runs.is_empty());
            let lease_end = if has_runs { cell.grant_lease(&id, now) } else { None };
            calls.push((now + 1, now, id, Call::Poll { lease_end, acked }, true));
        }
        let (due, later) = calls.into_iter().partition(|(at, ..)| *at <= now);
        calls = later;
        for (_, sent, id, call, answered) in due {
            let name = incarnation::name(&id);
            let host = hosts.iter_mut().find(|host| incarnation::name(&host.id) == name);
            let host = host.expect("each name has an executor");
            let clock = now - host.start;
            match call {
                Call::Start { task, run, lease_end } => {
                    let is_old = host.barred.get(&task).is_some_and(|barred| *barred >= run);
                    let is_late = lease_end <= clock;
                    let outcome = if is_old || is_late {
                        StartOutcome::Refused(jobs::cell::Refusal::Old)
                    } else {
                        host.extend_lease(lease_end, now);
                        host.runs.insert(task.clone(), (run, now + 300 + run % 7 * 100));
                        StartOutcome::Running(clock)
                    };
                    if answered {
                        cell.handle_start_outcome(&id, &task, run, outcome, now);
                    }
                }
                Call::Stop { task, run } => {
                    if host.runs.get(&task).is_some_and(|(present, _)| *present == run) {
                        host.end(&task, RunOutcome::Stopped);
                    }
                    let barred = host.barred.entry(task.clone()).or_default();
                    *barred = (*barred).max(run);
                    stopped.insert((task.clone(), run));
                    cell.handle_stop_answer(&id, &task, run, true, now);
                }
                Call::Poll { lease_end, acked } => {
                    if let Some(lease_end) = lease_end {
                        host.extend_lease(lease_end, now);
                    }
                    host.ended.retain(|end| end.sequence > acked);
                    if host.id != id {
                        cell.mark_restarted(&id, now);
                        continue;
                    }
                    let present = host.runs.iter().map(|(task, (run, end))| PresentRun {
                        task: task.clone(),
                        run: *run,
                        checkpoint: String::new(),
                        percent: 100 - end.saturating_sub(now) / 20,
                        gauge: 0,
                    });
                    let (present, ended) = (present.collect(), host.ended.clone());
                    cell.handle_poll(&id, &ExecutorReport { clock, present, ended }, sent, now);
                    cell.record_acknowledged(&id, acked);
                }
            }
        }
        let mut running: BTreeMap<&TaskId, &str> = BTreeMap::new();
        for host in &hosts {
            let is_stopped = |task: &TaskId, run| stopped.contains(&(task.clone(), run));
            for (task, (run, _)) in &host.runs {
                if is_stopped(task, *run) {
                    let since = *overlaps.entry((task.clone(), *run)).or_insert(now);
                    assert!(
                        now <= since + MAX_LATE_RUN_MS,
                        "seed {seed}, {now} ms: {task:?} {run} was begun late and goes on"
                    );
                    continue;
                }
                let other = running.insert(task, &host.id);
                assert_eq!(other, None, "seed {seed}, {now} ms: {task:?} also runs on {}", host.id);
            }
        }
        let (changes, flush) = cell.take_changes();
        completed += changes.iter().filter(|c| c.state == State::Completed).count();
        cell.flush_done(&flush);
    }
    assert_eq!(cell.job_count(), 0, "seed {seed}: jobs are left");
    (restarts, completed)
}

/// Guards against a task that never starts again, as the answer to its start arrived after the end of
/// its executor, which does not restart.
#[test]
fn a_start_answered_after_the_end_of_its_executor_is_released() {
    let mut cell = cell(1);
    cell.register(executor("a~100"));
    cell.handle_poll("a~100", &report(1_000, &[]), 0, 1);
    cell.handle_poll("a~100", &report(61_000, &[]), 60_000, 60_001);
    cell.admit(arrival("aa", 1, false));
    cell.confirm_ownership(60_010);
    assert_eq!(starts(&cell.tick(60_010, 0)), [("a~100", 1)]);
    cell.register(executor("b~100"));
    cell.handle_no_answer("a~100");
    cell.handle_poll("b~100", &report(61_400, &[]), 60_400, 60_410);
    let live = std::iter::once("b~100".to_owned()).collect();
    assert_eq!(cell.mark_missing_dead(&live, 60_400, 60_420), ["a~100"]);
    cell.unlist("a~100");
    let outcome = StartOutcome::Running(61_020);
    cell.handle_start_outcome("a~100", &task("aa"), 1, outcome, 60_500);
    let restarted = (60_500..120_000).step_by(100).any(|now| {
        let (_, flush) = cell.take_changes();
        cell.flush_done(&flush);
        cell.confirm_ownership(now);
        cell.handle_poll("b~100", &report(now + 1_000, &[]), now - 5, now);
        !starts(&cell.tick(now, 0)).is_empty()
    });
    assert!(restarted, "the task must start again");
}
