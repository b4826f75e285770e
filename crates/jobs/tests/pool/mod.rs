//! Simulated pool for the replay of demand peaks: executors, a cell, processes that admit jobs by a
//! published load, clients that retry, and failures.

use std::collections::{BTreeMap, HashMap, HashSet};

use indexmap::IndexMap;
use jobs::admit::{self, Incoming, Outlook, Request, Verdict};
use jobs::cell::{Arrival, Order, StartOutcome};
use jobs::order::Policy;
use jobs::worker::{EndedRun, PresentRun};
use jobs::{
    Cell, CellConfig, ExecutorReport, Job, Organisation, Progress, Queue, Registration, Resources,
    RunOutcome, State, Step, TaskId, Worker,
};

use crate::dice::SeededRng;

/// Step of the simulated clock, in milliseconds; about the interval of the scheduler's passes.
const TICK_MS: u64 = 20;
/// Interval between two polls of an executor, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;
/// Interval between two publications of the load, in milliseconds.
const PUBLISH_INTERVAL_MS: u64 = 150;
/// Time from the state that a load describes until processes can read it, in milliseconds.
const PUBLISH_DELAY_MS: u64 = 60;
/// Interval between two reads of the load by a process, in milliseconds.
const READ_INTERVAL_MS: u64 = 400;
/// Number of processes that admit jobs.
const PROCESSES: u64 = 29;
/// Time from the acceptance of a job until the scheduler knows it, in milliseconds.
const STORE_DELAY_MS: u64 = 40;
/// Time from the end of a job's last task to the client's knowledge of it, in milliseconds.
const RESULT_DELAY_MS: u64 = 40;
/// Most times that a client retries a refused job.
const MAX_RETRIES: u32 = 4;
/// Start of the simulation, in milliseconds.
pub const START_MS: u64 = 60_000;
/// Time before the peak, at a twentieth of the mean rate, in milliseconds.
pub const LEAD_MS: u64 = 1_000;
/// Length of a demand peak, in milliseconds.
pub const PEAK_MS: u64 = 4_000;
/// Time by which a hot organisation's demand outlasts the peak, in milliseconds.
const HOT_TAIL_MS: u64 = 2_000;
/// Time after the peak in which accepted jobs end, in milliseconds.
const FINISH_MS: u64 = 9_000;
/// Time from the start of the peak to the failure, in milliseconds.
pub const FAILURE_MS: u64 = PEAK_MS;
/// Time before the end of a holder from which its writes are lost, in milliseconds; three polls.
const UNWRITTEN_MS: u64 = 300;
/// Time from the end of a holder until the next one schedules, in milliseconds; 1.6 s of it to notice.
const TAKEOVER_MS: u64 = 2_200;
/// Time limit of a call to an executor, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 900;
/// Time from the loss of executors until others replace them, in milliseconds: to notice, plan, move.
const REPLACEMENT_MS: u64 = 3_500;
/// Time for which a data centre is cut off, in milliseconds; longer than its executors' leases.
const CUT_MS: u64 = 8_000;
/// Time for which the table is slow, in milliseconds; longer than a process goes by an old load.
const OUTAGE_MS: u64 = 3_400;
/// Time until a slow table has stored a job, in milliseconds; 50 times its usual 8 ms.
const SLOW_STORE_MS: u64 = 400;
/// Largest age of a load that admission uses, in milliseconds.
const MAX_LOAD_AGE_MS: u64 = 3_000;
/// Time from a stop order to the end of the run, in milliseconds.
const STOP_MS: u64 = 400;
/// Time from the crash of an executor until its machine has another one, in milliseconds.
const RESTART_MS: u64 = 2_000;
/// Organisation of the jobs over a limit, and the limit.
const LIMITED: (&str, Resources) = ("limited", Resources { cpu: 50, memory: 0, gpus: 0 });
/// Capacity of a machine.
pub const MACHINE: Resources = Resources { cpu: 32_000, memory: 64_000, gpus: 0 };
/// Part of the idle capacity that another job could have used, in percent; the rest is left over on
/// executors whose other resource is used up.
const USABLE_IDLE_PERCENT: u64 = 85;

