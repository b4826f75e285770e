//! Suspects of a crash that wait too long, hold up others, or are given up without cause.
//!
//! Executors are simulated without lost answers, so that each wait is the scheduler's own.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use jobs::cell::{Arrival, Order, Refusal, StartOutcome};
use jobs::worker::{EndedRun, PresentRun};
use jobs::{
    Cell, CellConfig, ExecutorReport, Job, Progress, Queue, Registration, Resources, RunOutcome,
    State, Step, TaskId,
};

const START_MS: u64 = 60_000;
const TICK_MS: u64 = 10;
const MACHINE_CPU: u64 = 16_000;

/// A simulated executor.
#[derive(Default)]
struct Executor {
    /// Task, run and end of each run, the latter `None` for a long-running one.
    runs: Vec<(TaskId, u64, Option<u64>)>,
    ended: Vec<EndedRun>,
    ended_count: u64,
}

struct Pool {
    cell: Cell,
    now: u64,
    executors: IndexMap<String, Executor>,
    /// Duration of the tasks of each job, in milliseconds; `None` for a long-running one.
    durations: IndexMap<String, Option<u64>>,
    /// Time of each start of each job.
    starts: IndexMap<String, Vec<(u64, String)>>,
    finals: IndexMap<String, (u64, State)>,
    slowest_tick: Duration,
}

fn registration(id: &str, labels: &[&str]) -> Registration {
    Registration {
        id: id.to_owned(),
        pool: "p".to_owned(),
        address: format!("{id}:1"),
        ready: true,
        capacity: Resources { cpu: MACHINE_CPU, memory: 1 << 20, gpus: 0 },
        labels: labels.iter().map(|label| (*label).to_owned()).collect(),
        ..Registration::default()
    }
}

fn step(count: u32, cpu: u64) -> Step {
    let resources = Resources { cpu, memory: 1, gpus: 0 };
    Step { count, resources, estimate: 500, ..Step::default() }
}

impl Pool {
    fn new(executors: usize) -> Self {
        let config = CellConfig {
            lease: 6_000,
            inherited_lease: 16_000,
            stop_timeout: 200,
            early_start: 0,
            term: 1,
        };
        let mut cell = Cell::new(config, START_MS);
        let queue = Queue {
            name: "q".to_owned(),
            max_attempts: 3,
            stretch: 1_600,
            objective_base: 600,
            ..Queue::default()
        };
        cell.configure(std::iter::once(&queue));
        let mut pool = Self {
            cell,
            now: START_MS,
            executors: IndexMap::new(),
            durations: IndexMap::new(),
            starts: IndexMap::new(),
            finals: IndexMap::new(),
            slowest_tick: Duration::ZERO,
        };
        for n in 0..executors {
            pool.join(&format!("m{n}"), &[]);
        }
        pool
    }

    fn join(&mut self, id: &str, labels: &[&str]) {
        self.cell.register(registration(id, labels));
        self.executors.insert(id.to_owned(), Executor::default());
        self.poll(id);
    }

    fn submit(&mut self, id: &str, step: Step, duration: Option<u64>) {
        self.submit_of(None, id, step, duration);
    }

    fn submit_of(&mut self, owner: Option<&str>, id: &str, step: Step, duration: Option<u64>) {
        self.durations.insert(id.to_owned(), duration);
        self.cell.admit(Arrival {
            id: id.to_owned(),
            part: "q".to_owned(),
            queue: "q".to_owned(),
            job: Job { payload: String::new(), steps: vec![step], schedule: None },
            progress: Progress::default(),
            requested_at: self.now,
            inherited: false,
            start_blocked: false,
            organisation: owner.map(str::to_owned),
        });
    }

    /// Sets the only limit, that of organisation `o`, and grants all of it to the cell.
    fn limit(&mut self, cpu: u64) {
        let limit = Resources { cpu, ..Resources::default() };
        self.cell.set_limits(std::iter::once(("o", limit)));
        self.cell.set_grant("o", limit);
    }

