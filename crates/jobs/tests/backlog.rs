//! Repeated jobs whose occurrences are due all at once, and jobs of very many tasks.
//!
//! Load pattern: a client submits a job of a hundred thousand occurrences, all of them overdue, or
//! many jobs of the largest size (review/14). Each holder of the cell has to serve them, and all other
//! jobs beside them, in the memory of a small process.

use std::collections::BTreeMap;

use indexmap::{IndexMap, IndexSet};
use jobs::cell::{Arrival, Order, Records, StartOutcome};
use jobs::order::Policy;
use jobs::progress::StepProgress;
use jobs::row::ProgressRow;
use jobs::worker::{EndedRun, PresentRun};
use jobs::{
    Cell, CellConfig, ExecutorReport, Job, Progress, Queue, Registration, Resources, RunOutcome,
    Schedule, State, Step, TaskId,
};

const START_MS: u64 = 1_000_000;
/// Wall-clock time of the cell's time 0.
const WALL_MS: u64 = 1_800_000_000_000;
const TICK_MS: u64 = 25;
const JOB: &str = "00000000000000aa";
const EXECUTORS: usize = 4;
const EXECUTOR_CPU: u64 = 8_000;
const TASK_CPU: u64 = 500;
/// Tasks that all executors run at a time.
const SLOTS: usize = EXECUTORS * (EXECUTOR_CPU / TASK_CPU) as usize;
const TASK_MS: u64 = 100;

fn step(count: u32, depends_on: Vec<usize>) -> Step {
    let resources = Resources { cpu: TASK_CPU, memory: 1, gpus: 0 };
    Step { count, resources, estimate: TASK_MS, depends_on, ..Step::default() }
}

fn repeated(steps: Vec<Step>, first_due: u64, interval: u64, occurrences: u32) -> Job {
    let schedule = Some(Schedule { first_due, interval, occurrences });
    Job { payload: String::new(), steps, schedule }
}

/// A run on a simulated executor.
struct Run {
    worker: usize,
    run: u64,
    ends_at: u64,
}

/// A cell with simulated executors and a table.
struct Pool {
    cell: Cell,
    now: u64,
    term: u64,
    runs: BTreeMap<TaskId, Run>,
    /// Ends that are not acknowledged, by executor.
    ends: Vec<Vec<EndedRun>>,
    sequences: Vec<u64>,
    /// Number of starts of each task.
    starts: IndexMap<TaskId, u32>,
    /// Jobs in the table, and their progress as rows.
    table: IndexMap<String, (Job, ProgressRow)>,
    completed: IndexSet<String>,
    /// Tasks whose runs never end.
    endless: fn(&TaskId) -> bool,
    /// Most records seen.
    most: Records,
}

impl Pool {
    fn new() -> Self {
        let mut pool = Self {
            cell: new_cell(1, START_MS),
            now: START_MS,
            term: 1,
            runs: BTreeMap::new(),
            ends: vec![Vec::new(); EXECUTORS],
            sequences: vec![0; EXECUTORS],
            starts: IndexMap::new(),
            table: IndexMap::new(),
            completed: IndexSet::new(),
            endless: |_| false,
            most: Records::default(),
        };
        pool.join();
        pool
    }

    /// Registers the executors, which report their runs and ends.
    fn join(&mut self) {
        for n in 0..EXECUTORS {
            self.cell.register(Registration {
                id: format!("m{n}"),
                pool: "p".to_owned(),
                address: format!("m{n}:1"),
                ready: true,
                capacity: Resources { cpu: EXECUTOR_CPU, memory: 1 << 20, gpus: 0 },
                ..Registration::default()
            });
            self.poll(n);
        }
    }

    /// Sets the terms of the queue: jobs should be completed within two seconds and thrice their duration.
    fn configure(&mut self, policy: Policy) {
        let queue = Queue {
            name: "q".to_owned(),
            max_attempts: 3,
            stretch: 3_000,
            objective_base: 2_000,
            ..Queue::default()
        };
        self.cell.configure(std::iter::once(&queue));
        self.cell.set_policy(policy);
    }

    fn admit(&mut self, id: &str, job: Job) {
        self.table.insert(id.to_owned(), (job.clone(), ProgressRow::default()));
        self.cell.admit(arrival(id, job, Progress::default(), self.now, false));
    }