/// Queue, pool and conditions of a replay.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Mean rate, in jobs a second.
    pub rate: f64,
    /// Factor to the rate in the second half of the peak.
    pub second_half: f64,
    /// Mean number of steps.
    pub steps: f64,
    /// Mean duration of a task, in milliseconds.
    pub duration: f64,
    /// Mean CPU of a task in thousandths of a core, and mean memory in MB.
    pub needs: (f64, f64),
    /// Largest relative error of estimates.
    pub estimate_error: f64,
    /// Machines at the start, and those that arrive 1.5 to 3 s after the peak began.
    pub machines: (u64, u64),
    /// Weights of the organisations; empty for none.
    pub weights: Vec<f64>,
    /// Whether the pool knows the weights.
    pub shared: bool,
    /// Organisation that sends five times its weight for 6 s.
    pub hot: Option<usize>,
    /// Length of the peak, in milliseconds.
    pub peak: u64,
    /// What fails at [`FAILURE_MS`] of the peak.
    pub failure: Option<Failure>,
}

/// A failure at the peak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The holder ends without a hand-over, and another process takes the pool.
    Holder,
    /// A third of the executors can't be reached; their runs go on until their leases end.
    Centre,
    /// Half of the processes read no load, and the table stores their jobs late.
    Table,
    /// Half of the accepted jobs that have not ended are cancelled.
    Cancels,
    /// For a second, every fifth job can't be done.
    Hopeless,
}

/// Why a job can't be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Obstacle {
    /// Its tasks need more than any executor has.
    TooLarge,
    /// Its tasks need more than its organisation's limit, which only half of the processes know yet.
    OverLimit,
    /// Its tasks fail.
    Failing,
    /// Its tasks crash their executors.
    Deadly,
}

/// A job of the replay, with what became of it.
#[derive(Debug, Clone, Default)]
pub struct Replayed {
    pub job: Job,
    /// True durations of its tasks, by step, in milliseconds.
    durations: Vec<u64>,
    pub requested_at: u64,
    /// Time by which it should be completed, in milliseconds.
    pub objective: u64,
    pub organisation: Option<usize>,
    pub accepted_at: Option<u64>,
    pub refusals: u32,
    pub completed_at: Option<u64>,
    pub cancelled_at: Option<u64>,
    pub obstacle: Option<Obstacle>,
    /// Final state in the table.
    pub ended: Option<State>,
    /// Number of starts of its tasks, and when the last run ended.
    pub starts: usize,
    pub last_run_end: u64,
    /// Number of executors that its tasks have crashed.
    pub crashes: usize,
    /// Whether it was refused for good, although idle capacity would have served it in time.
    pub servable: bool,
}

impl Replayed {
    /// True work, in thousandths of a core times milliseconds.
    pub fn work(&self) -> u64 {
        let steps = self.job.steps.iter().zip(&self.durations);
        steps.map(|(s, duration)| u64::from(s.count) * s.resources.cpu * duration).sum()
    }

    pub fn is_timely(&self) -> bool {
        self.completed_at.is_some_and(|at| at <= self.objective)
    }

    /// Whether it was accepted although it could no longer end in time, for its late result.
    pub fn is_accepted_late(&self) -> bool {
        let critical_path: u64 = self.durations.iter().sum();
        self.accepted_at.is_some_and(|at| at + critical_path > self.objective)
    }

    /// Whether it was refused while it could still end in time.
    pub fn is_turned_away(&self) -> bool {
        self.accepted_at.is_none() || self.is_accepted_late()
    }

    pub fn is_useful(&self) -> bool {
        let span = self.objective - self.requested_at;
        self.completed_at.is_some_and(|at| at <= self.requested_at + 3 * span)
    }
}