    /// Number of executors that are kept for suspects.
    fn kept(&self) -> usize {
        self.executors.keys().filter(|id| self.cell.is_quarantined(id)).count()
    }

    fn poll(&mut self, id: &str) {
        let now = self.now;
        self.cell.grant_lease(id, now);
        let executor = &mut self.executors[id];
        let acked = self.cell.workers()[id].last_durable_end;
        executor.ended.retain(|end| end.sequence > acked);
        let present = |(task, run, ends): &(TaskId, u64, Option<u64>)| PresentRun {
            task: task.clone(),
            run: *run,
            checkpoint: String::new(),
            percent: if ends.is_none() { 100 } else { now / 100 % 100 },
            gauge: 0,
        };
        let report = ExecutorReport {
            clock: now,
            present: executor.runs.iter().map(present).collect(),
            ended: executor.ended.clone(),
        };
        self.cell.handle_poll(id, &report, now, now);
    }

    /// Writes all changes at once.
    fn write(&mut self) {
        let (changes, flush) = self.cell.take_changes();
        for change in changes.iter().filter(|change| change.state.is_final()) {
            self.finals.insert(change.id.clone(), (self.now, change.state));
        }
        self.cell.flush_done(&flush);
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        let now = self.now;
        self.cell.confirm_ownership(now);
        for executor in self.executors.values_mut() {
            let runs = std::mem::take(&mut executor.runs);
            let over = |r: &(TaskId, u64, Option<u64>)| r.2.is_some_and(|at| at <= now);
            let (ended, runs): (Vec<_>, Vec<_>) = runs.into_iter().partition(over);
            executor.runs = runs;
            for (task, run, _) in ended {
                executor.ended_count += 1;
                executor.ended.push(EndedRun {
                    sequence: executor.ended_count,
                    task,
                    run,
                    outcome: RunOutcome::Done,
                    checkpoint: String::new(),
                });
            }
        }
        let ids: Vec<String> = self.executors.keys().cloned().collect();
        for (n, id) in ids.iter().enumerate() {
            if (now + n as u64 * 30).is_multiple_of(100) {
                self.poll(id);
            }
        }
        self.write();
        let begun = Instant::now();
        let orders = self.cell.tick(now, 0);
        self.slowest_tick = self.slowest_tick.max(begun.elapsed());
        for order in orders {
            if let Order::Stop { worker, task, run, .. } = &order {
                self.stop(worker, task, *run);
            }
            let Order::Start { worker, task, run, .. } = order else { continue };
            let Some(executor) = self.executors.get_mut(&worker) else { continue };
            self.starts.entry(task.job.clone()).or_default().push((now, worker.clone()));
            let ends = self.durations[&task.job].map(|duration| now + duration);
            executor.runs.push((task.clone(), run, ends));
            self.cell.handle_start_outcome(&worker, &task, run, StartOutcome::Running(now), now);
        }
    }

    fn run(&mut self, duration: u64) {
        let until = self.now + duration;
        while self.now < until {
            self.tick();
        }
    }

    fn stop(&mut self, worker: &str, task: &TaskId, run: u64) {
        let Some(executor) = self.executors.get_mut(worker) else { return };
        self.cell.handle_stop_answer(worker, task, run, true, self.now);
        executor.runs.retain(|r| r.0 != *task || r.1 != run);
        executor.ended_count += 1;
        executor.ended.push(EndedRun {
            sequence: executor.ended_count,
            task: task.clone(),
            run,
            outcome: RunOutcome::Stopped,
            checkpoint: String::new(),
        });
    }

    /// Crashes an executor; the holder notices at once.
    fn crash(&mut self, id: &str) {
        self.executors.swap_remove(id);
        self.cell.mark_dead(id, self.now);
        self.cell.unlist(id);
    }

    /// Executor of the latest start of a job.
    fn executor_of(&self, job: &str) -> String {
        self.starts[job].last().expect("the job has started").1.clone()
    }

