//! Quotas of organisations: decisions about grants, and starts within them.
//!
//! The tests guard against starts beyond a grant, against organisations at their limit that hold up
//! others or draw machines, and against large tasks that smaller ones of the same organisation keep
//! from starting.

use jobs::cell::{Arrival, Order, WaitReason};
use jobs::quota::{Allowance, Entry, Need, Situation, decide};
use jobs::worker::{EndedRun, PresentRun};
use jobs::{
    Cell, CellConfig, ExecutorReport, Job, Progress, Queue, Registration, Resources, RunOutcome,
    Step, TaskId,
};

const LEASE_MS: u64 = 6_000;
const EXECUTOR: Resources = Resources { cpu: 8_000, memory: 8_000, gpus: 0 };

fn cpu(cpu: u64) -> Resources {
    Resources { cpu, ..Resources::default() }
}

fn step(count: u32, cpu: u64) -> Step {
    let resources = Resources { cpu, memory: 10, gpus: 0 };
    Step { count, resources, estimate: 500, ..Step::default() }
}

fn arrival(id: &str, organisation: Option<&str>, steps: Vec<Step>) -> Arrival {
    Arrival {
        id: id.to_owned(),
        part: "q".to_owned(),
        queue: "q".to_owned(),
        job: Job { payload: "x".to_owned(), steps, schedule: None },
        progress: Progress::default(),
        requested_at: 0,
        inherited: false,
        start_blocked: false,
        organisation: organisation.map(str::to_owned),
    }
}

fn registration(id: &str, capacity: Resources) -> Registration {
    Registration {
        id: id.to_owned(),
        pool: "p".to_owned(),
        address: "10.0.0.1:1".to_owned(),
        ready: true,
        capacity,
        ..Registration::default()
    }
}

/// Creates a cell with executors `e0`, `e1` and so on, and a limit for organisation `o`.
fn cell(executors: usize, limit: u64, granted: u64) -> Cell {
    let config = CellConfig {
        lease: LEASE_MS,
        inherited_lease: 16_000,
        stop_timeout: 900,
        early_start: 0,
        term: 1,
    };
    let mut cell = Cell::new(config, 0);
    let queue = Queue {
        name: "q".to_owned(),
        max_attempts: 2,
        stretch: 1_600,
        objective_base: 60_000,
        ..Queue::default()
    };
    cell.configure(std::iter::once(&queue));
    cell.set_limits(std::iter::once(("o", cpu(limit))));
    cell.set_grant("o", cpu(granted));
    for n in 0..executors {
        cell.register(registration(&format!("e{n}"), EXECUTOR));
    }
    poll(&mut cell, executors, 1);
    cell
}

fn poll(cell: &mut Cell, executors: usize, now: u64) {
    for n in 0..executors {
        cell.handle_poll(&format!("e{n}"), &report(now, Vec::new()), now, now);
    }
}

fn report(clock: u64, present: Vec<PresentRun>) -> ExecutorReport {
    ExecutorReport { clock, present, ended: Vec::new() }
}

fn present(job: &str, index: u32) -> PresentRun {
    let task = TaskId { job: job.to_owned(), occurrence: 0, step: 0, index };
    PresentRun { task, run: 1, checkpoint: String::new(), percent: 1, gauge: 0 }
}

/// Jobs whose tasks a pass starts, one entry for each task.
fn starts(cell: &mut Cell, now: u64) -> Vec<String> {
    let is_start = |order: Order| match order {
        Order::Start { task, .. } => Some(task.job),
        _ => None,
    };
    cell.tick(now, 0).into_iter().filter_map(is_start).collect()
}

#[test]
fn tasks_start_within_the_grant_only() {
    let mut cell = cell(2, 8_000, 3_000);
    cell.admit(arrival("a", Some("o"), vec![step(8, 1_000)]));
    assert_eq!(starts(&mut cell, 2).len(), 3);
    assert!(starts(&mut cell, 30).is_empty());
    cell.set_grant("o", cpu(5_000));
    assert_eq!(starts(&mut cell, 60).len(), 2);
    assert_eq!(cell.quota_use()["o"].reason, Some(WaitReason::Quota));
}

#[test]
fn a_new_limit_starts_nothing_without_a_grant() {
    let mut cell = cell(2, 8_000, 3_000);
    cell.set_limits([("o", cpu(8_000)), ("n", cpu(1_000))].into_iter());
    cell.admit(arrival("a", Some("n"), vec![step(1, 1_000)]));
    assert!(starts(&mut cell, 2).is_empty());
    // The grant of an organisation whose limit changes stays.
    cell.admit(arrival("b", Some("o"), vec![step(1, 3_000)]));
    assert_eq!(starts(&mut cell, 30), ["b"]);
}

