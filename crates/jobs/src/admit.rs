//! Admission control for new jobs.
//!
//! Load pattern: during a queue's demand peak, jobs arrive several times as fast as the pool can
//! process them. Jobs that can still meet their objective run before late ones, so a late backlog,
//! such as an outage leaves behind, does not delay new jobs. A job that can't meet its objective
//! only has to end while its result is still useful. At the start of a peak most machines are still
//! moving to the pool; their capacity counts from their arrival. A job that would end too late is
//! refused at once with a retry delay, which differs between jobs. A job whose tasks no executor of
//! the pool can run is refused, too.
//!
//! Dozens of processes admit jobs by a load that is some hundred milliseconds old. With
//! [`Policy::LatestStart`] the holder therefore publishes an [`Outlook`]: the waiting work by its
//! place in the scheduling order, for CPU and memory, and the work that was accepted lately, which
//! stands for what was accepted since. A retried job has less time left, because its objective
//! counts from the client's first request.

use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

use crate::job::{Job, Step};
use crate::order::{Candidate, Policy, USEFUL_SPAN_PERCENT};
use crate::place::required_resources;
use crate::worker::Resources;

/// Most unfinished jobs of a cell. This bounds the cell's memory and the time in which a new holder
/// reads the jobs back from the table.
pub const MAX_JOBS: usize = 4_000;

/// Load of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of accepted jobs that have not ended.
    pub jobs: usize,
    /// Waiting work of jobs that can still meet their objective, in thousandths of a core times
    /// milliseconds.
    pub timely_backlog: u64,
    /// All waiting work whose result can still be useful, in thousandths of a core times
    /// milliseconds.
    pub backlog: u64,
    /// CPU capacity of the executors that accept tasks, in thousandths of a core.
    pub capacity: u64,
    /// CPU capacity of the machines that are moving to the pool, in thousandths of a core.
    pub incoming_capacity: u64,
    /// Time until these machines arrive, in milliseconds.
    pub incoming_delay: u64,
}

impl Load {
    /// Time that the pool takes for an amount of work, in milliseconds.
    ///
    /// Returns 0 for a pool without any capacity: it is about to get machines, or its holder has
    /// just changed.
    fn drain_time(&self, work: u64) -> u64 {
        let done_before = self.capacity * self.incoming_delay;
        if self.incoming_capacity == 0 || work <= done_before {
            return work.checked_div(self.capacity).unwrap_or(0);
        }
        self.incoming_delay + (work - done_before) / (self.capacity + self.incoming_capacity)
    }
}

/// Admission decision for a new job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The job is accepted.
    Accept,
    /// The job would end too late or the cell is full; the client may retry after this many
    /// milliseconds.
    Refuse(u64),
}

/// Decides whether to accept a job.
///
/// `objective` is the time in which the job should be completed, counted from the client's first
/// request. `critical_path` is the estimated duration of the job itself, and `waited` the time
/// since the first request. All are in milliseconds.
///
/// # Examples
///
/// ```
/// use jobs::admit::{Load, Verdict, decide};
/// let load = Load {
///     jobs: 10,
///     timely_backlog: 8_000_000,
///     backlog: 8_000_000,
///     capacity: 4_000,
///     ..Load::default()
/// };
/// assert_eq!(decide(&load, 2_000, 1_000, 0), Verdict::Accept);
/// assert_eq!(decide(&load, 500, 400, 0), Verdict::Refuse(900));
/// // A late backlog does not delay a job that can meet its objective.
/// assert_eq!(decide(&Load { timely_backlog: 0, ..load }, 500, 400, 0), Verdict::Accept);
/// ```
pub fn decide(load: &Load, objective: u64, critical_path: u64, waited: u64) -> Verdict {
    if load.jobs >= MAX_JOBS {
        return Verdict::Refuse(load.drain_time(load.backlog).max(1_000));
    }
    let excess = |work, limit: u64| {
        load.drain_time(work).saturating_sub(limit.saturating_sub(waited + critical_path))
    };
    let (timely_excess, useful_excess) = (
        excess(load.timely_backlog, objective),
        excess(load.backlog, objective * USEFUL_SPAN_PERCENT / 100),
    );
    match timely_excess.min(useful_excess) {
        0 => Verdict::Accept,
        delay => Verdict::Refuse(delay),
    }
}

