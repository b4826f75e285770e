//! Simulation of tasks that crash each executor that starts them, among innocent ones.
//!
//! Executors crash for other reasons as well, starts and answers get lost, and holders of the cell
//! are killed. A successor knows only what was written before.

mod dice;

use std::collections::{BTreeMap, BTreeSet};

use dice::SeededRng;
use indexmap::{IndexMap, IndexSet};
use jobs::cell::{Arrival, Flush, JobChange, Order, StartOutcome};
use jobs::flush::Writes;
use jobs::worker::{EndedRun, PresentRun};
use jobs::{
    Cell, CellConfig, ExecutorReport, Job, Progress, Queue, Registration, Resources, RunOutcome,
    State, Step, TaskId,
};

/// Step of the simulated clock, in milliseconds.
const TICK_MS: u64 = 5;
/// Start of the simulation, in milliseconds.
const START_MS: u64 = 60_000;
/// Time in which jobs arrive, in milliseconds.
const ARRIVALS_MS: u64 = 10_000;
/// Time after the last arrival by which all jobs must have ended, in milliseconds.
const SETTLING_MS: u64 = 40_000;
/// Time from the start of a deadly task to the crash, in milliseconds.
const CRASH_DELAY_MS: u64 = 10;
/// Time between two polls of an executor, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;
/// Time between two checks for changes to write, in milliseconds.
const WRITE_INTERVAL_MS: u64 = 40;
/// Crashes under a task after which only [`MAX_MORE_STARTS`] may follow.
const MAX_CRASHES: u32 = 3;
/// Starts of a task that may follow its last permitted crash.
const MAX_MORE_STARTS: u32 = 2;

/// A run on a simulated executor.
struct Run {
    task: TaskId,
    run: u64,
    need: Resources,
    /// Time of its end, in milliseconds; `None` for a long-running task.
    ends: Option<u64>,
}

/// A simulated machine, with the incarnation of its executor.
struct Machine {
    number: usize,
    life: u32,
    up: bool,
    /// Time at which the executor is back after a crash, in milliseconds.
    back_at: u64,
    /// Time at which a deadly task crashes the executor, in milliseconds.
    crash_at: Option<u64>,
    runs: Vec<Run>,
    ended: Vec<EndedRun>,
    ended_count: u64,
    /// Highest run of each task that was stopped or has ended here.
    barred: BTreeMap<TaskId, u64>,
}

impl Machine {
    fn id(&self) -> String {
        format!("m{}-{}", self.number, self.life)
    }

    fn crash(&mut self, back_at: u64) -> Vec<TaskId> {
        let number = self.number;
        let runs = std::mem::take(&mut self.runs);
        let life = self.life + 1;
        *self = Self { life, back_at, ..Self::new(number) };
        self.up = false;
        runs.into_iter().map(|run| run.task).collect()
    }

    fn new(number: usize) -> Self {
        Self {
            number,
            life: 0,
            up: true,
            back_at: 0,
            crash_at: None,
            runs: Vec::new(),
            ended: Vec::new(),
            ended_count: 0,
            barred: BTreeMap::new(),
        }
    }

    fn end(&mut self, run: Run, outcome: RunOutcome) {
        self.ended_count += 1;
        let bar = self.barred.entry(run.task.clone()).or_default();
        *bar = run.run.max(*bar);
        self.ended.push(EndedRun {
            sequence: self.ended_count,
            task: run.task,
            run: run.run,
            outcome,
            checkpoint: String::new(),
        });
    }
}

/// Pool, jobs and disruptions of a simulation.
#[derive(Clone, Copy)]
struct Scenario {
    machines: usize,
    /// Arrivals of jobs a second.
    rate: f64,
    /// Share of jobs with deadly tasks.
    deadly_share: f64,
    /// Mean duration of a task, in milliseconds.
    duration: f64,
    /// Share of jobs that are long-running.
    long_share: f64,
    /// Share of jobs whose tasks are a gang.
    gang_share: f64,
    /// Mean time between two crashes that no task causes, in milliseconds; 0 for none.
    crash_gap: u64,
    /// Times from the start at which a third of the machines crash at once, in milliseconds.
    rack_crashes: &'static [u64],
    /// Times from the start at which the holder is killed, in milliseconds.
    holder_kills: &'static [u64],
}