    /// Time from `since` to the first later start of a job.
    fn wait(&self, job: &str, since: u64) -> Option<u64> {
        self.starts.get(job)?.iter().find(|(at, _)| *at > since).map(|(at, _)| at - since)
    }
}

/// A pool in which `m0` is full of a long-running task, a suspect has lost its executor, and the
/// others are always full of short tasks.
fn pool_at_peak(executors: usize, suspect: Step) -> (Pool, u64) {
    let mut pool = Pool::new(1);
    pool.submit("long", Step { long_running: true, ..step(1, MACHINE_CPU) }, None);
    pool.run(400);
    pool.join("victim", &[]);
    let duration = (!suspect.long_running).then_some(300);
    pool.submit("suspect", suspect, duration);
    pool.run(20);
    assert_eq!(pool.executor_of("suspect"), "victim");
    for n in 1..executors {
        pool.join(&format!("m{n}"), &[]);
    }
    // Each executor ends a task each 20 ms or so, so that it frees little at once.
    for n in 0..(executors as u64 - 1) * 1_600 {
        pool.submit(&format!("short{n:05}"), step(1, 500), Some(300 + n * 61 % 590));
    }
    pool.tick();
    pool.crash("victim");
    let crashed_at = pool.now;
    (pool, crashed_at)
}

/// Guards against a suspect for which the one executor is kept that can never have room for it.
#[test]
fn a_suspect_does_not_wait_for_an_executor_that_long_running_tasks_fill() {
    let (mut pool, crashed_at) = pool_at_peak(4, step(1, 10_000));
    pool.run(12_000);
    let wait = pool.wait("suspect", crashed_at);
    let busy = pool.wait("short03200", crashed_at);
    assert!(wait.is_some_and(|w| w < 5_000), "waited {wait:?}; a late job waited {busy:?}");
}

/// Guards against a long-running suspect that waits longer at a peak than another such task would.
#[test]
fn a_long_running_suspect_does_not_wait_until_the_peak_ends() {
    let suspect = Step { long_running: true, ..step(1, 10_000) };
    let (mut pool, crashed_at) = pool_at_peak(4, suspect.clone());
    pool.run(1_000);
    pool.submit("innocent", suspect, None);
    let submitted_at = pool.now;
    pool.run(12_000);
    let wait = pool.wait("suspect", crashed_at);
    let other = pool.wait("innocent", submitted_at);
    assert!(wait.is_some_and(|w| w < 6_000), "waited {wait:?}; one without a crash {other:?}");
}

/// Guards against a long-running suspect that does not get an executor on which tasks have failed.
#[test]
fn a_long_running_suspect_starts_where_tasks_have_failed_if_nowhere_else() {
    let long = Step { long_running: true, ..step(1, 1_000) };
    let mut pool = Pool::new(0);
    pool.join("victim", &[]);
    pool.submit("suspect", long.clone(), None);
    pool.run(20);
    for id in ["m0", "m1"] {
        pool.join(id, &[]);
        for _ in 0..6 {
            let task = TaskId { job: "unknown".to_owned(), occurrence: 0, step: 0, index: 0 };
            let busy = StartOutcome::Refused(Refusal::Busy);
            pool.cell.handle_start_outcome(id, &task, 1, busy, pool.now);
        }
    }
    pool.crash("victim");
    pool.submit("innocent", long, None);
    let crashed_at = pool.now;
    pool.run(20_000);
    let (wait, other) = (pool.wait("suspect", crashed_at), pool.wait("innocent", crashed_at));
    assert!(wait.is_some_and(|w| w < 3_000), "waited {wait:?}; one without a crash {other:?}");
}