#[test]
fn an_organisation_at_its_limit_does_not_hold_up_others() {
    let mut cell = cell(2, 8_000, 1_000);
    cell.admit(arrival("a", Some("o"), vec![step(8, 1_000)]));
    cell.admit(arrival("b", Some("free"), vec![step(4, 1_000)]));
    cell.admit(arrival("c", None, vec![step(4, 1_000)]));
    let started = starts(&mut cell, 2);
    assert_eq!(started.iter().filter(|job| *job == "a").count(), 1);
    assert_eq!(started.len(), 9);
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut cell = cell(2, 8_000, 3_000);
    let gang = Step { gang: true, ..step(4, 1_000) };
    cell.admit(arrival("a", Some("o"), vec![gang]));
    assert!(starts(&mut cell, 2).is_empty());
    cell.set_grant("o", cpu(4_000));
    assert_eq!(starts(&mut cell, 30).len(), 4);
}

#[test]
fn a_large_task_is_not_kept_waiting_by_small_ones() {
    let mut cell = cell(2, 8_000, 8_000);
    let small =
        |n: u64| Arrival { requested_at: n, ..arrival("s", Some("o"), vec![step(7, 1_000)]) };
    cell.admit(small(0));
    assert_eq!(starts(&mut cell, 2).len(), 7);
    let mut large = arrival("l", Some("o"), vec![step(1, 6_000)]);
    large.job.steps[0].estimate = 100;
    cell.admit(large);
    cell.admit(Arrival { id: "t".to_owned(), ..small(5) });
    // The large task is first in the order, as it is less work; the piece that is free is kept for it.
    assert!(starts(&mut cell, 30).is_empty());
}

#[test]
fn no_executor_is_reserved_for_a_task_beyond_the_grant() {
    let mut cell = cell(1, 8_000, 1_000);
    cell.admit(arrival("s", None, vec![step(6, 1_000)]));
    assert_eq!(starts(&mut cell, 2).len(), 6);
    let long_running = Step { long_running: true, ..step(1, 7_000) };
    cell.admit(arrival("l", Some("o"), vec![long_running]));
    cell.admit(arrival("t", None, vec![step(2, 1_000)]));
    assert_eq!(starts(&mut cell, 30), ["t", "t"]);
}

/// Guards against an allowance that is kept without limit for a long-running task that has no room,
/// while most of the pool is free.
#[test]
fn a_job_uses_the_allowance_kept_for_a_task_without_room_after_a_while() {
    let mut cell = cell(1, 8_000, 7_000);
    cell.admit(arrival("s", None, vec![step(2, 1_000)]));
    assert_eq!(starts(&mut cell, 2).len(), 2);
    let long_running = Step { long_running: true, ..step(1, 7_000) };
    cell.admit(arrival("l", Some("o"), vec![long_running]));
    cell.admit(arrival("t", Some("o"), vec![step(1, 1_000)]));
    assert!(starts(&mut cell, 30).is_empty());
    cell.handle_poll("e0", &report(1_600, vec![present("s", 0), present("s", 1)]), 1_600, 1_600);
    assert_eq!(starts(&mut cell, 1_600), ["t"]);
}

#[test]
fn a_best_effort_task_counts_with_what_it_declares() {
    let mut cell = cell(1, 8_000, 2_000);
    let best_effort = Step { best_effort: true, ..step(4, 1_000) };
    cell.admit(arrival("a", Some("o"), vec![best_effort]));
    assert_eq!(starts(&mut cell, 2).len(), 2);
}

#[test]
fn a_run_counts_until_its_executor_lists_its_end() {
    let mut cell = cell(1, 8_000, 1_000);
    cell.admit(arrival("a", Some("o"), vec![step(1, 1_000)]));
    assert_eq!(starts(&mut cell, 2), ["a"]);
    cell.handle_poll("e0", &report(40, vec![present("a", 0)]), 40, 40);
    cell.cancel("a", 50);
    let (_, flush) = cell.take_changes();
    cell.flush_done(&flush);
    assert!(!cell.contains_job("a"));
    cell.admit(arrival("b", Some("o"), vec![step(1, 1_000)]));
    assert!(starts(&mut cell, 60).is_empty());
    cell.handle_poll("e0", &report(200, vec![present("a", 0)]), 200, 200);
    assert!(starts(&mut cell, 210).is_empty());
    let task = present("a", 0).task;
    let (outcome, checkpoint) = (RunOutcome::Stopped, String::new());
    let ended = vec![EndedRun { sequence: 1, task, run: 1, outcome, checkpoint }];
    cell.handle_poll("e0", &ExecutorReport { ended, ..report(300, Vec::new()) }, 300, 300);
    assert_eq!(starts(&mut cell, 310), ["b"]);
}