struct Run {
    task: TaskId,
    run: u64,
    ends: u64,
    duration: u64,
    outcome: RunOutcome,
}

#[derive(Default)]
struct Executor {
    runs: Vec<Run>,
    /// Ends that are not acknowledged.
    ended: Vec<EndedRun>,
    ended_count: u64,
    lease_end: u64,
    /// Time until which it can't be reached, in milliseconds; without end once it has crashed.
    silent_until: u64,
}

/// The executors, and the tasks that run on them.
#[derive(Default)]
struct Pool {
    executors: IndexMap<String, Executor>,
    /// Executor of each task that runs.
    running: HashMap<TaskId, String>,
    /// Tasks whose end a holder has read.
    done: HashSet<TaskId>,
}

impl SeededRng {
    /// A log-normal number with a mean and a spread, up to `max`.
    fn log_normal(&mut self, mean: f64, spread: f64, max: f64) -> f64 {
        let radius = (-2.0 * self.uniform().max(1e-9).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.uniform()).cos();
        (mean * (spread * normal - spread * spread / 2.0).exp()).min(max)
    }
}

/// Draws the jobs of a replay, in the order of their first requests.
fn draw_jobs(scenario: &Scenario, rng: &mut SeededRng) -> Vec<Replayed> {
    let mut jobs = Vec::new();
    let peak = START_MS + LEAD_MS;
    let total: f64 = scenario.weights.iter().sum();
    let hot_rate = scenario.hot.map_or(0.0, |hot| {
        // The weights together allow the peak's rate.
        4.0 * 5.0 * scenario.rate * scenario.weights[hot] / total
    });
    let most = scenario.rate * 5.0 * scenario.second_half.max(1.0) + hot_rate;
    let mut now = START_MS as f64;
    let end = (peak + scenario.peak + HOT_TAIL_MS) as f64;
    loop {
        now += rng.arrival_gap(most);
        if now >= end {
            return jobs;
        }
        let at = now as u64;
        let factor = match () {
            () if at < peak || at >= peak + scenario.peak => 0.05,
            () if at >= peak + scenario.peak / 2 => 5.0 * scenario.second_half,
            () => 5.0,
        };
        let hot_rate = if at < peak { 0.0 } else { hot_rate };
        let rate = scenario.rate * factor + hot_rate;
        if rng.uniform() * most >= rate {
            continue;
        }
        let organisation = if scenario.weights.is_empty() {
            None
        } else if rng.uniform() * rate < hot_rate {
            scenario.hot
        } else {
            let mut left = rng.uniform() * total;
            let found = scenario.weights.iter().position(|w| {
                left -= w;
                left <= 0.0
            });
            Some(found.unwrap_or(0))
        };
        jobs.push(draw_job(scenario, rng, now as u64, organisation));
    }
}

fn draw_job(
    scenario: &Scenario,
    rng: &mut SeededRng,
    at: u64,
    organisation: Option<usize>,
) -> Replayed {
    let (cpu, memory) = scenario.needs;
    let count = rng.log_normal(scenario.steps, 0.6, 4.0).round().clamp(1.0, 4.0) as usize;
    let mut durations = Vec::new();
    let mut steps = Vec::new();
    for n in 0..count {
        let duration = rng.log_normal(scenario.duration, 0.45, 3.0 * scenario.duration).max(20.0);
        durations.push(duration as u64);
        let error = 1.0 + scenario.estimate_error * (2.0 * rng.uniform() - 1.0);
        steps.push(Step {
            count: rng.log_normal(8.0, 0.6, 32.0).round().max(1.0) as u32,
            resources: Resources {
                cpu: rng.log_normal(cpu, 0.45, 3.0 * cpu).max(100.0) as u64,
                memory: rng.log_normal(memory, 0.6, 3.0 * memory).max(100.0) as u64,
                gpus: 0,
            },
            estimate: (duration * error) as u64,
            depends_on: n.checked_sub(1).into_iter().collect(),
            ..Step::default()
        });
    }
    let critical_path: u64 = durations.iter().sum();
    Replayed {
        job: Job { payload: String::new(), steps, schedule: None },
        durations,
        requested_at: at,
        objective: at + critical_path * 16 / 10 + 600,
        organisation,
        ..Replayed::default()
    }
}