/// Guards against a task that is blamed for a crash before its order was sent.
#[test]
fn a_start_that_was_not_sent_yet_is_no_cause_of_a_crash() {
    let mut pool = Pool::new(2);
    pool.submit("waiting", step(12, 1_000), Some(2_000));
    pool.now += TICK_MS;
    let orders = pool.cell.tick(pool.now, 0);
    let Some(Order::Start { worker, .. }) = orders.first() else { panic!("the tasks start") };
    // The owner sends four starts to an executor at a time; a poll finds a new incarnation meanwhile.
    for order in &orders[..4] {
        let Order::Start { worker, task, run, .. } = order else { continue };
        let running = StartOutcome::Running(pool.now);
        pool.cell.handle_start_outcome(worker, task, *run, running, pool.now);
    }
    pool.cell.mark_dead(worker, pool.now + 20);
    let crashes = pool.cell.take_crashes();
    assert!(crashes[0].suspects.len() <= 4, "{} suspects, 4 were sent", crashes[0].suspects.len());
}

/// Guards against a suspect that fits at once but waits behind one that can't start.
#[test]
fn a_suspect_does_not_wait_behind_one_that_has_no_room() {
    let long = |cpu| Step { long_running: true, ..step(1, cpu) };
    let mut pool = Pool::new(2);
    pool.submit("long0", long(15_500), None);
    pool.submit("long1", long(15_500), None);
    pool.run(400);
    pool.join("victim", &[]);
    pool.submit("large", step(1, 8_000), Some(300));
    pool.submit("small", step(1, 1_000), Some(300));
    pool.run(20);
    pool.join("m9", &[]);
    pool.submit("long9", long(12_000), None);
    pool.tick();
    assert_eq!(pool.executor_of("large"), "victim");
    assert_eq!(pool.executor_of("small"), "victim");
    assert_eq!(pool.executor_of("long9"), "m9");
    pool.crash("victim");
    let crashed_at = pool.now;
    pool.run(12_000);
    let wait = pool.wait("small", crashed_at);
    assert!(wait.is_some_and(|w| w < 5_000), "waited {wait:?} with room for it on m9");
}

/// Guards against a pool whose executors are kept for a gang that finds too few of them.
#[test]
fn a_suspect_gang_does_not_keep_a_pool_that_is_too_small_for_it() {
    let mut pool = Pool::new(3);
    pool.join("victim", &[]);
    let gang = Step { gang: true, max_per_executor: 1, ..step(4, 10_000) };
    pool.submit("gang", gang, Some(300));
    pool.run(20);
    assert_eq!(pool.starts["gang"].len(), 4);
    pool.crash("victim");
    for executor in pool.executors.values_mut() {
        // The other members end with the gang.
        for (task, run, _) in std::mem::take(&mut executor.runs) {
            executor.ended_count += 1;
            executor.ended.push(EndedRun {
                sequence: executor.ended_count,
                task,
                run,
                outcome: RunOutcome::Broken,
                checkpoint: String::new(),
            });
        }
    }
    let crashed_at = pool.now;
    pool.run(300);
    for n in 0..200 {
        pool.submit(&format!("short{n:04}"), step(1, 4_000), Some(300));
    }
    // 200 tasks of 4 cores and 300 ms are 5 s of work for three executors.
    pool.run(6_500);
    let kept = (0..3).filter(|n| pool.cell.is_quarantined(&format!("m{n}"))).count();
    let done = pool.finals.len();
    assert!(
        done == 200,
        "{done} of 200 jobs done {} ms after the crash; {kept} of 3 executors are kept",
        pool.now - crashed_at
    );
}

/// Guards against a suspect that is never considered because others ahead of it suit no executor.
#[test]
fn suspects_that_suit_no_executor_do_not_hold_up_others() {
    let mut pool = Pool::new(0);
    pool.join("special", &["kind", "rack"]);
    for n in 0..16 {
        let labelled = Step { required_label: Some("kind".to_owned()), ..step(1, 500) };
        pool.submit(&format!("labelled{n:02}"), labelled, Some(300));
    }
    pool.submit("plain", step(1, 500), Some(300));
    pool.run(20);
    for n in 0..6 {
        pool.join(&format!("m{n}"), &[]);
    }
    assert_eq!(pool.executor_of("plain"), "special");
    pool.crash("special");
    let crashed_at = pool.now;
    pool.run(12_000);
    let wait = pool.wait("plain", crashed_at);
    assert!(wait.is_some_and(|w| w < 3_000), "waited {wait:?} in an idle pool of 6");
}

