//! The scheduler under recorded loads and faults, without any I/O.

use jobs::admit::{self, Load, Verdict};
use jobs::cell::{Arrival, Order, StartOutcome};
use jobs::worker::{Ended, Present};
use jobs::{Cell, CellConfig, How, Job, Look, Progress, Queue, Registration, Room, Step, TaskId};

const LEASE: u64 = 6_000;
const STOP: u64 = 900;
const JOB: &str = "00000000000000aa";

fn rules(term: u64) -> CellConfig {
    CellConfig { lease: LEASE, inherited_lease: 16_000, stop_timeout: STOP, early_start: 0, term }
}

fn executor(id: &str) -> Registration {
    Registration {
        id: id.to_owned(),
        pool: "p".to_owned(),
        address: format!("10.0.0.{}:1", id.len()),
        ready: true,
        room: Room { cpu: 4_000, memory: 4_000, gpus: 0 },
        ..Registration::default()
    }
}

fn step(count: u32, cpu: u64) -> Step {
    Step { count, room: Room { cpu, memory: 10, gpus: 0 }, estimate: 500, ..Step::default() }
}

fn arrival(steps: Vec<Step>, inherited: bool) -> Arrival {
    Arrival {
        id: JOB.to_owned(),
        part: "q".to_owned(),
        queue: "q".to_owned(),
        job: Job { payload: "x".to_owned(), steps, schedule: None },
        progress: Progress::default(),
        requested: 0,
        inherited,
        start_blocked: false,
    }
}

fn task(step: usize, index: u32) -> TaskId {
    TaskId { job: JOB.to_owned(), turn: 0, step, index }
}

fn cell(term: u64, executors: &[&str]) -> Cell {
    let mut cell = Cell::new(rules(term), 0);
    let queue = Queue {
        name: "q".to_owned(),
        attempts: 2,
        stretch: 1_600,
        target: 600,
        ..Queue::default()
    };
    cell.configure(std::iter::once(&queue));
    for id in executors {
        cell.register(executor(id));
    }
    cell
}

fn look(clock: u64) -> Look {
    Look { clock, ..Look::default() }
}