/// Part of a pool's capacity that tasks can use, in percent; the rest is left over on executors whose
/// other resource is used up, or waits for ends to be reported.
const USABLE_PERCENT: u64 = 92;
/// Time from a job's acceptance until the scheduler knows it, in milliseconds: the work accepted in
/// this time before a load was published is not in it.
const ACCEPTANCE_DELAY_MS: u64 = 60;
/// Part of the later steps of waiting jobs that counts as ahead of a new job, in percent; they become
/// due only once the earlier ones are done.
const LATER_STEPS_PERCENT: u64 = 50;
/// Share of the steps that a started job has yet to begin that counts as ahead of a new job, in
/// percent.
const STARTED_STEPS_PERCENT: u64 = 70;
/// Most entries of each list of an [`Outlook`]; every process reads them every few hundred
/// milliseconds.
const MAX_ENTRIES: usize = 12;
/// Safety margin on the critical path of a new job, in percent.
const PATH_MARGIN_PERCENT: u64 = 20;
/// Time that a job takes beyond its wait and its critical path, in milliseconds.
const OVERHEAD_MS: u64 = 200;
/// Time by which a predicted wait may exceed the one that a job can afford, in milliseconds. In replays
/// of peaks most such jobs were in time; without it, value was lost in a pool of large jobs.
const WAIT_TOLERANCE_MS: u64 = 300;
/// Shortest retry delay, in milliseconds; about the age that a load can have.
const MIN_RETRY_MS: u64 = 300;
/// Retry delay of a job that no executor can run, in milliseconds; many times the time in which the
/// pool or the limits may change.
const UNSERVABLE_RETRY_MS: u64 = 30_000;

/// CPU and memory, either as capacities or as capacities times milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount(
    /// CPU, in thousandths of a core.
    pub u64,
    /// Memory, in MB.
    pub u64,
);

impl Amount {
    /// Work of `tasks` tasks with these needs, each for a duration in milliseconds.
    pub fn of_tasks(tasks: u64, need: Resources, duration: u64) -> Self {
        let time = tasks.saturating_mul(duration);
        Self(need.cpu.saturating_mul(time), need.memory.saturating_mul(time))
    }

    /// Adds an amount.
    pub fn add(&mut self, other: Self) {
        self.0 = self.0.saturating_add(other.0);
        self.1 = self.1.saturating_add(other.1);
    }

    fn percent(self, percent: u64) -> Self {
        Self(self.0 / 100 * percent, self.1 / 100 * percent)
    }
}

/// Work of a job: what can start now, and its later steps.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobWork {
    /// Work of the open tasks whose predecessors are done.
    pub ready: Amount,
    /// Work of the tasks that wait for others of the job.
    pub later: Amount,
}

impl JobWork {
    /// Work of a job that has not started.
    pub fn of(job: &Job) -> Self {
        let mut work = Self::default();
        for step in &job.steps {
            let need = required_resources(step);
            let amount = Amount::of_tasks(u64::from(step.count), need, step.estimate);
            if step.depends_on.is_empty() { &mut work.ready } else { &mut work.later }.add(amount);
        }
        work
    }

    fn weighted(self, later_percent: u64) -> Amount {
        let mut all = self.later.percent(later_percent);
        all.add(self.ready);
        all
    }
}

/// What a new job has to wait for in a pool, by the order in which the pool serves.
///
/// Work of late jobs is left out, as it waits for jobs that can be in time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outlook {
    /// Work that started jobs have yet to begin.
    #[serde(rename = "s")]
    started: Amount,
    /// Work of waiting jobs by their place in the order, less the time of the outlook, in
    /// milliseconds; each entry goes up to its place.
    #[serde(rename = "w")]
    waiting: Vec<(i64, Amount)>,
    /// Work accepted within [`ARRIVAL_WINDOW_MS`], by the place in the order that its jobs had, less
    /// the time of their first request, in milliseconds.
    #[serde(rename = "a")]
    arrivals: Vec<(i64, Amount)>,
    /// Capacity of the executors that accept tasks.
    #[serde(rename = "c")]
    capacity: Amount,
    /// Part of it that is free.
    #[serde(rename = "f")]
    free: Amount,
    /// Largest amount of each resource that an executor has: CPU, memory and accelerators.
    #[serde(rename = "l")]
    largest: (u64, u64, u64),
}

/// Time over which accepted work is summed up, in milliseconds.
pub const ARRIVAL_WINDOW_MS: u64 = 400;

/// Jobs of a cell, from which its outlook is computed.
#[derive(Debug, Default)]
pub struct OutlookBuilder {
    started: Amount,
    waiting: Vec<WaitingJob>,
    arrivals: Vec<(i64, Amount)>,
}

/// A job that has not started and can be in time.
#[derive(Debug)]
struct WaitingJob {
    /// Place in the order, in milliseconds from now.
    place: i64,
    /// Time until its latest start, in milliseconds.
    spare: u64,
    work: Amount,
    /// Entry among the arrivals, if it is one.
    arrival: Option<(i64, Amount)>,
}