/// Guards against an executor that stays kept after the suspect there has been cleared.
#[test]
fn an_executor_is_released_when_no_tasks_wait() {
    let mut pool = Pool::new(3);
    pool.submit("long", Step { long_running: true, ..step(1, 1_000) }, None);
    pool.run(20);
    let first = pool.executor_of("long");
    pool.crash(&first);
    pool.run(5_000);
    let kept: Vec<&String> =
        pool.executors.keys().filter(|id| pool.cell.is_quarantined(id)).collect();
    assert!(kept.is_empty(), "{kept:?} kept 5 s after the crash");
}

/// Guards against a drain that waits because the place for its task is still kept for a suspect.
#[test]
fn a_drain_does_not_wait_for_an_executor_that_was_kept_once() {
    let mut pool = Pool::new(1);
    pool.submit("other", Step { long_running: true, ..step(1, 1_000) }, None);
    pool.run(400);
    let labelled =
        Step { long_running: true, required_label: Some("kind".to_owned()), ..step(1, 1_000) };
    pool.join("m1", &["kind"]);
    pool.submit("labelled", labelled, None);
    pool.run(20);
    assert_eq!(pool.executor_of("labelled"), "m1");
    pool.join("m2", &["kind"]);
    pool.crash("m1");
    pool.run(3_000);
    assert_eq!(pool.executor_of("labelled"), "m2");
    pool.cell.set_leaving(IndexSet::from(["m0".to_owned()]));
    let leaving_since = pool.now;
    pool.run(15_000);
    let wait = pool.wait("other", leaving_since);
    assert!(wait.is_some_and(|w| w < 2_000), "moved to the idle m2 after {wait:?}");
}

/// Guards against a job that is given up since the executors of its rack were dead already.
#[test]
fn an_unanswered_start_on_a_dead_executor_is_no_crash_under_the_task() {
    let mut pool = Pool::new(6);
    pool.submit("innocent", step(1, 1_000), Some(2_000));
    pool.run(20);
    let first = pool.executor_of("innocent");
    // Half of the pool crashes at once; the first loss is noticed first.
    pool.crash(&first);
    pool.write();
    pool.now += TICK_MS;
    pool.cell.confirm_ownership(pool.now);
    let orders = pool.cell.tick(pool.now, 0);
    let Some(Order::Start { worker, task, run, .. }) = orders.first() else {
        panic!("the suspect starts again")
    };
    pool.now += 100;
    pool.cell.handle_start_outcome(worker, task, *run, StartOutcome::Unknown, pool.now);
    let live: IndexSet<String> =
        pool.executors.keys().filter(|id| *id != worker).cloned().collect();
    pool.cell.mark_missing_dead(&live, pool.now, pool.now);
    pool.executors.swap_remove(worker.as_str());
    pool.write();
    assert_eq!(pool.finals.get("innocent"), None, "given up; it ran on one executor only");
}

/// What a crash of a third of a pool at a peak costs.
struct RackCrash {
    /// Times until the lost tasks have started again, the shortest first.
    waits: Vec<u64>,
    /// Mean time from the crash to the end of a job.
    mean_end: u64,
    slowest_pass: Duration,
}