    /// Replaces the holder by one that reads the table.
    fn take_over(&mut self) {
        self.term += 1;
        self.cell = new_cell(self.term, self.now);
        for (id, (job, row)) in &self.table {
            let progress = Progress::try_from(row.clone()).expect("the row can be read");
            self.cell.admit(arrival(id, job.clone(), progress, START_MS, true));
        }
        self.join();
    }

    fn poll(&mut self, n: usize) {
        let now = self.now;
        let ended: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| run.worker == n && run.ends_at <= now)
            .map(|(task, _)| task.clone())
            .collect();
        for task in ended {
            let run = self.runs.remove(&task).expect("it runs").run;
            self.sequences[n] += 1;
            let (sequence, checkpoint) = (self.sequences[n], String::new());
            self.ends[n].push(EndedRun {
                sequence,
                task,
                run,
                outcome: RunOutcome::Done,
                checkpoint,
            });
        }
        let id = format!("m{n}");
        let acknowledged = self.cell.workers()[&id].last_durable_end;
        self.ends[n].retain(|end| end.sequence > acknowledged);
        let present = self.runs.iter().filter(|(_, run)| run.worker == n);
        let present = present.map(|(task, run)| PresentRun {
            task: task.clone(),
            run: run.run,
            checkpoint: String::new(),
            percent: 50,
            gauge: 0,
        });
        let report = ExecutorReport {
            clock: now,
            present: present.collect(),
            ended: self.ends[n].iter().take(500).cloned().collect(),
        };
        self.cell.handle_poll(&id, &report, now, now);
    }

    /// Writes the changes of the cell to the table.
    fn write(&mut self) {
        let (changes, flush) = self.cell.take_changes();
        for change in &changes {
            if change.state.is_final() {
                self.table.swap_remove(&change.id);
                assert_eq!(change.state, State::Completed);
                self.completed.insert(change.id.clone());
            } else if let Some((_, row)) = self.table.get_mut(&change.id) {
                *row = ProgressRow::from(&change.progress);
            }
        }
        self.cell.flush_done(&flush);
    }

    fn advance(&mut self) {
        self.now += TICK_MS;
        self.cell.confirm_ownership(self.now);
        if self.now.is_multiple_of(50) {
            (0..EXECUTORS).for_each(|n| self.poll(n));
        }
        if self.now.is_multiple_of(200) {
            self.write();
        }
        for order in self.cell.tick(self.now, WALL_MS + self.now) {
            let Order::Start { worker, task, run, .. } = order else { continue };
            let now = self.now;
            self.cell.approve_start(&worker, &task, run, now).expect("nothing has changed");
            *self.starts.entry(task.clone()).or_default() += 1;
            assert!(!self.runs.contains_key(&task), "{task} runs twice at once");
            let ends_at = if (self.endless)(&task) { u64::MAX } else { now + TASK_MS };
            let worker_number = worker[1..].parse().expect("a number");
            self.runs.insert(task.clone(), Run { worker: worker_number, run, ends_at });
            let running = StartOutcome::Running(now);
            self.cell.handle_start_outcome(&worker, &task, run, running, now);
        }
        let records = self.cell.records();
        self.most.begun = self.most.begun.max(records.begun);
        self.most.tasks = self.most.tasks.max(records.tasks);
    }

    fn run_until(&mut self, end: impl Fn(&Self) -> bool, limit_ms: u64) {
        let limit = self.now + limit_ms;
        while !end(self) {
            assert!(self.now < limit, "not reached: {:?}", self.cell.records());
            self.advance();
        }
    }

    /// Checks that each task of each occurrence of a job has started once.
    fn assert_complete(&self, id: &str, job: &Job) {
        let occurrences = job.schedule.map_or(1, |schedule| schedule.occurrences);
        let tasks: u32 = job.steps.iter().map(|step| step.count).sum();
        let starts = self.starts.iter().filter(|(task, _)| task.job == id);
        let counts: Vec<u32> = starts.map(|(_, count)| *count).collect();
        assert_eq!(counts.len() as u32, occurrences * tasks);
        assert!(counts.iter().all(|count| *count == 1), "a task has started again");
    }
}