impl OutlookBuilder {
    /// Adds a job that has not ended, with its open work at the time `now`.
    ///
    /// `accepted` is its whole work if it was accepted within [`ARRIVAL_WINDOW_MS`].
    pub fn add_job(
        &mut self,
        candidate: &Candidate,
        open: JobWork,
        accepted: Option<JobWork>,
        now: u64,
    ) {
        let arrival = accepted.map(|work| {
            let place = candidate.place().cast_signed() - candidate.requested_at.cast_signed();
            (place, work.weighted(LATER_STEPS_PERCENT))
        });
        if candidate.is_new_and_timely(now) {
            self.waiting.push(WaitingJob {
                place: candidate.place().cast_signed() - now.cast_signed(),
                spare: candidate.latest_start().saturating_sub(now),
                work: open.weighted(LATER_STEPS_PERCENT),
                arrival,
            });
            return;
        }
        self.arrivals.extend(arrival);
        if candidate.is_started_and_timely(now) {
            self.started.add(open.weighted(STARTED_STEPS_PERCENT));
        }
    }

    /// Completes the outlook with the capacity of the pool.
    ///
    /// Waiting jobs whose turn would come after their latest start are left out: others will pass them.
    pub fn build(mut self, capacity: Amount, free: Amount, largest: Resources) -> Outlook {
        self.waiting.sort_unstable_by_key(|job| job.place);
        let mut begun = self.started;
        let mut waiting = Vec::with_capacity(self.waiting.len());
        for job in self.waiting {
            let time = |capacity, work| {
                Supply { capacity, absorbed: 0, incoming: Incoming::default(), age: 0 }
                    .time_for(work)
            };
            if time(capacity.0, begun.0).max(time(capacity.1, begun.1)) <= job.spare {
                begun.add(job.work);
                waiting.push((job.place, job.work));
                self.arrivals.extend(job.arrival);
            }
        }
        Outlook {
            started: self.started,
            waiting: compress(waiting),
            arrivals: compress(self.arrivals),
            capacity,
            free,
            largest: (largest.cpu, largest.memory, largest.gpus),
        }
    }
}

/// Merges the entries of a list into at most [`MAX_ENTRIES`], in the order of their places.
fn compress(mut entries: Vec<(i64, Amount)>) -> Vec<(i64, Amount)> {
    entries.sort_unstable_by_key(|(place, _)| *place);
    let size = entries.len().div_ceil(MAX_ENTRIES).max(1);
    let merge = |part: &[(i64, Amount)]| {
        let mut all = Amount::default();
        part.iter().for_each(|(_, amount)| all.add(*amount));
        (part.last().map_or(0, |(place, _)| *place), all)
    };
    entries.chunks(size).map(merge).collect()
}

/// A job that asks for admission.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Id of the job; spreads the retries of several.
    pub id: &'a str,
    /// The job.
    pub job: &'a Job,
    /// Priority of its queue.
    pub priority: u32,
    /// Whether it is beyond the weight of its organisation.
    pub beyond_share: bool,
    /// Time in which the job should be completed, from the client's first request, in milliseconds.
    pub objective: u64,
    /// Time since the client's first request, in milliseconds.
    pub waited: u64,
}

/// Machines on their way to a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Incoming {
    /// Their CPU capacity, in thousandths of a core.
    pub cpu: u64,
    /// Time until they arrive, in milliseconds.
    pub delay: u64,
}

impl Outlook {
    /// Predicts how long a job waits until its first tasks start, in milliseconds; `age` is the age of
    /// the outlook.
    ///
    /// Work that was accepted since is extrapolated from the latest arrivals. Work that comes later is
    /// left out: at the end of a peak it would keep out jobs that are in time.
    fn wait(&self, request: &Request<'_>, incoming: Incoming, age: u64) -> u64 {
        let candidate = Candidate {
            policy: Policy::LatestStart,
            long_running: false,
            started: false,
            priority: request.priority,
            beyond_share: request.beyond_share,
            requested_at: 0,
            objective: request.objective,
            critical_path: request.job.critical_path(),
            work: request.job.work(),
        };
        // Place in the order by the first request, and by the time of the outlook.
        let place = candidate.place().cast_signed() - request.waited.cast_signed();
        let mut ahead = self.started;
        for (other, amount) in &self.waiting {
            if *other <= place + age.cast_signed() {
                ahead.add(*amount);
            }
        }
        let unseen = (age + ACCEPTANCE_DELAY_MS).cast_signed();
        for (other, amount) in &self.arrivals {
            let span = (unseen + place - other).clamp(0, unseen).cast_unsigned();
            ahead.add(amount.percent(span * 100 / ARRIVAL_WINDOW_MS));
        }
        // The job's own first tasks start one after the other, on average after half of them.
        ahead.add(JobWork::of(request.job).ready.percent(50));
        let task = request.job.steps.iter().map(|step| step.estimate).max().unwrap_or(0);
        let absorbed = |free: u64, capacity: u64| {
            free.saturating_sub(capacity * (100 - USABLE_PERCENT) / 100).saturating_mul(task)
        };
        let memory = incoming.cpu.saturating_mul(self.capacity.1);
        let memory = memory.checked_div(self.capacity.0).unwrap_or(0);
        let cpu_wait = Supply {
            capacity: self.capacity.0,
            absorbed: absorbed(self.free.0, self.capacity.0),
            incoming: Incoming { cpu: incoming.cpu, ..incoming },
            age,
        };
        let memory_wait = Supply {
            capacity: self.capacity.1,
            absorbed: absorbed(self.free.1, self.capacity.1),
            incoming: Incoming { cpu: memory, ..incoming },
            age,
        };
        cpu_wait.time_for(ahead.0).max(memory_wait.time_for(ahead.1))
    }