/// Crashes a third of a full pool; `suspected` is whether its tasks are suspected of it.
fn rack_crash(executors: usize, suspected: bool) -> RackCrash {
    let mut pool = Pool::new(executors);
    let count = executors as u64 * 16;
    for n in 0..count {
        pool.submit(&format!("first{n:05}"), step(1, 1_000), Some(500 + n * 37 % 700));
    }
    for n in 0..count * 4 {
        pool.submit(&format!("short{n:05}"), step(1, 1_000), Some(500 + n * 61 % 700));
    }
    pool.run(30);
    let crashed: Vec<String> = pool.executors.keys().step_by(3).cloned().collect();
    let crashed_at = pool.now;
    for id in &crashed {
        if !suspected {
            pool.cell.mark_ended(id, crashed_at);
        }
        pool.crash(id);
    }
    let lost = pool.starts.iter().filter(|(_, starts)| crashed.contains(&starts[0].1));
    let lost: Vec<String> = lost.map(|(job, _)| job.clone()).collect();
    pool.slowest_tick = Duration::ZERO;
    pool.run(25_000);
    let mut waits: Vec<u64> =
        lost.iter().map(|job| pool.wait(job, crashed_at).unwrap_or(u64::MAX)).collect();
    waits.sort_unstable();
    let ends = pool.finals.values().map(|(at, _)| at.saturating_sub(crashed_at));
    let mean_end = ends.sum::<u64>() / pool.finals.len() as u64;
    RackCrash { waits, mean_end, slowest_pass: pool.slowest_tick }
}

/// Time for which a long-running task waits in a full pool while small executors crash beside it.
fn wait_beside_crashes(suspected: bool) -> Option<u64> {
    let mut pool = Pool::new(3);
    for n in 0..6_000 {
        pool.submit(&format!("short{n:05}"), step(1, 500), Some(300 + n * 61 % 590));
    }
    pool.run(1_000);
    pool.submit("long", Step { long_running: true, ..step(1, 12_000) }, None);
    let submitted_at = pool.now;
    for n in 0..20 {
        let id = format!("small{n}");
        pool.join(&id, &[]);
        let capacity = Resources { cpu: 8_000, memory: 1 << 20, gpus: 0 };
        pool.cell.register(Registration { capacity, ..registration(&id, &[]) });
        pool.run(50);
        if !suspected {
            pool.cell.mark_ended(&id, pool.now);
        }
        pool.crash(&id);
        pool.run(450);
    }
    pool.wait("long", submitted_at)
}

/// Guards against suspects that take the room that is kept for a long-running task.
#[test]
fn a_long_running_task_does_not_wait_while_executors_crash() {
    let (plain, suspected) = (wait_beside_crashes(false), wait_beside_crashes(true));
    println!("waited {plain:?} without suspects and {suspected:?} with them");
    assert!(suspected.is_some_and(|wait| wait < 3_000), "{plain:?} without, {suspected:?} with");
}

/// Guards against a crash of a rack after which innocent tasks wait for seconds while others, which
/// came later, start.
#[test]
fn suspects_of_a_rack_crash_do_not_wait_for_seconds_at_a_peak() {
    let mut latest = Vec::new();
    for executors in [12, 100] {
        for suspected in [false, true] {
            let crash = rack_crash(executors, suspected);
            let at = |percent: usize| crash.waits[(crash.waits.len() - 1) * percent / 100];
            println!(
                "{executors} executors, suspected {suspected}: {} lost, waits {} / {} / {} ms, \
                 mean end {} ms, slowest pass {:?}",
                crash.waits.len(),
                at(50),
                at(90),
                at(100),
                crash.mean_end,
                crash.slowest_pass
            );
            latest.push((executors, suspected, at(100)));
        }
    }
    assert!(latest.iter().all(|(.., wait)| *wait < 5_000), "{latest:?}");
}