const SCENARIO: Scenario = Scenario {
    machines: 12,
    rate: 8.0,
    deadly_share: 0.1,
    duration: 500.0,
    long_share: 0.0,
    gang_share: 0.0,
    crash_gap: 0,
    rack_crashes: &[],
    holder_kills: &[],
};

/// CPU of one machine, in thousandths of a core.
const MACHINE_CPU: u64 = 16_000;

/// A submitted job, with what the table holds of it.
struct Record {
    job: Job,
    requested_at: u64,
    progress: Progress,
    state: Option<State>,
    durations: Vec<u64>,
    /// Step whose tasks are deadly.
    deadly: Option<usize>,
}

fn chance(rng: &mut SeededRng, share: f64) -> bool {
    rng.uniform() < share
}

fn between(rng: &mut SeededRng, from: u64, to: u64) -> u64 {
    from + (rng.uniform() * (to - from) as f64) as u64
}

fn random_job(rng: &mut SeededRng, scenario: &Scenario, requested_at: u64) -> Record {
    let long_running = chance(rng, scenario.long_share);
    let gang = !long_running && chance(rng, scenario.gang_share);
    let count = if long_running || gang { 1 } else { between(rng, 1, 3) };
    let (mut steps, mut durations) = (Vec::new(), Vec::new());
    for n in 0..count {
        let duration =
            between(rng, scenario.duration as u64 / 4, scenario.duration as u64 * 7 / 4 + 1);
        durations.push(duration);
        steps.push(Step {
            count: u32::try_from(between(rng, 1, 6)).unwrap(),
            resources: Resources { cpu: between(rng, 300, 3_000), memory: 1, gpus: 0 },
            estimate: duration,
            depends_on: n.checked_sub(1).map(|n| n as usize).into_iter().collect(),
            long_running,
            gang,
            ..Step::default()
        });
    }
    let deadly = chance(rng, scenario.deadly_share)
        .then(|| usize::try_from(between(rng, 0, count)).unwrap().min(steps.len() - 1));
    let job = Job { payload: String::new(), steps, schedule: None };
    Record { job, requested_at, progress: Progress::default(), state: None, durations, deadly }
}

struct World {
    scenario: Scenario,
    rng: SeededRng,
    machines: Vec<Machine>,
    records: IndexMap<String, Record>,
    /// Ids of the executors to which the holders may have sent orders.
    roster: IndexSet<String>,
    /// Number of executors that crashed under each deadly task, and starts after the last permitted
    /// one.
    crashes: BTreeMap<TaskId, u32>,
    more_starts: BTreeMap<TaskId, u32>,
    /// Crashes that a deadly task caused.
    caused: u32,
}

impl World {
    fn registration(id: &str) -> Registration {
        Registration {
            id: id.to_owned(),
            pool: "p".to_owned(),
            address: format!("{id}:1"),
            ready: true,
            capacity: Resources { cpu: MACHINE_CPU, memory: 1 << 20, gpus: 0 },
            ..Registration::default()
        }
    }

    fn is_deadly(&self, task: &TaskId) -> bool {
        self.records[&task.job].deadly == Some(task.step)
    }

    fn crash(&mut self, machine: usize, now: u64) {
        let back_at = now + between(&mut self.rng, 2_000, 5_000);
        for task in self.machines[machine].crash(back_at) {
            if self.is_deadly(&task) {
                *self.crashes.entry(task).or_default() += 1;
            }
        }
    }

    /// Position of the machine of an executor, and whether this incarnation is up.
    fn find(&self, id: &str) -> (usize, bool) {
        let number: usize = id[1..].split('-').next().unwrap().parse().unwrap();
        (number, self.machines[number].up && self.machines[number].id() == id)
    }

    fn apply_machine_events(&mut self, now: u64) {
        for n in 0..self.machines.len() {
            if self.machines[n].crash_at.is_some_and(|at| at <= now) {
                self.caused += 1;
                self.crash(n, now);
            }
            let machine = &mut self.machines[n];
            if !machine.up && machine.back_at <= now {
                machine.up = true;
            }
            let (ended, runs): (Vec<Run>, Vec<Run>) = std::mem::take(&mut machine.runs)
                .into_iter()
                .partition(|r| r.ends.is_some_and(|at| at <= now));
            machine.runs = runs;
            for run in ended {
                machine.end(run, RunOutcome::Done);
            }
        }
        let Scenario { crash_gap, rack_crashes, .. } = self.scenario;
        if crash_gap > 0 && chance(&mut self.rng, TICK_MS as f64 / crash_gap as f64) {
            let n = between(&mut self.rng, 0, self.machines.len() as u64) as usize;
            if self.machines[n].up {
                self.crash(n, now);
            }
        }
        if rack_crashes.contains(&(now - START_MS)) {
            for n in (0..self.machines.len()).step_by(3) {
                if self.machines[n].up {
                    self.crash(n, now);
                }
            }
        }
    }