/// Replays a peak and returns its jobs; panics if a task runs twice at a time, or again once its end is
/// known.
pub fn replay(scenario: &Scenario, seed: u64) -> Vec<Replayed> {
    let mut rng = SeededRng(seed);
    let mut all = draw_jobs(scenario, &mut rng);
    let queue = Queue {
        name: "q".to_owned(),
        max_attempts: 3,
        stretch: 1_600,
        objective_base: 600,
        ..Queue::default()
    };
    let mut holder = Some(new_cell(scenario, &queue, 1, 0));
    let peak = START_MS + LEAD_MS;
    let failed_at = peak + FAILURE_MS;
    let fails = |failure| scenario.failure == Some(failure);
    let (initial, later) = scenario.machines;
    let moved = (0..later).map(|n| (peak + 1_500 + 1_500 * n / later, true));
    // When machines arrive, and whether they are moved to the pool.
    let mut arrivals: Vec<(u64, bool)> = (0..initial).map(|_| (0, true)).chain(moved).collect();
    let mut pool = Pool::default();
    let mut orders: BTreeMap<u64, Vec<Order>> = BTreeMap::new();
    let mut requests: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    for (n, job) in all.iter().enumerate() {
        requests.entry(job.requested_at).or_default().push(n);
    }
    let mut stored: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    // Progress, in the table, of the jobs that a holder has read.
    let mut table: BTreeMap<usize, Progress> = BTreeMap::new();
    let mut published: Vec<(u64, View)> = Vec::new();
    let mut idle: Vec<(u64, Resources)> = Vec::new();
    let end = peak + scenario.peak + FINISH_MS;
    for now in (START_MS..end).step_by(TICK_MS as usize) {
        match scenario.failure.filter(|_| now == failed_at) {
            Some(Failure::Holder) => holder = None,
            Some(Failure::Centre) => {
                for executor in pool.executors.values_mut().step_by(3) {
                    executor.silent_until = now + CUT_MS;
                    arrivals.push((now + REPLACEMENT_MS, true));
                }
            }
            Some(Failure::Cancels) => {
                let open = |job: &Replayed| job.accepted_at.is_some() && job.ended.is_none();
                for (n, job) in all.iter_mut().enumerate().step_by(2).filter(|(_, j)| open(j)) {
                    job.cancelled_at = Some(now);
                    holder.iter_mut().for_each(|cell| cell.cancel(&id_of(n), now));
                }
            }
            Some(Failure::Hopeless) => {
                let is_next = |job: &&mut Replayed| (now..now + 1_000).contains(&job.requested_at);
                for (n, job) in all.iter_mut().filter(is_next).step_by(5).enumerate() {
                    let harmful = if n < 6 { Obstacle::Deadly } else { Obstacle::Failing };
                    job.obstacle = Some([Obstacle::TooLarge, Obstacle::OverLimit, harmful][n % 3]);
                    if job.obstacle == Some(Obstacle::TooLarge) {
                        job.job.steps[0].resources.cpu = MACHINE.cpu + 1;
                    }
                }
            }
            Some(Failure::Table) | None => {}
        }
        if holder.is_none() && now >= failed_at + TAKEOVER_MS {
            let mut cell = new_cell(scenario, &queue, 2, now);
            for id in pool.executors.keys() {
                cell.inherit(registration(id));
                cell.register(registration(id));
            }
            for (n, progress) in &table {
                cell.admit(arrival(*n, &all[*n], progress, true));
            }
            holder = Some(cell);
        }
        while arrivals.get(pool.executors.len()).is_some_and(|(at, _)| *at <= now) {
            let id = format!("w{}", pool.executors.len());
            if let Some(cell) = &mut holder {
                cell.register(registration(&id));
                let report = ExecutorReport { clock: now, ..ExecutorReport::default() };
                cell.handle_poll(&id, &report, now, now);
            }
            pool.executors.insert(id, Executor::default());
        }
        for n in take_due(&mut requests, now) {
            let process = (rng.uniform() * PROCESSES as f64) as u64;
            let offset = process * READ_INTERVAL_MS / PROCESSES;
            let is_slow = fails(Failure::Table)
                && process.is_multiple_of(2)
                && (failed_at..failed_at + OUTAGE_MS).contains(&now);
            let read_at = now - (now + offset) % READ_INTERVAL_MS;
            let read_at = if is_slow { read_at.min(failed_at) } else { read_at };
            let view = published.iter().rfind(|(at, _)| at + PUBLISH_DELAY_MS <= read_at);
            let limit = if process.is_multiple_of(2) { LIMITED.1 } else { Resources::default() };
            match decide(view, &queue, &id_of(n), &all[n], limit, now) {
                Verdict::Accept => {
                    all[n].accepted_at = Some(now);
                    let delay = if is_slow { SLOW_STORE_MS } else { STORE_DELAY_MS };
                    stored.entry(now + delay).or_default().push(n);
                }
                Verdict::Refuse(delay) => {
                    all[n].refusals += 1;
                    if all[n].refusals <= MAX_RETRIES {
                        requests.entry(now + delay.max(TICK_MS)).or_default().push(n);
                    }
                }
            }
        }
        pool.end_runs(&mut all, &mut arrivals, now);
        if let Some(cell) = &mut holder {
            for n in take_due(&mut stored, now) {
                let progress = table.entry(n).or_default();
                cell.admit(arrival(n, &all[n], progress, false));
                if all[n].cancelled_at.is_some() {
                    cell.cancel(&id_of(n), now);
                }
            }
            pool.poll(cell, now);
        }
        for order in orders.remove(&now).unwrap_or_default() {
            pool.deliver(order, holder.as_mut(), &mut all, now);
        }
        let Some(cell) = &mut holder else { continue };
        cell.confirm_ownership(now);
        let ordered = cell.tick(now, 0);
        for order in &ordered {
            let Order::Start { task, .. } = order else { continue };
            assert!(!pool.done.contains(task), "{task} starts again after its end");
        }
        orders.entry(now + TICK_MS).or_default().extend(ordered);
        if fails(Failure::Holder) && (failed_at - UNWRITTEN_MS..failed_at).contains(&now) {
            continue;
        }
        let (changes, flush) = cell.take_changes();
        for change in changes {
            let n = usize::from_str_radix(&change.id, 16).unwrap();
            if !change.state.is_final() {
                table.insert(n, change.progress);
                continue;
            }
            table.remove(&n);
            assert_eq!(all[n].ended.replace(change.state), None, "{n} ends twice");
            all[n].completed_at =
                (change.state == State::Completed).then_some(now + RESULT_DELAY_MS);
        }
        cell.flush_done(&flush);
        let workers = cell.workers().values();
        let free = workers.fold(Resources::default(), |mut all, w| {
            all.add(w.free());
            all
        });
        idle.push((now, free));
        if now % PUBLISH_INTERVAL_MS < TICK_MS {
            // A machine on the way is known from its order on.
            let moving = |(at, moved): &(u64, bool)| (*moved && *at > now).then_some(*at);
            let coming = arrivals.iter().filter_map(moving);
            let coming: Vec<u64> = coming.filter(|at| *at < now + 2_000 && now >= peak).collect();
            published.push((now, View::new(cell, &coming, now)));
        }
    }
    mark_servable(&mut all, &mut idle);
    all
}