    /// Whether an executor of the pool could run each task of a job; true if no executor is known.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::admit::Outlook;
    /// assert!(Outlook::default().can_run(&jobs::Job::default()));
    /// ```
    pub fn can_run(&self, job: &Job) -> bool {
        let (cpu, memory, gpus) = self.largest;
        let largest = Resources { cpu, memory, gpus };
        let fits = |step: &Step| largest.fits(required_resources(step));
        largest == Resources::default() || job.steps.iter().all(fits)
    }
}

/// What a pool has of one resource.
struct Supply {
    capacity: u64,
    /// Work that the free capacity takes at once.
    absorbed: u64,
    /// Machines on the way, with their amount of this resource in place of CPU.
    incoming: Incoming,
    /// Time for which the pool has worked since the state was observed, in milliseconds.
    age: u64,
}

impl Supply {
    /// Time until an amount of work has begun, in milliseconds; 0 for a pool without any capacity,
    /// whose holder is new or which is about to get machines.
    fn time_for(&self, work: u64) -> u64 {
        let usable = |amount: u64| amount / 100 * USABLE_PERCENT;
        let (now, later) = (usable(self.capacity), usable(self.incoming.cpu));
        let left = work.saturating_sub(self.absorbed).saturating_sub(now * self.age);
        let done_before = now.saturating_mul(self.incoming.delay);
        if later == 0 || left <= done_before {
            return left.checked_div(now).unwrap_or(0);
        }
        self.incoming.delay + (left - done_before) / (now + later)
    }
}

/// Decides whether to accept a job by the outlook of its pool, which is `age` milliseconds old.
///
/// A job is accepted if its first tasks are predicted to start early enough for it to be in time. One
/// that can no longer be in time is accepted only if the pool has room at once.
///
/// # Examples
///
/// ```
/// use jobs::admit::{Incoming, Outlook, Request, Verdict, decide_by_outlook};
/// let job = jobs::Job::default();
/// let request = Request {
///     id: "a",
///     job: &job,
///     priority: 0,
///     beyond_share: false,
///     objective: 600,
///     waited: 5_000,
/// };
/// let outlook = Outlook::default();
/// let verdict = decide_by_outlook(&outlook, 1, &request, Incoming::default(), 200);
/// assert_eq!(verdict, Verdict::Accept, "a pool without a known capacity refuses nothing");
/// ```
pub fn decide_by_outlook(
    outlook: &Outlook,
    jobs: usize,
    request: &Request<'_>,
    incoming: Incoming,
    age: u64,
) -> Verdict {
    // Machines on the way may be larger than those of the pool.
    if incoming.cpu == 0 && !outlook.can_run(request.job) {
        return Verdict::Refuse(unservable_retry(request.id));
    }
    let wait = outlook.wait(request, incoming, age);
    if jobs >= MAX_JOBS {
        return Verdict::Refuse(spread(wait.max(1_000), request.id));
    }
    let critical_path = request.job.critical_path();
    let needed = request.waited + critical_path * (100 + PATH_MARGIN_PERCENT) / 100 + OVERHEAD_MS;
    match request.objective.checked_sub(needed) {
        _ if wait == 0 => Verdict::Accept,
        Some(slack) if wait <= slack + WAIT_TOLERANCE_MS => Verdict::Accept,
        _ => Verdict::Refuse(spread(wait, request.id)),
    }
}

/// Retry delay of a job that can't run at all under the present limits, in milliseconds.
pub fn unservable_retry(id: &str) -> u64 {
    spread(UNSERVABLE_RETRY_MS, id)
}

/// Retry delay of a refused job, in milliseconds: longer by up to half, by its id, so that clients
/// refused at the same time come back one after the other.
fn spread(delay: u64, id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    let delay = delay.max(MIN_RETRY_MS);
    delay + hasher.finish() % (delay / 2)
}