fn new_cell(term: u64, now: u64) -> Cell {
    let config = CellConfig {
        lease: 6_000,
        inherited_lease: 16_000,
        stop_timeout: 200,
        early_start: 0,
        term,
    };
    Cell::new(config, now)
}

fn arrival(id: &str, job: Job, progress: Progress, at: u64, inherited: bool) -> Arrival {
    Arrival {
        id: id.to_owned(),
        part: "q".to_owned(),
        queue: "q".to_owned(),
        organisation: None,
        job,
        progress,
        requested_at: at,
        inherited,
        start_blocked: false,
    }
}

/// Guards against a holder that makes the records of all overdue occurrences at once and ends over its
/// memory (review/14).
#[test]
fn a_hundred_thousand_overdue_occurrences_have_no_records_before_their_turn() {
    let mut pool = Pool::new();
    pool.admit(JOB, repeated(vec![step(24, Vec::new())], 0, 1, 100_000));
    (0..40).for_each(|_| pool.advance());
    assert!(pool.most.tasks <= 2 * SLOTS, "{:?}", pool.most);
    assert!(pool.most.begun <= SLOTS, "{:?}", pool.most);
    assert!(pool.cell.records().unbegun > 99_000);
    let row = serde_json::to_string(&pool.table[JOB].1).expect("a row");
    assert!(row.len() < 2_000, "{row}");
}

/// Guards against a bound that loses occurrences, runs one twice, or holds the job up, however its
/// occurrences become due.
#[test]
fn each_task_of_each_occurrence_runs_once_in_whatever_way_all_are_due() {
    let steps = || vec![step(3, Vec::new()), step(1, vec![0])];
    let start = WALL_MS + START_MS;
    for (first_due, interval) in
        [(0, 60_000), (0, 0), (start, 1), (start - 50, 40), (start + 500, 7)]
    {
        let mut pool = Pool::new();
        let job = repeated(steps(), first_due, interval, 300);
        pool.admit(JOB, job.clone());
        pool.run_until(|pool| pool.completed.contains(JOB), 60_000);
        pool.assert_complete(JOB, &job);
        // 1,200 tasks in 64 slots take 19 turns; each may wait for polls, and the steps for each other.
        assert!(pool.now < START_MS + 20_000, "interval {interval}: {} ms", pool.now - START_MS);
        assert!(pool.most.begun <= 2 * SLOTS, "{:?}", pool.most);
    }
}