/// Creates the scheduler of the holder with a number.
fn new_cell(scenario: &Scenario, queue: &Queue, term: u64, now: u64) -> Cell {
    let (stop_timeout, early_start) = (STOP_MS, 0);
    let rules =
        CellConfig { lease: 4_500, inherited_lease: 8_225, stop_timeout, early_start, term };
    let mut cell = Cell::new(rules, now);
    cell.configure(std::iter::once(queue));
    cell.set_policy(Policy::LatestStart);
    cell.set_limits([LIMITED].into_iter());
    cell.set_grant(LIMITED.0, LIMITED.1);
    let total: f64 = scenario.weights.iter().sum();
    let names: Vec<String> = (0..scenario.weights.len()).map(|n| format!("o{n}")).collect();
    if scenario.shared {
        // Together the weights allow the rate of the peak.
        let weights = scenario.weights.iter().map(|w| (w / total * 5_000.0 * scenario.rate) as u64);
        cell.configure_shares(names.iter().map(String::as_str).zip(weights));
    }
    cell
}

/// A job that the table holds, for a holder.
fn arrival(n: usize, job: &Replayed, progress: &Progress, inherited: bool) -> Arrival {
    let limited = (job.obstacle == Some(Obstacle::OverLimit)).then(|| LIMITED.0.to_owned());
    Arrival {
        id: id_of(n),
        part: "q".to_owned(),
        queue: "q".to_owned(),
        organisation: limited.or_else(|| job.organisation.map(|n| format!("o{n}"))),
        job: job.job.clone(),
        progress: progress.clone(),
        requested_at: job.requested_at,
        inherited,
        start_blocked: false,
    }
}