    /// Carries an order out and tells the holder, unless the answer is lost.
    fn carry_out(&mut self, cell: &mut Cell, order: Order, now: u64) {
        match order {
            Order::Start { worker, task, run, .. } => {
                let (n, up) = self.find(&worker);
                let outcome = if up {
                    self.start(n, &task, run, now)
                } else if self.machines[n].up {
                    StartOutcome::Gone
                } else {
                    StartOutcome::Unsent
                };
                let lost = chance(&mut self.rng, 0.03);
                let outcome = if lost { StartOutcome::Unknown } else { outcome };
                cell.handle_start_outcome(&worker, &task, run, outcome, now);
            }
            Order::Stop { worker, task, run, .. } => {
                let (n, up) = self.find(&worker);
                if up {
                    let machine = &mut self.machines[n];
                    let bar = machine.barred.entry(task.clone()).or_default();
                    *bar = run.max(*bar);
                    let at = machine.runs.iter().position(|r| r.task == task && r.run == run);
                    if let Some(at) = at {
                        let stopped = machine.runs.remove(at);
                        machine.end(stopped, RunOutcome::Stopped);
                    }
                }
                cell.handle_stop_answer(&worker, &task, run, up, now);
            }
            Order::Advise { .. } | Order::Pace { .. } => {}
        }
    }

    fn start(&mut self, n: usize, task: &TaskId, run: u64, now: u64) -> StartOutcome {
        let deadly = self.is_deadly(task);
        let record = &self.records[&task.job];
        let step = &record.job.steps[task.step];
        let duration = record.durations[task.step];
        let machine = &mut self.machines[n];
        if machine.barred.get(task).is_some_and(|barred| run <= *barred) {
            return StartOutcome::Refused(jobs::cell::Refusal::Old);
        }
        let used: u64 = machine.runs.iter().map(|r| r.need.cpu).sum();
        assert!(
            used + step.resources.cpu <= MACHINE_CPU,
            "{} has no room for {task} run {run} at {now}: {:?}",
            machine.id(),
            machine
                .runs
                .iter()
                .map(|r| (r.task.to_string(), r.run, r.need.cpu))
                .collect::<Vec<_>>()
        );
        if deadly {
            machine.crash_at.get_or_insert(now + CRASH_DELAY_MS);
            if self.crashes.get(task).is_some_and(|count| *count >= MAX_CRASHES) {
                *self.more_starts.entry(task.clone()).or_default() += 1;
            }
        }
        let ends = (!step.long_running).then_some(now + duration);
        machine.runs.push(Run { task: task.clone(), run, need: step.resources, ends });
        StartOutcome::Running(now)
    }

    fn poll(&mut self, cell: &mut Cell, now: u64) {
        let ids: Vec<String> =
            cell.workers().iter().filter(|(_, w)| !w.dead).map(|(id, _)| id.clone()).collect();
        for (position, id) in ids.into_iter().enumerate() {
            let offset = position as u64 * 35;
            if !(now + offset).is_multiple_of(POLL_INTERVAL_MS) {
                continue;
            }
            let (n, up) = self.find(&id);
            let machine = &mut self.machines[n];
            if up {
                cell.grant_lease(&id, now);
                let acked = cell.workers()[&id].last_durable_end;
                machine.ended.retain(|end| end.sequence > acked);
                let present = |r: &Run| PresentRun {
                    task: r.task.clone(),
                    run: r.run,
                    checkpoint: String::new(),
                    // Progress that differs from poll to poll; long-running tasks are at full speed.
                    percent: if r.ends.is_none() { 100 } else { now / POLL_INTERVAL_MS % 100 },
                    gauge: 0,
                };
                let report = ExecutorReport {
                    clock: now,
                    present: machine.runs.iter().map(present).collect(),
                    ended: machine.ended.clone(),
                };
                cell.handle_poll(&id, &report, now, now);
            } else if machine.up {
                cell.mark_dead(&id, now);
            } else {
                cell.handle_no_answer(&id);
                if cell.needs_liveness_check() {
                    let live = self.machines.iter().filter(|m| m.up).map(Machine::id).collect();
                    cell.mark_missing_dead(&live, now, now);
                }
            }
        }
    }