/// Guards against occurrences that wait for an earlier one that never ends, and against records of all
/// that are done behind it.
#[test]
fn an_occurrence_that_never_ends_holds_up_no_others_and_keeps_no_records_of_them() {
    let mut pool = Pool::new();
    pool.endless = |task| task.occurrence == 0 || task.occurrence == 7;
    let job = repeated(vec![step(2, Vec::new())], 0, 0, 2_000);
    pool.admit(JOB, job.clone());
    pool.run_until(|pool| pool.starts.len() == 4_000 && pool.runs.len() == 4, 60_000);
    (0..20).for_each(|_| pool.advance());
    assert_eq!(pool.cell.records(), Records { begun: 2, unbegun: 0, tasks: 4 });
    let row = serde_json::to_string(&pool.table[JOB].1).expect("a row");
    assert_eq!(row, r#"{"b":true,"p":0,"x":"1-6,8-1999","t":[]}"#);
    pool.take_over();
    (0..20).for_each(|_| pool.advance());
    assert_eq!(pool.cell.records(), Records { begun: 2, unbegun: 0, tasks: 4 });
    pool.runs.values_mut().for_each(|run| run.ends_at = 0);
    pool.run_until(|pool| pool.completed.contains(JOB), 5_000);
    pool.assert_complete(JOB, &job);
}

/// Guards against a new holder that starts tasks again whose occurrences it has no records of, or that
/// loses their runs and ends.
#[test]
fn holders_that_change_in_a_backlog_start_no_task_again() {
    let mut pool = Pool::new();
    let job = repeated(vec![step(5, Vec::new()), step(2, vec![0])], 0, 0, 200);
    pool.admit(JOB, job.clone());
    for _ in 0..12 {
        // The last ends and starts are not in the table.
        (0..13).for_each(|_| pool.advance());
        pool.take_over();
    }
    pool.run_until(|pool| pool.completed.contains(JOB), 60_000);
    pool.assert_complete(JOB, &job);
}

/// Guards against rows in the store that a process of an earlier version has written: all occurrences
/// that were due, also those that are done and those of which no task has started.
#[test]
fn progress_that_lists_all_occurrences_is_read() {
    let job = repeated(vec![step(2, Vec::new())], 0, 0, 50_000);
    let done = StepProgress { done: vec![0, 1], ..StepProgress::default() };
    let half = StepProgress { done: vec![1], ..StepProgress::default() };
    let mut progress = Progress { started: true, completed_below: 3, ..Progress::default() };
    for n in 3..50_000 {
        let step = match n {
            5..=49_000 => done.clone(),
            49_001 => half.clone(),
            _ => StepProgress::default(),
        };
        progress.occurrences.insert(n, vec![step]);
    }
    let mut pool = Pool::new();
    pool.cell.admit(arrival(JOB, job, progress, START_MS, false));
    pool.cell.take_changes();
    assert_eq!(pool.cell.records().begun, 1);
    pool.run_until(|pool| pool.starts.len() == 2 * (2 + 999) - 1, 60_000);
    let again = |task: &TaskId| (5..=49_000).contains(&task.occurrence) || task.occurrence < 3;
    assert!(!pool.starts.keys().any(again));
    let one = TaskId { job: JOB.to_owned(), occurrence: 49_001, step: 0, index: 1 };
    assert!(!pool.starts.contains_key(&one));
}

/// Guards against a step that can't start in any occurrence and keeps the steps before it from running,
/// and against records without a limit behind it.
#[test]
fn occurrences_whose_later_step_fits_nowhere_begin_up_to_a_limit() {
    let mut pool = Pool::new();
    let label = Some("nowhere".to_owned());
    let steps = vec![step(1, Vec::new()), Step { required_label: label, ..step(1, vec![0]) }];
    pool.admit(JOB, repeated(steps, 0, 0, 100_000));
    pool.run_until(|pool| pool.starts.len() >= 2_500, 60_000);
    (0..100).for_each(|_| pool.advance());
    // Only the first step of each has started.
    assert!(pool.starts.keys().all(|task| task.step == 0));
    assert_eq!(pool.cell.records(), Records { begun: 2_500, unbegun: 97_500, tasks: 0 });
}

/// Guards against a holder whose memory grows with the tasks of its jobs instead of its runs.
#[test]
fn jobs_of_the_largest_size_have_records_only_of_their_runs() {
    let mut pool = Pool::new();
    let steps = || vec![step(10_000, Vec::new()), step(10_000, vec![0])];
    for n in 0..400 {
        pool.admit(&format!("{n:016x}"), Job { steps: steps(), ..Job::default() });
    }
    (0..40).for_each(|_| pool.advance());
    assert!(pool.most.tasks <= 2 * SLOTS, "{:?}", pool.most);
    assert!(pool.starts.len() >= SLOTS);
}

/// Admits a small job and returns the time until it is completed, in milliseconds.
fn time_of_usual_job(pool: &mut Pool, id: &str) -> u64 {
    let start = pool.now;
    pool.admit(id, Job { steps: vec![step(2, Vec::new())], ..Job::default() });
    pool.run_until(|pool| pool.completed.contains(id), 10_000);
    pool.now - start
}

/// Guards against a backlog of one client that keeps the jobs of all others from starting: each
/// occurrence used to go ahead of all new jobs, as its job had started.
#[test]
fn other_jobs_get_their_turn_beside_a_backlog() {
    let start = WALL_MS + START_MS;
    // Overdue, one a millisecond, and with an estimate by which all could be in time for hours.
    for (first_due, interval, estimate) in
        [(0, 60_000, TASK_MS), (start, 1, TASK_MS), (start, 1, 600_000)]
    {
        for policy in [Policy::LeastWork, Policy::LatestStart] {
            let mut pool = Pool::new();
            pool.configure(policy);
            let steps = vec![Step { estimate, ..step(24, Vec::new()) }];
            pool.admit(JOB, repeated(steps, first_due, interval, 100_000));
            (0..200).for_each(|_| pool.advance());
            for n in 0..5 {
                let took = time_of_usual_job(&mut pool, &format!("{n:016x}"));
                assert!(
                    took < 1_000,
                    "{policy:?}, interval {interval}, estimate {estimate}: {took} ms"
                );
            }
            assert_eq!(pool.runs.len(), SLOTS, "the backlog goes on");
        }
    }
}

/// Guards against jobs that are late themselves and wait for a whole backlog which was submitted before
/// them, or for one that a new holder has read.
#[test]
fn late_jobs_get_their_turn_beside_a_backlog() {
    let mut pool = Pool::new();
    pool.admit(JOB, repeated(vec![step(24, Vec::new())], 0, 0, 100_000));
    (0..100).for_each(|_| pool.advance());
    assert!(time_of_usual_job(&mut pool, "00000000000000b0") < 1_000);
    pool.take_over();
    assert!(time_of_usual_job(&mut pool, "00000000000000b1") < 1_000);
    // Two backlogs share the executors.
    let second = "00000000000000bb";
    pool.admit(second, repeated(vec![step(24, Vec::new())], 0, 0, 100_000));
    let before = pool.starts.len();
    (0..200).for_each(|_| pool.advance());
    let all = pool.starts.len() - before;
    let own = pool.starts.keys().filter(|task| task.job == second).count();
    assert!((all * 2 / 5..all * 3 / 5).contains(&own), "{own} of {all}");
}

/// Guards against a small job that is late and waits for all jobs of the largest size that were
/// submitted before it, and against large ones that do not go on beside each other.
#[test]
fn a_small_late_job_gets_its_turn_beside_very_large_ones() {
    let mut pool = Pool::new();
    for n in 0..50 {
        let steps = vec![step(10_000, Vec::new()), step(10_000, vec![0])];
        pool.admit(&format!("{n:016x}"), Job { steps, ..Job::default() });
    }
    (0..400).for_each(|_| pool.advance());
    for n in 0..5 {
        assert!(time_of_usual_job(&mut pool, &format!("b{n:015x}")) < 1_000);
    }
    assert_eq!(pool.runs.len(), SLOTS, "the large ones go on");
    let started: IndexSet<&str> = pool.starts.keys().map(|task| task.job.as_str()).collect();
    assert_eq!(started.len(), 55, "each large job gets its turn");
}

/// Guards against occurrences that rank as late since their job was requested long before they were
/// due, so that they wait for a backlog of late work.
#[test]
fn an_occurrence_counts_as_late_from_its_own_due_time() {
    let mut pool = Pool::new();
    pool.configure(Policy::LeastWork);
    let regular = "00000000000000bb";
    pool.admit(regular, repeated(vec![step(2, Vec::new())], WALL_MS + START_MS, 1_000, 60));
    (0..800).for_each(|_| pool.advance());
    pool.admit(JOB, Job { steps: vec![step(10_000, Vec::new())], ..Job::default() });
    pool.run_until(|pool| pool.starts.len() >= 3_000, 20_000);
    let (mut late, mut due) = (0, 0);
    for _ in 0..400 {
        pool.advance();
        let since = u32::try_from((pool.now - START_MS) / 1_000).expect("a small number");
        let started = pool.starts.keys().filter(|t| t.job == regular).map(|t| t.occurrence).max();
        due += 1;
        late += u32::from(started.is_none_or(|n| n < since) && pool.now % 1_000 > 300);
    }
    assert!(late < due / 20, "late in {late} of {due} rounds");
}

/// Guards against counts for machines and limits that leave out what is due and has no records.
#[test]
fn late_work_counts_occurrences_that_have_not_begun() {
    let mut pool = Pool::new();
    pool.admit(JOB, repeated(vec![step(4, Vec::new()), step(1, vec![0])], 0, 0, 1_000));
    pool.advance();
    pool.now += 120_000;
    let (running, open) = (pool.runs.len() as u64, 4_000 - pool.runs.len() as u64);
    let waiting = open * TASK_CPU * TASK_MS / 4_000;
    assert_eq!(pool.cell.late_cpu(pool.now), running * TASK_CPU + waiting);
}
