//! Simulated pool for the replay of demand peaks: executors, a cell, processes that admit jobs by a
//! published load, and clients that retry.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use jobs::admit::{self, Incoming, Outlook, Request, Verdict};
use jobs::cell::{Arrival, Order, StartOutcome};
use jobs::order::Policy;
use jobs::worker::{EndedRun, PresentRun};
use jobs::{
    Cell, CellConfig, ExecutorReport, Job, Progress, Queue, Registration, Resources, RunOutcome,
    State, Step, TaskId,
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
}

/// A job of the replay, with what became of it.
#[derive(Debug, Clone)]
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
}

#[derive(Default)]
struct Executor {
    runs: Vec<Run>,
    ended: Vec<EndedRun>,
    ended_count: u64,
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
    let end = (peak + PEAK_MS + HOT_TAIL_MS) as f64;
    loop {
        now += rng.arrival_gap(most);
        if now >= end {
            return jobs;
        }
        let at = now as u64;
        let factor = match () {
            () if at < peak || at >= peak + PEAK_MS => 0.05,
            () if at >= peak + PEAK_MS / 2 => 5.0 * scenario.second_half,
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
        accepted_at: None,
        refusals: 0,
        completed_at: None,
        servable: false,
    }
}

/// Replays a peak and returns its jobs.
pub fn replay(scenario: &Scenario, seed: u64) -> Vec<Replayed> {
    let mut rng = SeededRng(seed);
    let mut all = draw_jobs(scenario, &mut rng);
    let rules = CellConfig {
        lease: 6_000,
        inherited_lease: 16_000,
        stop_timeout: 200,
        early_start: 0,
        term: 1,
    };
    let mut cell = Cell::new(rules, 0);
    let queue = Queue {
        name: "q".to_owned(),
        max_attempts: 3,
        stretch: 1_600,
        objective_base: 600,
        ..Queue::default()
    };
    cell.configure(std::iter::once(&queue));
    cell.set_policy(Policy::LatestStart);
    let total: f64 = scenario.weights.iter().sum();
    let names: Vec<String> = (0..scenario.weights.len()).map(|n| format!("o{n}")).collect();
    if scenario.shared {
        // Together the weights allow the rate of the peak.
        let weights = scenario.weights.iter().map(|w| (w / total * 5_000.0 * scenario.rate) as u64);
        cell.configure_shares(names.iter().map(String::as_str).zip(weights));
    }
    let peak = START_MS + LEAD_MS;
    let (initial, later) = scenario.machines;
    let arrives =
        |n: u64| if n < initial { 0 } else { peak + 1_500 + 1_500 * (n - initial) / later };
    let mut pool: IndexMap<String, Executor> = IndexMap::new();
    let mut orders: BTreeMap<u64, Vec<Order>> = BTreeMap::new();
    let mut requests: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    for (n, job) in all.iter().enumerate() {
        requests.entry(job.requested_at).or_default().push(n);
    }
    let mut stored: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    let mut published: Vec<(u64, View)> = Vec::new();
    let mut idle: Vec<(u64, Resources)> = Vec::new();
    let end = peak + PEAK_MS + FINISH_MS;
    for now in (START_MS..end).step_by(TICK_MS as usize) {
        for n in pool.len() as u64..initial + later {
            if arrives(n) > now {
                break;
            }
            let id = format!("w{n}");
            cell.register(registration(&id));
            let report = ExecutorReport { clock: now, ..ExecutorReport::default() };
            cell.handle_poll(&id, &report, now, now);
            pool.insert(id, Executor::default());
        }
        for n in take_due(&mut requests, now) {
            let process = (rng.uniform() * PROCESSES as f64) as u64;
            let offset = process * READ_INTERVAL_MS / PROCESSES;
            let read_at = now - (now + offset) % READ_INTERVAL_MS;
            let view = published.iter().rfind(|(at, _)| at + PUBLISH_DELAY_MS <= read_at);
            match decide(view, &queue, &format!("{n:016x}"), &all[n], now) {
                Verdict::Accept => {
                    all[n].accepted_at = Some(now);
                    stored.entry(now + STORE_DELAY_MS).or_default().push(n);
                }
                Verdict::Refuse(delay) => {
                    all[n].refusals += 1;
                    if all[n].refusals <= MAX_RETRIES {
                        requests.entry(now + delay.max(TICK_MS)).or_default().push(n);
                    }
                }
            }
        }
        for n in take_due(&mut stored, now) {
            cell.admit(Arrival {
                id: format!("{n:016x}"),
                part: "q".to_owned(),
                queue: "q".to_owned(),
                organisation: all[n].organisation.map(|n| format!("o{n}")),
                job: all[n].job.clone(),
                progress: Progress::default(),
                requested_at: all[n].requested_at,
                inherited: false,
                start_blocked: false,
            });
        }
        poll_executors(&mut cell, &mut pool, now);
        for order in orders.remove(&now).unwrap_or_default() {
            let Order::Start { worker, task, run, .. } = order else { continue };
            let job = usize::from_str_radix(&task.job, 16).unwrap();
            let duration = all[job].durations[task.step];
            let ends = now + duration;
            pool[&worker].runs.push(Run { task: task.clone(), run, ends, duration });
            cell.handle_start_outcome(&worker, &task, run, StartOutcome::Running(now), now);
        }
        orders.entry(now + TICK_MS).or_default().extend(cell.tick(now, 0));
        let (changes, flush) = cell.take_changes();
        for change in changes.iter().filter(|c| c.state == State::Completed) {
            let job = usize::from_str_radix(&change.id, 16).unwrap();
            all[job].completed_at = Some(now + RESULT_DELAY_MS);
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
            let coming = (0..initial + later).map(arrives).filter(|at| *at > now);
            let coming: Vec<u64> = coming.filter(|at| *at < now + 2_000 && now >= peak).collect();
            published.push((now, View::new(&cell, &coming, now)));
        }
    }
    mark_servable(&mut all, &mut idle);
    all
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
    now: u64,
) -> Verdict {
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

/// Ends runs that are due, and polls the executors whose turn it is.
fn poll_executors(cell: &mut Cell, pool: &mut IndexMap<String, Executor>, now: u64) {
    for (at, (id, executor)) in pool.iter_mut().enumerate() {
        let due = executor.runs.extract_if(.., |run| run.ends <= now);
        for run in due.collect::<Vec<Run>>() {
            executor.ended_count += 1;
            executor.ended.push(EndedRun {
                sequence: executor.ended_count,
                task: run.task,
                run: run.run,
                outcome: RunOutcome::Done,
                checkpoint: String::new(),
            });
        }
        let polls = POLL_INTERVAL_MS / TICK_MS;
        if (now / TICK_MS) % polls != at as u64 % polls {
            continue;
        }
        let percent = |r: &Run| 100 - r.ends.saturating_sub(now) * 100 / r.duration.max(1);
        let present = executor.runs.iter().map(|r| PresentRun {
            task: r.task.clone(),
            run: r.run,
            checkpoint: String::new(),
            percent: percent(r),
            gauge: 0,
        });
        let report = ExecutorReport {
            clock: now,
            present: present.collect(),
            ended: std::mem::take(&mut executor.ended),
        };
        cell.handle_poll(id, &report, now, now);
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