#[test]
fn a_run_of_an_unknown_job_counts_with_its_whole_executor() {
    let mut cell = cell(2, 32_000, 9_000);
    cell.handle_poll("e0", &report(20, vec![present("gone", 0)]), 20, 20);
    cell.admit(arrival("a", Some("o"), vec![step(4, 1_000)]));
    assert_eq!(starts(&mut cell, 30), ["a"]);
    assert!(!cell.is_quota_use_known());
    assert_eq!(cell.quota_use()["o"].reason, Some(WaitReason::Unknown));
}

#[test]
fn an_executor_that_has_not_answered_counts_with_its_capacity() {
    let mut cell = cell(1, 32_000, 9_000);
    cell.inherit(registration("e9", EXECUTOR));
    cell.admit(arrival("a", Some("o"), vec![step(4, 1_000)]));
    assert_eq!(starts(&mut cell, 30), ["a"]);
    // Nothing is known of one that the registry does not list.
    cell.inherit(registration("e8", Resources::default()));
    cell.admit(arrival("b", Some("o"), vec![step(4, 1_000)]));
    cell.set_grant("o", cpu(32_000));
    assert!(starts(&mut cell, 60).is_empty());
    cell.mark_ended("e8", 70);
    cell.mark_ended("e9", 70);
    assert!(!starts(&mut cell, 90).is_empty());
}

#[test]
fn a_new_holder_counts_the_runs_that_executors_report() {
    let mut cell = cell(0, 8_000, 2_000);
    cell.inherit(registration("e0", EXECUTOR));
    let inherited = Arrival { inherited: true, ..arrival("a", Some("o"), vec![step(4, 1_000)]) };
    cell.admit(inherited);
    cell.register(registration("e0", EXECUTOR));
    cell.handle_poll("e0", &report(20, vec![present("a", 0), present("a", 1)]), 20, 20);
    assert_eq!(cell.quota_needs()["o"].used.cpu, 2_000);
    assert!(starts(&mut cell, 30).is_empty());
}

#[test]
fn work_beyond_the_limit_is_no_demand_for_machines() {
    let mut cell = cell(4, 4_000, 4_000);
    cell.admit(arrival("a", Some("o"), vec![step(40, 1_000)]));
    assert_eq!(starts(&mut cell, 2).len(), 4);
    let work = 36 * 1_000 * 500;
    cell.tick(3, 0);
    assert_eq!(cell.backlog(3), (0, 0));
    // Beyond a grant that other cells may still raise, it is demand at first.
    cell.set_limits(std::iter::once(("o", cpu(40_000))));
    cell.tick(30, 0);
    assert_eq!(cell.backlog(30), (work, work));
    assert_eq!(cell.startable_work(Some("o"), 500), 500);
    cell.tick(700, 0);
    assert_eq!(cell.backlog(700), (0, 0));
    assert_eq!(cell.startable_work(Some("o"), 500), 0);
    assert_eq!(cell.startable_work(None, 500), 500);
    assert_eq!(cell.late_cpu(70_000), 4_000);
}

/// Guards against a pool that loses its machines at a peak, as its new holder can't start the tasks of
/// limited organisations before all executors of the former one have answered.
#[test]
fn work_that_waits_for_unknown_runs_is_demand_for_machines() {
    let mut cell = cell(2, 40_000, 6_000);
    cell.inherit(registration("unanswered", EXECUTOR));
    cell.admit(arrival("a", Some("o"), vec![step(4, 1_000)]));
    assert!(starts(&mut cell, 2).is_empty());
    let work = 4 * 1_000 * 500;
    for now in [3, 700] {
        cell.tick(now, 0);
        assert_eq!(cell.backlog(now), (work, work));
        assert_eq!(cell.startable_work(Some("o"), 500), 500);
    }
}