    fn sync_registry(&mut self, cell: &mut Cell) {
        let live: IndexSet<String> =
            self.machines.iter().filter(|m| m.up).map(Machine::id).collect();
        let gone: Vec<String> =
            cell.workers().keys().filter(|id| !live.contains(*id)).cloned().collect();
        gone.iter().for_each(|id| cell.unlist(id));
        for id in live {
            cell.register(Self::registration(&id));
            self.roster.insert(id);
        }
    }

    fn take_over(&mut self, term: u64, now: u64) -> Cell {
        let config = CellConfig {
            lease: 6_000,
            inherited_lease: 16_000,
            stop_timeout: 200,
            early_start: 0,
            term,
        };
        let mut cell = Cell::new(config, now);
        let queue = Queue {
            name: "q".to_owned(),
            max_attempts: 3,
            stretch: 1_600,
            objective_base: 600,
            ..Queue::default()
        };
        cell.configure(std::iter::once(&queue));
        for id in &self.roster {
            cell.inherit(Self::registration(id));
        }
        let open = self.records.iter().filter(|(_, r)| r.state.is_none());
        for (id, record) in open {
            cell.admit(arrival(id, record, true));
        }
        cell
    }
}

fn arrival(id: &str, record: &Record, inherited: bool) -> Arrival {
    Arrival {
        id: id.to_owned(),
        part: "q".to_owned(),
        queue: "q".to_owned(),
        job: record.job.clone(),
        progress: record.progress.clone(),
        requested_at: record.requested_at,
        inherited,
        start_blocked: false,
        organisation: None,
    }
}

/// A write of changes that is under way.
struct Write {
    /// Time at which it ends, in milliseconds.
    at: u64,
    changes: Vec<JobChange>,
    flush: Flush,
    fails: bool,
}

fn store(records: &mut IndexMap<String, Record>, changes: &[JobChange]) {
    for change in changes {
        let record = &mut records[&change.id];
        record.progress = change.progress.clone();
        if change.state.is_final() {
            record.state = Some(change.state);
        }
    }
}

/// Simulates a pool and returns the world after it.
fn simulate(scenario: Scenario, seed: u64) -> World {
    let mut world = World {
        scenario,
        rng: SeededRng(seed),
        machines: (0..scenario.machines).map(Machine::new).collect(),
        records: IndexMap::new(),
        roster: IndexSet::new(),
        crashes: BTreeMap::new(),
        more_starts: BTreeMap::new(),
        caused: 0,
    };
    let mut term = 1;
    let mut cell = Some(world.take_over(term, START_MS));
    let mut successor_at = 0;
    let mut orders: BTreeMap<u64, Vec<Order>> = BTreeMap::new();
    let (mut writes, mut written) = (Writes::default(), Vec::<Write>::new());
    let mut next_arrival = START_MS as f64;
    for now in (START_MS..START_MS + ARRIVALS_MS + SETTLING_MS).step_by(TICK_MS as usize) {
        world.apply_machine_events(now);
        while next_arrival < now as f64 && now < START_MS + ARRIVALS_MS {
            next_arrival += world.rng.arrival_gap(scenario.rate);
            let id = format!("{:016x}", world.records.len() + 1);
            let record = random_job(&mut world.rng, &scenario, now);
            if let Some(cell) = &mut cell {
                cell.admit(arrival(&id, &record, false));
            }
            world.records.insert(id, record);
        }
        for write in written.extract_if(.., |write| write.at <= now) {
            if !write.fails {
                store(&mut world.records, &write.changes);
            }
            let Some(cell) = &mut cell else { continue };
            writes.end("q");
            if write.fails {
                cell.flush_failed(&write.flush);
            } else {
                cell.flush_done(&write.flush);
            }
        }
        if scenario.holder_kills.contains(&(now - START_MS)) {
            // Orders and writes under way may still arrive.
            cell = None;
            orders.clear();
            written.retain(|_| chance(&mut world.rng, 0.5));
            successor_at = now + between(&mut world.rng, 500, 2_500);
        }
        if cell.is_none() && now >= successor_at {
            term += 1;
            for write in written.drain(..).filter(|write| !write.fails) {
                store(&mut world.records, &write.changes);
            }
            writes = Writes::default();
            cell = Some(world.take_over(term, now));
        }
        let Some(cell) = &mut cell else { continue };
        cell.confirm_ownership(now);
        if now % 100 == 0 {
            world.sync_registry(cell);
        }
        world.poll(cell, now);
        for order in orders.remove(&now).unwrap_or_default() {
            world.carry_out(cell, order, now);
        }
        orders.entry(now + 2 * TICK_MS).or_default().extend(cell.tick(now, 0));
        if now % WRITE_INTERVAL_MS == 0 {
            let selection = writes.select("q", now);
            for (part, (changes, flush)) in cell.take_changes_by_part(|_| selection) {
                writes.begin(&part, selection, now);
                let (at, fails) =
                    (now + between(&mut world.rng, 10, 60), chance(&mut world.rng, 0.05));
                written.push(Write { at, changes, flush, fails });
            }
        }
    }
    world
}