/// A pool in which organisation `o` has a long-running task that fills `m0`, `suspects` jobs of one
/// task of 2,000 each that have just begun on `victim`, and as much of its limit in use; `executors`
/// more with the label `kind` are idle.
fn limited_pool(suspects: u64, executors: usize) -> Pool {
    let mut pool = Pool::new(1);
    pool.limit(MACHINE_CPU + suspects * 2_000);
    pool.submit_of(Some("o"), "long", Step { long_running: true, ..step(1, MACHINE_CPU) }, None);
    pool.run(400);
    pool.join("victim", &[]);
    for n in 0..suspects {
        pool.submit_of(Some("o"), &format!("suspect{n}"), step(1, 2_000), Some(300));
    }
    pool.run(20);
    assert!((0..suspects).all(|n| pool.executor_of(&format!("suspect{n}")) == "victim"));
    for n in 1..=executors {
        pool.join(&format!("m{n}"), &["kind"]);
    }
    pool
}

/// Guards against executors that are kept for suspects that their organisation's limit keeps from
/// starting, so that others can't use them.
#[test]
fn no_executor_is_kept_for_a_suspect_beyond_the_limit() {
    let mut pool = limited_pool(1, 6);
    pool.crash("victim");
    pool.limit(MACHINE_CPU);
    for _ in 0..300 {
        pool.tick();
        assert_eq!(pool.kept(), 0, "kept at {}", pool.now);
    }
    pool.limit(MACHINE_CPU + 2_000);
    let raised_at = pool.now;
    pool.run(1_000);
    let wait = pool.wait("suspect0", raised_at);
    assert!(wait.is_some_and(|wait| wait < 200), "waited {wait:?} once the limit allowed it");
}

/// Guards against an executor that stays kept after the allowance for the suspect has gone.
#[test]
fn an_executor_is_released_when_the_allowance_for_its_suspect_goes() {
    let mut pool = limited_pool(1, 2);
    pool.limit(MACHINE_CPU);
    pool.crash("victim");
    for n in 0..400 {
        pool.submit(&format!("short{n:03}"), step(1, 4_000), Some(500));
    }
    pool.run(20);
    // The suspect waits for room, as both executors are full.
    pool.limit(MACHINE_CPU + 2_000);
    pool.tick();
    assert_eq!((pool.kept(), pool.starts["suspect0"].len()), (1, 1));
    pool.limit(MACHINE_CPU);
    pool.tick();
    assert_eq!((pool.kept(), pool.starts["suspect0"].len()), (0, 1));
}

/// Guards against more kept executors than the limit lets suspects start at a time.
#[test]
fn executors_are_kept_for_as_many_suspects_as_the_limit_admits() {
    let mut pool = limited_pool(4, 12);
    pool.crash("victim");
    pool.limit(MACHINE_CPU + 2_000);
    let mut most = 0;
    for _ in 0..300 {
        pool.tick();
        most = most.max(pool.kept());
    }
    assert_eq!(most, 1);
    let waiting = (0..4).filter(|n| pool.starts[&format!("suspect{n}")].len() < 2).count();
    assert_eq!(waiting, 0, "suspects wait 3 s after the crash");
}

/// Guards against a suspect that waits for ever as other tasks of its organisation take each part of
/// the limit that becomes free, so that no executor is kept for it.
#[test]
fn a_suspect_is_not_kept_waiting_by_tasks_of_its_organisation() {
    let mut pool = limited_pool(1, 3);
    pool.limit(MACHINE_CPU + 6_000);
    // They come after the suspect in the order, as they are more work.
    let labelled =
        |size| Step { required_label: Some("kind".to_owned()), estimate: 5_000, ..step(1, size) };
    for n in 0..400 {
        let duration = 200 + n * 61 % 190;
        pool.submit_of(Some("o"), &format!("short{n:03}"), labelled(500), Some(duration));
        pool.submit(&format!("other{n:03}"), labelled(4_000), Some(duration));
    }
    pool.run(50);
    pool.limit(MACHINE_CPU + 4_000);
    pool.crash("victim");
    let crashed_at = pool.now;
    pool.run(8_000);
    let wait = pool.wait("suspect0", crashed_at);
    println!("waited {wait:?}");
    assert!(wait.is_some_and(|wait| wait < 1_500), "waited {wait:?}");
}