fn present(task: TaskId, run: u64) -> Present {
    Present { task, run, saved: String::new(), percent: 100, gauge: 0 }
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

fn end(number: u64, task: TaskId, run: u64, how: How) -> Ended {
    Ended { number, task, run, how, saved: String::new() }
}

/// Starts the first task of the job on its only executor.
fn begin(cell: &mut Cell) {
    cell.handle_poll("a", &look(100), 0, 1);
    cell.tick(2, 0);
    cell.handle_start_outcome("a", &task(0, 0), 1, StartOutcome::Running(101), 3);
}

/// Lets the first task of the job end.
fn finish(cell: &mut Cell) {
    let mut seen = look(110);
    seen.ended = vec![end(1, task(0, 0), 1, How::Done)];
    cell.handle_poll("a", &seen, 4, 10);
}

#[test]
fn runs_of_an_earlier_holder_keep_their_room_until_their_lease_has_ended() {
    let mut cell = cell(2, &["a"]);
    cell.admit(arrival(vec![step(1, 4_000)], true));
    let mut seen = look(1_000);
    seen.present = vec![present(task(0, 0), 7)];
    cell.handle_poll("a", &seen, 5, 10);
    for now in [20, 500, 3_000] {
        assert!(starts(&cell.tick(now, now)).is_empty(), "at {now} ms the run may go on");
    }
    // The executor falls silent: its lease ends at 7000 of its clock, 2 % later at the latest.
    assert!(starts(&cell.tick(6_010, 0)).is_empty());
}

#[test]
fn a_step_waits_for_the_steps_before_it() {
    let mut cell = cell(1, &["a"]);
    let second = Step { after: vec![0], ..step(1, 100) };
    cell.admit(arrival(vec![step(2, 100), second], false));
    cell.handle_poll("a", &look(100), 0, 1);
    let first = starts(&cell.tick(2, 0));
    assert_eq!(first.len(), 2);
    for (worker, task, run) in &first {
        cell.handle_start_outcome(worker, task, *run, StartOutcome::Running(101), 3);
    }
    let mut seen = look(110);
    seen.ended = vec![end(1, task(0, 0), 1, How::Done)];
    seen.present = vec![present(task(0, 1), 1)];
    cell.handle_poll("a", &seen, 4, 10);
    assert!(starts(&cell.tick(11, 0)).is_empty());
    let mut seen = look(120);
    seen.ended = vec![end(2, task(0, 1), 1, How::Done)];
    cell.handle_poll("a", &seen, 12, 20);
    assert_eq!(starts(&cell.tick(21, 0)), [("a".to_owned(), task(1, 0), 1)]);
}

#[test]
fn a_task_that_failed_as_often_as_allowed_ends_its_job() {
    let mut cell = cell(1, &["a"]);
    cell.admit(arrival(vec![step(1, 100)], false));
    cell.handle_poll("a", &look(100), 0, 1);
    for run in 1..=2 {
        let now = run * 1_000;
        cell.handle_poll("a", &look(100 + now), now - 10, now - 5);
        assert_eq!(starts(&cell.tick(now, 0)), [("a".to_owned(), task(0, 0), run)]);
        cell.handle_start_outcome("a", &task(0, 0), run, StartOutcome::Running(101), now + 1);
        let mut seen = look(150 + now);
        seen.ended = vec![end(run, task(0, 0), run, How::Failed)];
        cell.handle_poll("a", &seen, now + 2, now + 5);
    }
    let (changes, _) = cell.take_changes();
    assert_eq!(changes[0].state, jobs::State::Failed);
}

#[test]
fn a_start_without_answer_keeps_its_room_until_a_stop_is_taken() {
    let mut cell = cell(1, &["a"]);
    cell.admit(arrival(vec![step(1, 4_000)], false));
    cell.handle_poll("a", &look(100), 0, 1);
    assert_eq!(starts(&cell.tick(2, 0)).len(), 1);
    cell.handle_start_outcome("a", &task(0, 0), 1, StartOutcome::Unknown, 900);
    let orders = cell.tick(901, 0);
    assert!(matches!(orders[..], [Order::Stop { run: 1, .. }]), "{orders:?}");
    cell.handle_stop_answer("a", &task(0, 0), 1, true, 905);
    assert!(starts(&cell.tick(906, 0)).is_empty());
    cell.handle_poll("a", &look(1_010), 910, 915);
    assert_eq!(starts(&cell.tick(1_000, 0)), [("a".to_owned(), task(0, 0), 2)]);
}

#[test]
fn a_lasting_start_without_answer_is_stopped_only_if_it_has_not_begun() {
    let begin = || {
        let mut cell = cell(1, &["a"]);
        let lasting = Step { lasting: true, spare: 1, ..step(1, 1_000) };
        cell.admit(arrival(vec![lasting], false));
        cell.handle_poll("a", &look(100), 0, 1);
        assert_eq!(starts(&cell.tick(2, 0)).len(), 1);
        cell.handle_start_outcome("a", &task(0, 0), 1, StartOutcome::Unknown, 900);
        assert!(cell.tick(901, 0).is_empty(), "a look tells first whether it runs");
        cell
    };
    // The answer was only slow: a stop would end a task at work.
    let mut slow = begin();
    let mut seen = look(1_010);
    seen.present = vec![present(task(0, 0), 1)];
    slow.handle_poll("a", &seen, 910, 915);
    assert!(slow.tick(916, 0).is_empty());
    // A look from before the answer was given up tells nothing yet.
    let mut lost = begin();
    lost.handle_poll("a", &look(1_000), 890, 905);
    assert!(lost.tick(906, 0).is_empty());
    // The start may arrive late, so that a stop keeps it from beginning beside another run.
    lost.handle_poll("a", &look(1_010), 910, 915);
    let orders = lost.tick(916, 0);
    assert!(matches!(orders[..], [Order::Stop { run: 1, .. }]), "{orders:?}");
}

#[test]
fn ends_are_acknowledged_only_when_they_are_durable() {
    let mut cell = cell(1, &["a"]);
    cell.admit(arrival(vec![step(1, 100)], false));
    begin(&mut cell);
    finish(&mut cell);
    assert_eq!(cell.workers()["a"].durable, 0);
    let (changes, durable) = cell.take_changes();
    assert_eq!(changes[0].state, jobs::State::Completed);
    cell.flush_done(&durable);
    assert_eq!(cell.workers()["a"].durable, 1);
    assert!(!cell.contains_job(JOB));
}

#[test]
fn a_job_whose_end_is_durable_does_not_come_back_by_an_older_read() {
    let mut cell = cell(1, &["a"]);
    cell.admit(arrival(vec![step(1, 100)], false));
    begin(&mut cell);
    finish(&mut cell);
    let (_, durable) = cell.take_changes();
    cell.flush_done(&durable);
    cell.admit(arrival(vec![step(1, 100)], true));
    assert!(starts(&cell.tick(20, 0)).is_empty());
}

#[test]
fn a_job_begins_only_when_a_successor_would_know_of_it() {
    let mut cell = cell(1, &["a"]);
    cell.handle_poll("a", &look(1), 0, 1);
    cell.admit(Arrival { start_blocked: true, ..arrival(vec![step(1, 1_000)], false) });
    assert!(starts(&cell.tick(10, 0)).is_empty());
    cell.allow_start(JOB);
    assert_eq!(starts(&cell.tick(20, 0)).len(), 1);
}

#[test]
fn jobs_that_no_earlier_holder_can_have_begun_do_not_wait_for_a_silent_executor() {
    let mut cell = cell(2, &["a"]);
    cell.inherit(executor("b"));
    cell.handle_poll("a", &look(1), 0, 1);
    let new = Arrival { id: "00000000000000bb".to_owned(), ..arrival(vec![step(1, 1_000)], false) };
    cell.admit(arrival(vec![step(1, 1_000)], true));
    cell.admit(new);
    let begun = starts(&cell.tick(10, 0));
    let jobs: Vec<&str> = begun.iter().map(|(_, task, _)| task.job.as_str()).collect();
    assert_eq!(jobs, ["00000000000000bb"]);
}

#[test]
fn ends_that_a_new_holder_finds_count_before_it_starts_anything() {
    let mut cell = cell(2, &["a"]);
    cell.inherit(executor("b"));
    cell.admit(arrival(vec![step(1, 100)], true));
    let mut seen = look(500);
    seen.ended = vec![end(1, task(0, 0), 1, How::Done)];
    cell.handle_poll("a", &seen, 4, 10);
    // The other executor never answers.
    cell.unlist("b");
    for now in [20, 17_000] {
        cell.confirm_ownership(now);
        cell.handle_poll("a", &look(500 + now), now - 5, now);
        assert!(starts(&cell.tick(now, now)).is_empty(), "at {now} ms");
    }
    let (changes, _) = cell.take_changes();
    assert_eq!(changes[0].state, jobs::State::Completed);
}

#[test]
fn an_executor_that_falls_silent_gives_its_tasks_back_after_its_lease() {
    let mut cell = cell(1, &["a"]);
    cell.admit(arrival(vec![Step { lasting: true, ..step(1, 100) }], false));
    begin(&mut cell);
    for now in (1_000..8_000).step_by(250) {
        assert!(cell.grant_lease("a", now).is_none() || now == 1_000);
        cell.handle_no_answer("a");
        cell.confirm_ownership(now);
        cell.tick(now, 0);
    }
    assert!(cell.workers()["a"].runs.is_empty());
}

#[test]
fn a_silent_executor_that_no_machine_has_any_more_gives_its_tasks_back_at_once() {
    let mut cell = cell(1, &["a", "bb"]);
    cell.admit(arrival(vec![step(1, 100)], false));
    cell.handle_poll("a", &look(100), 0, 1);
    let first = starts(&cell.tick(2, 0));
    assert_eq!(first.len(), 1);
    cell.handle_start_outcome("a", &task(0, 0), 1, StartOutcome::Running(101), 3);
    cell.handle_poll("bb", &look(100), 4, 5);
    let list = |ids: &[&str]| ids.iter().map(|id| (*id).to_owned()).collect();
    assert!(!cell.needs_liveness_check());
    assert!(cell.mark_missing_dead(&list(&["bb"]), 50, 60).is_empty(), "it answers");
    cell.handle_no_answer("a");
    assert!(cell.needs_liveness_check());
    assert!(cell.mark_missing_dead(&list(&["a", "bb"]), 1_000, 1_010).is_empty(), "it lives");
    assert!(cell.mark_missing_dead(&list(&["z"]), 1_000, 1_010).is_empty(), "not about this cell");
    assert!(
        cell.mark_missing_dead(&list(&["bb"]), 2, 1_010).is_empty(),
        "asked before it answered"
    );
    assert!(starts(&cell.tick(1_020, 0)).is_empty());
    assert_eq!(cell.mark_missing_dead(&list(&["bb"]), 1_000, 1_030), ["a"]);
    assert_eq!(starts(&cell.tick(1_040, 0)), [("bb".to_owned(), task(0, 0), 2)]);
}

#[test]
fn a_holder_that_is_cut_off_does_not_take_a_lease_for_ended() {
    let mut cell = cell(1, &["a"]);
    cell.admit(arrival(vec![step(1, 100)], false));
    begin(&mut cell);
    cell.handle_no_answer("a");
    cell.tick(8_000, 0);
    // A later holder may have renewed the lease meanwhile.
    assert_eq!(cell.workers()["a"].runs.len(), 1);
}

#[test]
fn a_new_holder_gives_no_task_to_an_executor_that_is_to_be_emptied() {
    let mut cell = cell(2, &[]);
    cell.set_leaving(std::iter::once("a".to_owned()).collect());
    cell.register(executor("a"));
    cell.admit(arrival(vec![step(1, 100)], false));
    cell.handle_poll("a", &look(100), 0, 1);
    assert!(starts(&cell.tick(2, 0)).is_empty());
}

#[test]
fn a_lasting_task_is_not_stopped_while_another_of_its_step_was_not_seen_lately() {
    let mut cell = cell(1, &["a", "bb"]);
    let pair = Step { lasting: true, spread: 1, spare: 1, ..step(2, 100) };
    cell.admit(arrival(vec![pair], false));
    for id in ["a", "bb"] {
        cell.handle_poll(id, &look(100), 0, 1);
    }
    for (worker, task, run) in starts(&cell.tick(2, 0)) {
        cell.handle_start_outcome(&worker, &task, run, StartOutcome::Running(101), 3);
        let mut seen = look(110);
        seen.present = vec![present(task, run)];
        cell.handle_poll(&worker, &seen, 4, 10);
    }
    cell.set_leaving(std::iter::once("a".to_owned()).collect());
    let mut seen = look(4_110);
    seen.present = vec![present(cell.workers()["a"].runs.keys().next().unwrap().clone(), 1)];
    cell.handle_poll("a", &seen, 4_000, 4_010);
    let stops = |orders: Vec<Order>| orders.iter().any(|o| matches!(o, Order::Stop { .. }));
    assert!(!stops(cell.tick(4_020, 0)), "the other one was last seen 4 s ago");
    let mut seen = look(4_110);
    seen.present = vec![present(cell.workers()["bb"].runs.keys().next().unwrap().clone(), 1)];
    cell.handle_poll("bb", &seen, 4_000, 4_030);
    assert!(stops(cell.tick(4_040, 0)));
}

#[test]
fn a_new_holder_stops_no_lasting_task_while_its_predecessor_may_have_stopped_another() {
    let mut cell = cell(2, &["a", "bb"]);
    let pair = Step { lasting: true, spread: 1, spare: 1, ..step(2, 100) };
    cell.admit(arrival(vec![pair], true));
    cell.set_leaving(std::iter::once("a".to_owned()).collect());
    let both = |cell: &mut jobs::Cell, sent: u64| {
        for (id, index) in [("a", 0), ("bb", 1)] {
            let mut seen = look(1_000 + sent);
            seen.present = vec![present(task(0, index), 1)];
            cell.handle_poll(id, &seen, sent, sent + 5);
        }
    };
    let stops = |orders: Vec<Order>| orders.iter().any(|o| matches!(o, Order::Stop { .. }));
    both(&mut cell, 0);
    assert!(!stops(cell.tick(10, 0)), "a stop of the other task may be under way");
    both(&mut cell, STOP - 10);
    assert!(!stops(cell.tick(STOP, 0)));
    both(&mut cell, STOP + 10);
    assert!(stops(cell.tick(STOP + 20, 0)), "the other task is surely at work");
}

#[test]
fn a_run_of_an_unknown_job_takes_its_executor_whole_until_it_has_ended() {
    let mut cell = cell(2, &["a"]);
    let stray = TaskId { job: "00000000000000bb".to_owned(), ..task(0, 0) };
    let mut seen = look(500);
    seen.present = vec![present(stray.clone(), 9)];
    cell.handle_poll("a", &seen, 4, 10);
    cell.admit(arrival(vec![step(1, 100)], false));
    let orders = cell.tick(11, 0);
    assert!(matches!(&orders[..], [Order::Stop { task, run: 9, .. }] if *task == stray));
    cell.handle_stop_answer("a", &stray, 9, true, 12);
    let mut seen = look(600);
    seen.ended = vec![end(1, stray, 9, How::Stopped)];
    cell.handle_poll("a", &seen, 13, 20);
    assert_eq!(starts(&cell.tick(21, 0)).len(), 1);
}

#[test]
fn a_step_under_advice_runs_only_where_the_adviser_allows_it() {
    let mut cell = cell(1, &["a", "bb"]);
    let queue = Queue { name: "q".to_owned(), attempts: 2, advised: true, ..Queue::default() };
    cell.configure(std::iter::once(&queue));
    cell.admit(arrival(vec![step(1, 100)], false));
    for id in ["a", "bb"] {
        cell.handle_poll(id, &look(100), 0, 1);
    }
    let orders = cell.tick(2, 0);
    let [Order::Advise { step, workers }] = &orders[..] else { panic!("{orders:?}") };
    assert_eq!(workers.len(), 2);
    assert!(cell.tick(30, 0).is_empty(), "one question at a time");
    let answer = (vec![("bb".to_owned(), "t-1".to_owned())], 3_000);
    cell.handle_advice(step, workers, Some(answer), 40);
    let orders = cell.tick(41, 0);
    let [Order::Start { worker, ticket, .. }] = &orders[..] else { panic!("{orders:?}") };
    assert_eq!((worker.as_str(), ticket.as_str()), ("bb", "t-1"));
}

#[test]
fn a_task_without_progress_starts_elsewhere() {
    let mut cell = cell(1, &["a", "bb"]);
    cell.admit(arrival(vec![step(1, 100)], false));
    for id in ["a", "bb"] {
        cell.handle_poll(id, &look(100), 0, 1);
    }
    let (first, task, run) = starts(&cell.tick(2, 0))[0].clone();
    cell.handle_start_outcome(&first, &task, run, StartOutcome::Running(101), 3);
    let mut stopped = false;
    for now in (100..1_200).step_by(100) {
        let mut seen = look(100 + now);
        seen.present = vec![Present { percent: 7, ..present(task.clone(), run) }];
        cell.handle_poll(&first, &seen, now - 5, now);
        stopped |= cell.tick(now, 0).iter().any(|o| matches!(o, Order::Stop { .. }));
    }
    assert!(stopped);
}

#[test]
fn a_task_that_failed_on_an_executor_is_tried_on_another() {
    let mut cell = cell(1, &["a", "bb"]);
    cell.admit(arrival(vec![step(1, 100)], false));
    for id in ["a", "bb"] {
        cell.handle_poll(id, &look(100), 0, 1);
    }
    let (first, task, run) = starts(&cell.tick(2, 0))[0].clone();
    cell.handle_start_outcome(&first, &task, run, StartOutcome::Running(101), 3);
    let mut seen = look(150);
    seen.ended = vec![end(1, task, run, How::Failed)];
    cell.handle_poll(&first, &seen, 4, 10);
    let (second, ..) = starts(&cell.tick(200, 0))[0].clone();
    assert_ne!(first, second);
}

#[test]
fn an_executor_much_slower_than_the_others_gets_no_task_while_others_have_room() {
    let ids = ["a", "bb", "ccc", "dddd"];
    let mut cell = cell(1, &ids);
    cell.admit(arrival(vec![Step { spread: 1, ..step(4, 100) }], false));
    for id in ids {
        cell.handle_poll(id, &look(100), 0, 1);
    }
    let first = starts(&cell.tick(2, 0));
    for (worker, task, run) in &first {
        cell.handle_start_outcome(worker, task, *run, StartOutcome::Running(101), 3);
    }
    for now in (250..700).step_by(100) {
        for (worker, task, run) in &first {
            let percent = if worker == "a" { now / 50 } else { now / 5 };
            let mut seen = look(100 + now);
            seen.present =
                vec![Present { percent: percent.min(99), ..present(task.clone(), *run) }];
            cell.handle_poll(worker, &seen, now - 20, now);
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
fn a_job_that_has_begun_is_finished_before_a_fresh_one_begins() {
    let mut cell = cell(1, &["a"]);
    let second = Step { after: vec![0], ..step(1, 4_000) };
    cell.admit(arrival(vec![step(1, 4_000), second], false));
    cell.handle_poll("a", &look(100), 0, 1);
    let (worker, task, run) = starts(&cell.tick(2, 0))[0].clone();
    cell.handle_start_outcome(&worker, &task, run, StartOutcome::Running(101), 3);
    cell.admit(Arrival {
        id: "00000000000000bb".to_owned(),
        ..arrival(vec![step(1, 4_000)], false)
    });
    let mut seen = look(700);
    seen.ended = vec![end(1, task, run, How::Done)];
    cell.handle_poll("a", &seen, 590, 600);
    let next = starts(&cell.tick(601, 0));
    assert_eq!(next.iter().map(|(_, t, _)| t.job.as_str()).collect::<Vec<_>>(), [JOB]);
}

#[test]
fn work_below_what_a_pool_holds_leaves_whole_executors_free_to_move() {
    let mut cell = cell(1, &["a", "bb", "ccc"]);
    let mut running: Vec<(String, TaskId, u64)> = Vec::new();
    // Jobs of two small tasks come and end all the time; together they need half an executor.
    for round in 0..20 {
        let now = round * 100 + 10;
        let mut job = arrival(vec![step(2, 500)], false);
        job.id = format!("{round:016x}");
        job.requested = now;
        cell.admit(job);
        let over: Vec<_> = if running.len() > 2 { running.drain(..2).collect() } else { vec![] };
        for id in ["a", "bb", "ccc"] {
            let mut seen = look(now);
            let here = |runs: &[(String, TaskId, u64)]| -> Vec<(TaskId, u64)> {
                runs.iter().filter(|r| r.0 == id).map(|r| (r.1.clone(), r.2)).collect()
            };
            seen.present = here(&running).into_iter().map(|(t, run)| present(t, run)).collect();
            let seen_ends = cell.workers()[id].seen;
            let ends = here(&over).into_iter().zip(seen_ends + 1..);
            seen.ended = ends.map(|((t, run), n)| end(n, t, run, How::Done)).collect();
            cell.handle_poll(id, &seen, now - 1, now);
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
fn work_that_is_late_or_waits_for_a_silent_executor_asks_for_no_machines() {
    let mut cell = cell(1, &["a"]);
    let second = Step { after: vec![0], ..step(100, 4_000) };
    cell.admit(arrival(vec![step(1, 100), second], false));
    cell.handle_poll("a", &look(100), 0, 1);
    assert_eq!(starts(&cell.tick(2, 0)).len(), 1);
    let work = 100 * 4_000 * 500;
    assert_eq!(cell.backlog(2_000), (work, work));
    // The objective is 2.2 s.
    assert_eq!(cell.backlog(2_500), (0, work));
    // Once its executor is silent, the second step can't begin before the lease has ended.
    cell.handle_no_answer("a");
    assert_eq!(cell.backlog(2_000), (0, work));
}

#[test]
fn a_gang_that_finds_no_room_keeps_none_from_smaller_tasks() {
    let mut cell = cell(1, &["a"]);
    let gang = Step { gang: true, ..step(3, 1_500) };
    cell.admit(arrival(vec![gang], false));
    let small =
        Arrival { id: "00000000000000bb".to_owned(), ..arrival(vec![step(4, 1_000)], false) };
    cell.admit(small);
    cell.handle_poll("a", &look(100), 0, 1);
    let started = starts(&cell.tick(2, 0));
    assert_eq!(started.len(), 4, "the gang needs 4.5 cores of 4: {started:?}");
}

#[test]
fn a_long_backlog_is_passed_over_quickly() {
    let ids: Vec<String> = (0..250).map(|n| format!("i-{n}")).collect();
    let mut cell = cell(1, &ids.iter().map(String::as_str).collect::<Vec<_>>());
    for n in 0..600 {
        let mut job =
            arrival(vec![step(8, 1_500), Step { after: vec![0], ..step(8, 1_500) }], false);
        job.id = format!("{n:016x}");
        cell.admit(job);
    }
    for id in &ids {
        cell.handle_poll(id, &look(100), 0, 1);
    }
    let mut count = 0;
    for now in 2..8 {
        count += starts(&cell.tick(now, 0)).len();
    }
    assert_eq!(count, 500, "two tasks on each of 250 executors");
    // Another pass has nothing to give and need not look at each executor for each task.
    assert!(starts(&cell.tick(10, 0)).is_empty());
    assert_eq!(cell.executors_compared(), 250, "executors looked at in the last pass");
}

#[test]
fn a_filler_goes_where_others_leave_most_room() {
    let mut cell = cell(1, &["a", "bb"]);
    let serving = Step { lasting: true, target: 100, ..step(1, 2_000) };
    cell.admit(arrival(vec![serving], false));
    for id in ["a", "bb"] {
        cell.handle_poll(id, &look(100), 0, 1);
    }
    let served = starts(&cell.tick(2, 0));
    let filler = Step { filler: true, ..step(1, 2_000) };
    let id = "00000000000000bb".to_owned();
    cell.admit(Arrival { id, ..arrival(vec![filler], false) });
    let filled = starts(&cell.tick(3, 0));
    assert_ne!(served[0].0, filled[0].0, "it would disturb the task that serves");
}

#[test]
fn late_jobs_keep_no_machines_for_their_pool() {
    let mut cell = cell(1, &["a"]);
    cell.admit(arrival(vec![step(2, 1_000)], false));
    cell.handle_poll("a", &look(100), 0, 1);
    assert_eq!(cell.tick(2, 0).len(), 2);
    // The objective is 1.6 times 500 ms and 600 ms more.
    assert_eq!(cell.useful_cpu(1_400), 2_000);
    assert_eq!(cell.useful_cpu(1_401), 0);
}

#[test]
fn jobs_that_are_of_no_use_any_more_refuse_no_new_ones() {
    let mut cell = cell(1, &["a"]);
    cell.admit(arrival(vec![step(200, 4_000)], false));
    cell.handle_poll("a", &look(100), 0, 1);
    cell.tick(2, 0);
    let judge = |cell: &Cell, now| {
        let (ahead, backlog) = cell.backlog(now);
        let load =
            Load { jobs: cell.job_count(), ahead, backlog, room: 4_000, ..Default::default() };
        admit::judge(&load, 1_400, 500, 0)
    };
    // A hundred seconds of work wait in front of a new job.
    assert!(matches!(judge(&cell, 1_000), Verdict::Refuse(_)));
    // Three objectives of 1,400 ms have passed: the new job goes first.
    assert_eq!(judge(&cell, 4_201), Verdict::Accept);
}

#[test]
fn a_job_that_is_read_again_is_no_new_one() {
    let mut cell = cell(1, &["a"]);
    assert!(cell.admit(arrival(vec![step(1, 100)], false)));
    assert!(!cell.admit(arrival(vec![step(1, 100)], true)));
    begin(&mut cell);
    finish(&mut cell);
    let (_, durable) = cell.take_changes();
    cell.flush_done(&durable);
    assert!(!cell.admit(arrival(vec![step(1, 100)], true)), "it has ended");
}