/// Guards against a pool that keeps machines for long-running tasks that can't start.
#[test]
fn long_running_tasks_beyond_the_limit_need_no_machines() {
    let mut cell = cell(4, 4_000, 4_000);
    let long_running = |cpu| Step { long_running: true, ..step(6, cpu) };
    let needed = |cell: &Cell| {
        let limits = cell.shrink_limits();
        (limits.long_running_cpu, limits.min_executors)
    };
    cell.admit(arrival("a", Some("o"), vec![long_running(2_000)]));
    assert_eq!(starts(&mut cell, 2).len(), 2);
    assert_eq!(needed(&cell), (4_000, 1));
    // What other cells may still return is needed at first.
    cell.set_limits(std::iter::once(("o", cpu(40_000))));
    cell.tick(30, 0);
    assert_eq!(needed(&cell), (12_000, 2));
    cell.tick(700, 0);
    assert_eq!(needed(&cell), (4_000, 1));
    // Those that run count, whatever the grant is.
    cell.set_grant("o", cpu(0));
    cell.tick(730, 0);
    assert_eq!(needed(&cell), (4_000, 1));
    cell.admit(arrival("b", None, vec![long_running(4_000)]));
    assert_eq!(needed(&cell), (28_000, 4));
}

/// Guards against a gang for which machines are kept although only a part of it is within the limit,
/// and against a new holder that gives up machines before it knows what runs there.
#[test]
fn a_long_running_gang_needs_machines_as_a_whole_and_an_unknown_job_always() {
    let mut cell = cell(4, 4_000, 4_000);
    let gang = Step { long_running: true, gang: true, ..step(3, 2_000) };
    cell.admit(arrival("a", Some("o"), vec![gang.clone()]));
    cell.tick(2, 0);
    assert_eq!(cell.shrink_limits().long_running_cpu, 0);
    cell.inherit(registration("e9", EXECUTOR));
    cell.admit(Arrival { inherited: true, ..arrival("b", Some("o"), vec![gang]) });
    cell.tick(30, 0);
    assert_eq!(cell.shrink_limits().long_running_cpu, 6_000);
}

fn situation(own: u64, others: &[Entry], need: Need) -> Situation<'_> {
    Situation {
        limit: cpu(16_000),
        own: Some(Entry { granted: cpu(own), ..Entry::default() }),
        others,
        position: 0,
        need,
        capacity: cpu(64_000),
        complete: true,
        return_excess: false,
    }
}

fn need(used: u64, waiting: u64) -> Need {
    Need { used: cpu(used), waiting: cpu(waiting), ..Need::default() }
}

#[test]
fn what_is_not_needed_is_returned_when_another_cell_asks() {
    let others = [Entry { granted: cpu(4_000), wanted: cpu(10_000), unit: cpu(1_000) }];
    let decision = decide(&situation(12_000, &others, need(5_000, 2_000)));
    assert_eq!(decision.entry.granted, cpu(7_000));
    assert_eq!(decision.entry.wanted, cpu(0));
    // No more than what is asked for is returned.
    let others = [Entry { granted: cpu(4_000), wanted: cpu(5_000), unit: cpu(1_000) }];
    let decision = decide(&situation(12_000, &others, need(5_000, 2_000)));
    assert_eq!(decision.entry.granted, cpu(11_000));
}

#[test]
fn a_grant_with_slack_is_not_changed() {
    let others = [Entry { granted: cpu(6_000), ..Entry::default() }];
    for used in 4_000..6_000 {
        let decision = decide(&situation(7_500, &others, need(used, 0)));
        assert_eq!(decision.entry.granted, cpu(7_500), "{used}");
    }
    let idle = decide(&situation(7_500, &others, need(1_000, 0)));
    assert!(idle.excessive);
    assert_eq!(idle.entry.granted, cpu(7_500));
}

#[test]
fn a_grant_is_not_raised_while_entries_are_missing() {
    let others = [Entry { granted: cpu(2_000), ..Entry::default() }];
    let incomplete = Situation { complete: false, ..situation(4_000, &others, need(4_000, 8_000)) };
    assert_eq!(decide(&incomplete).entry.granted, cpu(4_000));
}

#[test]
fn a_use_without_a_grant_is_recorded() {
    let others = [Entry { granted: cpu(14_000), ..Entry::default() }];
    let decision = decide(&situation(0, &others, need(6_000, 1_000)));
    assert_eq!(decision.entry.granted, cpu(6_000));
}

#[test]
fn a_resource_without_a_limit_keeps_nobody_waiting() {
    let allowance = Allowance { limit: cpu(1_000), granted: cpu(1_000) };
    let used = Resources { cpu: 0, memory: u64::MAX, gpus: 3 };
    assert!(allowance.admits(used, Resources { cpu: 1_000, memory: 7, gpus: 1 }));
}