/// Checks the rules on a simulated pool.
fn check(scenario: Scenario, seed: u64) {
    let world = simulate(scenario, seed);
    let most = world.more_starts.values().max().copied().unwrap_or(0);
    let broken = world.more_starts.values().filter(|n| **n > MAX_MORE_STARTS).count();
    assert!(
        most <= MAX_MORE_STARTS,
        "seed {seed}: {broken} tasks were started up to {most} times after {MAX_CRASHES} crashes, \
         {} crashes in all",
        world.caused
    );
    let present: BTreeSet<&TaskId> =
        world.machines.iter().flat_map(|m| m.runs.iter().map(|r| &r.task)).collect();
    for (id, record) in &world.records {
        if record.deadly.is_some() {
            assert_eq!(record.state, Some(State::Failed), "seed {seed}: deadly job {id}");
        } else if record.job.is_long_running() {
            assert_eq!(record.state, None, "seed {seed}: long-running job {id}");
            for index in 0..record.job.steps[0].count {
                let task = TaskId { job: id.clone(), occurrence: 0, step: 0, index };
                assert!(present.contains(&task), "seed {seed}: {task} does not run");
            }
        } else {
            assert_eq!(record.state, Some(State::Completed), "seed {seed}: innocent job {id}");
        }
    }
}

/// Number of seeds of each simulation.
const SEEDS: u64 = 10;

/// Guards against tasks that crash one executor after the other without end.
#[test]
fn a_deadly_task_does_not_crash_executors_without_end() {
    for seed in 1..=SEEDS {
        check(SCENARIO, seed);
    }
}

/// Guards against counts of crashes that are lost with the holder of the cell.
#[test]
fn a_successor_does_not_start_a_deadly_task_as_often_again() {
    for seed in 1..=SEEDS {
        check(Scenario { holder_kills: &[3_000, 7_000], ..SCENARIO }, seed);
    }
}

/// Guards against innocent tasks that are given up because they shared an executor with deadly ones
/// or were on machines that crashed for other reasons.
#[test]
fn innocent_jobs_are_not_given_up_when_machines_crash() {
    for seed in 1..=SEEDS {
        let scenario = Scenario {
            machines: 20,
            crash_gap: 700,
            rack_crashes: &[4_000, 5_000, 6_000],
            duration: 900.0,
            ..SCENARIO
        };
        check(scenario, seed);
        check(Scenario { deadly_share: 0.0, ..scenario }, seed);
    }
}

/// Guards against jobs that wait for ever for an executor of their own.
#[test]
fn suspects_in_a_pool_of_two_executors_still_run() {
    for seed in 1..=SEEDS {
        check(Scenario { machines: 2, rate: 1.0, ..SCENARIO }, seed);
    }
}

/// Guards against long-running tasks and gangs without a limit on the executors that they crash.
#[test]
fn deadly_long_running_tasks_and_gangs_are_given_up() {
    for seed in 1..=SEEDS {
        let scenario = Scenario {
            machines: 30,
            rate: 5.0,
            long_share: 0.3,
            gang_share: 0.3,
            crash_gap: 3_000,
            ..SCENARIO
        };
        check(scenario, seed);
    }
}