/// Id of the job at a position.
fn id_of(n: usize) -> String {
    format!("{n:016x}")
}

/// Position of a task's job.
fn job_of(task: &TaskId) -> usize {
    usize::from_str_radix(&task.job, 16).unwrap()
}

/// Removes what is due at a time.
fn take_due(due: &mut BTreeMap<u64, Vec<usize>>, now: u64) -> Vec<usize> {
    let later = due.split_off(&(now + 1));
    std::mem::replace(due, later).into_values().flatten().collect()
}

/// What a holder publishes for admission.
struct View {
    outlook: Option<Outlook>,
    load: admit::Load,
    /// CPU of the machines on the way, in thousandths of a core.
    incoming: u64,
    /// Mean time of their arrival, in milliseconds.
    incoming_by: u64,
    /// Organisations that send beyond their weight.
    beyond: Vec<String>,
}

impl View {
    fn new(cell: &Cell, coming: &[u64], now: u64) -> Self {
        let count = coming.len() as u64;
        let (timely_backlog, backlog) = cell.backlog(now);
        let accepting = cell.workers().values().filter(|w| w.accepts_tasks(now));
        let load = admit::Load {
            jobs: cell.job_count(),
            timely_backlog,
            backlog,
            capacity: accepting.map(|w| w.registration.capacity.cpu).sum(),
            incoming_capacity: count * MACHINE.cpu,
            incoming_delay: 0,
        };
        Self {
            outlook: cell.outlook(now),
            load,
            incoming: count * MACHINE.cpu,
            incoming_by: coming.iter().sum::<u64>().checked_div(count).unwrap_or(0),
            beyond: cell.beyond_share(now).map(str::to_owned).collect(),
        }
    }
}