/// Id of the job in the tests without a simulation.
const JOB: &str = "00000000000000aa";

fn small_job(count: u32) -> Record {
    let step = Step {
        count,
        resources: Resources { cpu: 1_000, memory: 1, gpus: 0 },
        estimate: 500,
        ..Step::default()
    };
    Record {
        job: Job { payload: String::new(), steps: vec![step], schedule: None },
        requested_at: START_MS,
        progress: Progress::default(),
        state: None,
        durations: vec![500],
        deadly: None,
    }
}

/// A cell whose executors have answered, with a job of one task that has just begun.
fn cell_with_new_run(executors: &[&str]) -> (Cell, String) {
    let config = CellConfig {
        lease: 6_000,
        inherited_lease: 16_000,
        stop_timeout: 200,
        early_start: 0,
        term: 1,
    };
    let mut cell = Cell::new(config, START_MS);
    for id in executors {
        cell.register(World::registration(id));
        let report = ExecutorReport { clock: START_MS, ..ExecutorReport::default() };
        cell.handle_poll(id, &report, START_MS, START_MS);
    }
    cell.admit(arrival(JOB, &small_job(1), false));
    let started = start_and_confirm(&mut cell, START_MS + 1).expect("the task starts");
    (cell, started)
}

/// Runs a pass and confirms its first start; returns the executor.
fn start_and_confirm(cell: &mut Cell, now: u64) -> Option<String> {
    let orders = cell.tick(now, 0);
    let (worker, task, run) = orders.iter().find_map(|order| match order {
        Order::Start { worker, task, run, .. } => Some((worker, task, *run)),
        _ => None,
    })?;
    cell.handle_start_outcome(worker, task, run, StartOutcome::Running(now), now);
    Some(worker.clone())
}

/// Executor of the first start among some orders.
fn start_of(orders: &[Order]) -> Option<String> {
    orders.iter().find_map(|order| match order {
        Order::Start { worker, .. } => Some(worker.clone()),
        _ => None,
    })
}

/// Guards against a start that a successor could not count, had its holder been killed.
#[test]
fn a_suspect_waits_until_its_crash_is_written() {
    let (mut cell, first) = cell_with_new_run(&["m0-0", "m1-0"]);
    let task = TaskId { job: JOB.to_owned(), occurrence: 0, step: 0, index: 0 };
    let running = StartOutcome::Running(START_MS + 5);
    cell.handle_start_outcome(&first, &task, 1, running, START_MS + 5);
    let (_, begun) = cell.take_changes();
    cell.flush_done(&begun);
    cell.mark_dead(&first, START_MS + 20);
    cell.confirm_ownership(START_MS + 30);
    assert_eq!(start_of(&cell.tick(START_MS + 30, 0)), None);
    let (changes, flush) = cell.take_changes();
    assert_eq!(changes[0].progress.occurrences[&0][0].crashes.len(), 1);
    assert_eq!(start_of(&cell.tick(START_MS + 40, 0)), None);
    cell.flush_failed(&flush);
    let (_, flush) = cell.take_changes();
    cell.flush_done(&flush);
    assert!(start_of(&cell.tick(START_MS + 50, 0)).is_some());
}

/// Guards against executors that end by an order and whose tasks are taken for deadly ones.
#[test]
fn an_executor_that_was_about_to_leave_has_not_crashed() {
    type Depart = fn(&mut Cell, &str);
    let departures: [Depart; 3] = [
        |cell, id| cell.mark_ended(id, START_MS + 20),
        |cell, id| {
            cell.set_leaving(IndexSet::from([id.to_owned()]));
            cell.mark_dead(id, START_MS + 20);
        },
        |cell, id| {
            cell.register(Registration { ready: false, ..World::registration(id) });
            cell.mark_dead(id, START_MS + 20);
        },
    ];
    for depart in departures {
        let (mut cell, first) = cell_with_new_run(&["m0-0", "m1-0"]);
        depart(&mut cell, &first);
        assert!(cell.take_crashes().is_empty());
        cell.confirm_ownership(START_MS + 30);
        assert!(start_of(&cell.tick(START_MS + 30, 0)).is_some());
    }
}