/// Decides on a request as a process does that has read a published load.
fn decide(
    view: Option<&(u64, View)>,
    queue: &Queue,
    id: &str,
    job: &Replayed,
    limit: Resources,
    now: u64,
) -> Verdict {
    let organisation = Organisation { limit, ..Organisation::default() };
    if job.obstacle == Some(Obstacle::OverLimit) && !organisation.allows_tasks_of(&job.job) {
        return Verdict::Refuse(admit::unservable_retry(id));
    }
    let view = view.filter(|(at, _)| now <= at + MAX_LOAD_AGE_MS);
    let Some((published_at, view)) = view else { return Verdict::Accept };
    let request = Request {
        id,
        job: &job.job,
        priority: queue.priority,
        beyond_share: job.organisation.is_some_and(|n| view.beyond.contains(&format!("o{n}"))),
        objective: job.job.critical_path() * queue.stretch / 1_000 + queue.objective_base,
        waited: now - job.requested_at,
    };
    let incoming = Incoming { cpu: view.incoming, delay: view.incoming_by.saturating_sub(now) };
    let age = now - published_at;
    let by_outlook = view.outlook.as_ref().map_or(Verdict::Accept, |outlook| {
        admit::decide_by_outlook(outlook, view.load.jobs, &request, incoming, age)
    });
    match by_outlook {
        Verdict::Accept => {
            let load = admit::Load { incoming_delay: incoming.delay, ..view.load };
            admit::decide(&load, request.objective, job.job.critical_path(), request.waited)
        }
        refused @ Verdict::Refuse(_) => refused,
    }
}

fn registration(id: &str) -> Registration {
    Registration {
        id: id.to_owned(),
        pool: "p".to_owned(),
        address: format!("{id}:1"),
        ready: true,
        capacity: MACHINE,
        ..Registration::default()
    }
}

impl Pool {
    /// Ends the runs that are due, or whose lease has ended, and the executors that they crash.
    fn end_runs(&mut self, all: &mut [Replayed], arrivals: &mut Vec<(u64, bool)>, now: u64) {
        for executor in self.executors.values_mut() {
            let lease_end = executor.lease_end;
            let due = executor.runs.extract_if(.., |run| run.ends <= now || lease_end < now);
            let due: Vec<Run> = due.collect();
            let is_deadly = |r: &Run| all[job_of(&r.task)].obstacle == Some(Obstacle::Deadly);
            if let Some(deadly) = due.iter().find(|run| is_deadly(run)) {
                all[job_of(&deadly.task)].crashes += 1;
                for run in executor.runs.iter().chain(&due) {
                    self.running.remove(&run.task);
                }
                *executor = Executor { silent_until: u64::MAX, ..Executor::default() };
                arrivals.push((now + RESTART_MS, false));
                continue;
            }
            for run in due {
                self.running.remove(&run.task);
                all[job_of(&run.task)].last_run_end = now;
                executor.ended_count += 1;
                executor.ended.push(EndedRun {
                    sequence: executor.ended_count,
                    task: run.task,
                    run: run.run,
                    outcome: if run.ends <= now { run.outcome } else { RunOutcome::Lapsed },
                    checkpoint: String::new(),
                });
            }
        }
    }

    /// Polls the executors whose turn it is.
    fn poll(&mut self, cell: &mut Cell, now: u64) {
        for (at, (id, executor)) in self.executors.iter_mut().enumerate() {
            let polls = POLL_INTERVAL_MS / TICK_MS;
            if (now / TICK_MS) % polls != at as u64 % polls {
                continue;
            }
            if now < executor.silent_until {
                if executor.silent_until == u64::MAX {
                    cell.mark_dead(id, now);
                } else if now >= executor.silent_until - CUT_MS + CALL_TIMEOUT_MS {
                    cell.handle_no_answer(id);
                }
                continue;
            }
            let acknowledged = cell.workers().get(id).map_or(0, Worker::end_to_acknowledge);
            executor.ended.retain(|end| end.sequence > acknowledged);
            executor.lease_end = cell.grant_lease(id, now).unwrap_or(executor.lease_end);
            let percent = |r: &Run| 100 - r.ends.saturating_sub(now) * 100 / r.duration.max(1);
            let present = executor.runs.iter().map(|r| PresentRun {
                task: r.task.clone(),
                run: r.run,
                checkpoint: String::new(),
                percent: percent(r),
                gauge: 0,
            });
            let (present, ended) = (present.collect(), executor.ended.clone());
            let done = ended.iter().filter(|end| end.outcome == RunOutcome::Done);
            self.done.extend(done.map(|end| end.task.clone()));
            cell.handle_poll(id, &ExecutorReport { clock: now, present, ended }, now, now);
        }
    }