/// Guards against a crash in quarantine that could be blamed on a second job.
#[test]
fn no_other_job_starts_beside_a_suspect_until_it_is_cleared() {
    let others = ["00000000000000bb", "00000000000000cc"];
    let (mut cell, first) = cell_with_new_run(&["m0-0", "m1-0", "m2-0"]);
    cell.admit(arrival(others[0], &small_job(1), false));
    let second = start_of(&cell.tick(START_MS + 2, 0)).expect("the second job starts");
    assert_eq!(second, first, "tasks share executors while there is room");
    cell.mark_dead(&first, START_MS + 20);
    let (_, flush) = cell.take_changes();
    cell.flush_done(&flush);
    cell.admit(arrival(others[1], &small_job(1), false));
    cell.confirm_ownership(START_MS + 30);
    let orders = cell.tick(START_MS + 30, 0);
    let starts: Vec<(&str, &str)> = orders
        .iter()
        .filter_map(|order| match order {
            Order::Start { worker, task, .. } => Some((task.job.as_str(), worker.as_str())),
            _ => None,
        })
        .collect();
    // One of two executors may be kept for suspects; the other is for new jobs.
    let kept = starts.iter().find(|(job, _)| *job == JOB).expect("a suspect starts").1.to_owned();
    let open = starts.iter().find(|(job, _)| *job == others[1]).expect("a new job starts").1;
    assert_ne!(kept, open);
    assert_eq!(starts.len(), 2, "the second suspect waits: {starts:?}");
    let task = TaskId { job: JOB.to_owned(), occurrence: 0, step: 0, index: 0 };
    let running = StartOutcome::Running(START_MS + 40);
    cell.handle_start_outcome(&kept, &task, 2, running, START_MS + 40);
    assert_eq!(start_of(&cell.tick(START_MS + 200, 0)), None);
    let present = PresentRun { task, run: 2, checkpoint: String::new(), percent: 50, gauge: 0 };
    let report =
        ExecutorReport { clock: START_MS + 400, present: vec![present], ..Default::default() };
    cell.handle_poll(&kept, &report, START_MS + 400, START_MS + 400);
    assert!(start_of(&cell.tick(START_MS + 410, 0)).is_some(), "the second suspect follows");
}

/// Number of crashes after which the job is given up, if each executor that starts it crashes.
fn crashes_until_given_up(cell: &mut Cell, first: String) -> u32 {
    let mut current = first;
    for count in 1..10 {
        let now = START_MS + 100 * u64::from(count);
        cell.mark_dead(&current, now);
        let (changes, flush) = cell.take_changes();
        cell.flush_done(&flush);
        if changes.iter().any(|change| change.id == JOB && change.state == State::Failed) {
            return count;
        }
        cell.confirm_ownership(now + 10);
        current = start_and_confirm(cell, now + 10).expect("the suspect starts again");
    }
    panic!("the job is not given up")
}

/// Guards against a good job that is given up because machines crash for reasons of their own.
#[test]
fn more_crashes_are_needed_while_idle_executors_crash_as_well() {
    let executors = ["m0-0", "m1-0", "m2-0", "m3-0", "m4-0", "m5-0"];
    let (mut cell, first) = cell_with_new_run(&executors);
    assert_eq!(crashes_until_given_up(&mut cell, first), 2);
    let (mut cell, first) = cell_with_new_run(&executors);
    let idle = executors.iter().find(|id| **id != first).unwrap();
    cell.mark_dead(idle, START_MS + 10);
    assert_eq!(crashes_until_given_up(&mut cell, first), 3);
}

/// Guards against blame for a crash that a task of another job may have caused.
#[test]
fn a_crash_under_new_runs_of_two_jobs_is_blamed_on_neither() {
    let blamed = |jobs: usize| {
        let (mut cell, first) = cell_with_new_run(&["m0-0", "m1-0"]);
        if jobs > 1 {
            cell.admit(arrival("00000000000000bb", &small_job(1), false));
            assert_eq!(start_and_confirm(&mut cell, START_MS + 2), Some(first.clone()));
        }
        cell.mark_dead(&first, START_MS + 20);
        let (changes, _) = cell.take_changes();
        assert_eq!(changes.len(), jobs);
        let crashes = changes.iter().flat_map(|c| &c.progress.occurrences[&0][0].crashes);
        crashes.map(|(_, crashes)| (crashes.suspected, crashes.blamed)).collect::<Vec<_>>()
    };
    assert_eq!(blamed(1), [(1, 1)]);
    assert_eq!(blamed(2), [(1, 0), (1, 0)]);
}