    /// Carries out an order; the answer is lost if there is no holder.
    fn deliver(&mut self, order: Order, cell: Option<&mut Cell>, all: &mut [Replayed], now: u64) {
        let (Order::Start { worker, .. } | Order::Stop { worker, .. }) = &order else { return };
        let Some(executor) = self.executors.get_mut(worker) else { return };
        if now < executor.silent_until {
            return;
        }
        match order {
            Order::Start { worker, task, run, lease_end, .. } => {
                let job = &mut all[job_of(&task)];
                job.starts += 1;
                let earlier = self.running.insert(task.clone(), worker.clone());
                assert!(earlier.is_none(), "{task} starts on {worker} and runs on {earlier:?}");
                let duration = job.durations[task.step];
                let (after, outcome) = match job.obstacle {
                    Some(Obstacle::Failing) => (duration / 4, RunOutcome::Failed),
                    Some(Obstacle::Deadly) => (TICK_MS, RunOutcome::Failed),
                    _ => (duration, RunOutcome::Done),
                };
                executor.lease_end = executor.lease_end.max(lease_end);
                let ends = now + after;
                executor.runs.push(Run { task: task.clone(), run, ends, duration, outcome });
                let Some(cell) = cell else { return };
                cell.handle_start_outcome(&worker, &task, run, StartOutcome::Running(now), now);
            }
            Order::Stop { worker, task, run, .. } => {
                let is_meant = |r: &&mut Run| r.task == task && r.ends > now + STOP_MS;
                if let Some(run) = executor.runs.iter_mut().find(is_meant) {
                    (run.ends, run.outcome) = (now + STOP_MS, RunOutcome::Stopped);
                }
                let Some(cell) = cell else { return };
                cell.handle_stop_answer(&worker, &task, run, true, now);
            }
            Order::Advise { .. } | Order::Pace { .. } => {}
        }
    }
}

/// Marks the refused jobs that the idle capacity of the replay would have served in time, those with
/// the least work first.
fn mark_servable(all: &mut [Replayed], idle: &mut [(u64, Resources)]) {
    for (_, free) in idle.iter_mut() {
        free.cpu = free.cpu * USABLE_IDLE_PERCENT / 100;
        free.memory = free.memory * USABLE_IDLE_PERCENT / 100;
    }
    let mut refused: Vec<usize> = (0..all.len()).filter(|n| all[*n].is_turned_away()).collect();
    refused.sort_by_key(|n| all[*n].work());
    for n in refused {
        let mut taken: Vec<(usize, Resources)> = Vec::new();
        let job = &all[n];
        let mut at = job.requested_at + 2 * STORE_DELAY_MS;
        for (step, duration) in job.job.steps.iter().zip(&job.durations) {
            let (begun, tasks) = (at, u64::from(step.count));
            let mut left = tasks * duration;
            for (slot, (time, free)) in idle.iter().enumerate().filter(|(_, (t, _))| *t >= begun) {
                let fits = (free.cpu / step.resources.cpu).min(free.memory / step.resources.memory);
                let used = fits.min(tasks);
                left = left.saturating_sub(used * TICK_MS);
                taken.push((slot, step.resources.times(used)));
                at = (*time).max(begun + duration) + POLL_INTERVAL_MS / 2 + TICK_MS;
                if left == 0 || *time > job.objective {
                    break;
                }
            }
            if left > 0 {
                at = u64::MAX / 2;
            }
        }
        if at + RESULT_DELAY_MS <= job.objective {
            all[n].servable = true;
            for (slot, used) in taken {
                idle[slot].1 = idle[slot].1.minus(used);
            }
        }
    }
}
