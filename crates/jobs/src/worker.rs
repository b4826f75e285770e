//! One incarnation of an executor, as its cell knows it.

use indexmap::IndexMap;
use strum::{Display, EnumString, IntoStaticStr};

use crate::job::TaskId;

/// Slowest rate of an executor's clock against true time, in thousandths (2 % slow).
const MIN_CLOCK_RATE_PER_MILLE: u64 = 980;
/// How long after its last answer an executor still gets new tasks, in milliseconds; a bit over
/// two looks.
const ANSWER_VALIDITY_MS: u64 = 2_500;
/// Failures in a row, with no success between, that set an executor aside.
const FAILURES_BEFORE_EXCLUSION: u32 = 3;
/// Age up to which a worker's speed counts, in milliseconds; after it the worker is tried again.
const SLOWDOWN_VALIDITY_MS: u64 = 6_000;
/// How long an executor stays aside at first, in milliseconds; doubles up to eight times.
const FIRST_EXCLUSION_MS: u64 = 2_000;

/// Processor, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Mebibytes.
    pub memory: u64,
    /// Whole accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Whether `need` fits in.
    pub fn fits(self, need: Self) -> bool {
        need.cpu <= self.cpu && need.memory <= self.memory && need.gpus <= self.gpus
    }

    /// Adds.
    pub fn add(&mut self, more: Self) {
        self.cpu += more.cpu;
        self.memory += more.memory;
        self.gpus += more.gpus;
    }

    /// Takes away, at least down to nothing.
    #[must_use]
    pub fn minus(self, part: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(part.cpu),
            memory: self.memory.saturating_sub(part.memory),
            gpus: self.gpus.saturating_sub(part.gpus),
        }
    }
}

/// An executor's entry in the platform's registry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Registration {
    /// Id of this incarnation.
    pub id: String,
    /// Pool that it belongs to.
    pub pool: String,
    /// Address for orders.
    pub address: String,
    /// Data centre.
    pub centre: String,
    /// Whether it takes new tasks.
    pub ready: bool,
    /// Least time until it leaves, in milliseconds, while it drains.
    pub drain_remaining: Option<u64>,
    /// Whole room.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<String>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
pub enum RunOutcome {
    /// With success.
    Done,
    /// By a fault of its own or of the executor.
    Failed,
    /// It was told to.
    Stopped,
    /// Its lease was not renewed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
}

/// A run that an executor lists as present.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PresentRun {
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Share of the full speed, in percent.
    pub percent: u64,
    /// Tail latency in milliseconds for tasks that serve, else processor in use.
    pub gauge: u64,
}

/// A run that an executor lists as ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Position in the executor's list, from 1.
    pub sequence: u64,
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// What an executor answered when it was asked for its runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ExecutorReport {
    /// Its own clock, in milliseconds.
    pub clock: u64,
    /// Runs present.
    pub present: Vec<PresentRun>,
    /// Ends that have not been acknowledged.
    pub ended: Vec<EndedRun>,
}

/// How far the cell has come with a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum Phase {
    /// The start is on its way.
    Sent,
    /// The start was not answered; the next look tells whether it has begun.
    Unsure,
    /// The executor confirmed the start.
    Running,
    /// A stop is wanted, its answer is missing.
    Stopping,
    /// The executor has taken the stop; the end is not listed yet.
    Stopped,
}

/// A run that an executor has or may have.
#[derive(Debug, Clone)]
pub struct Slot {
    /// Number of the run.
    pub run: u64,
    /// Room that it takes.
    pub resources: Resources,
    /// How far it has come.
    pub phase: Phase,
    /// When it came to this phase, in milliseconds.
    pub phase_since: u64,
    /// When the last order for it went out, in milliseconds.
    pub last_order_at: u64,
    /// Share of the full speed that it runs at, in percent.
    pub pace: u64,
    /// Progress when it was last seen, in percent; for lasting tasks the share of full speed.
    pub percent: u64,
    /// When the progress last changed, in milliseconds.
    pub progressed_at: u64,
    /// Checkpoint that it has resumed from; empty for none.
    pub resumed_from: String,
    /// Whether it lasts until its job is cancelled, or may.
    pub long_running: bool,
}

/// What a cell knows of one executor.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Its registration, the newest seen.
    pub registration: Registration,
    /// Whether the registry lists it.
    pub listed: bool,
    /// Whether it has answered under this cell's epoch.
    pub joined: bool,
    /// Whether it is known to run nothing any more.
    pub dead: bool,
    /// Whether its machine is being emptied for planned work.
    pub leaving: bool,
    /// Room of the runs that it has or may have.
    pub used: Resources,
    /// Runs that it has or may have.
    pub runs: IndexMap<TaskId, Slot>,
    /// Number of those that last.
    pub long_running: usize,
    /// Pace of the fillers on it, in percent.
    pub best_effort_pace: u64,
    /// Highest number among the ends that were taken in.
    pub last_seen_end: u64,
    /// Highest number among the ends that are durable.
    pub last_durable_end: u64,
    /// When it last answered, in milliseconds.
    pub last_answer_at: u64,
    /// Its clock at that time.
    pub clock: u64,
    /// Latest lease end that it was given, by its own clock.
    pub lease_end: u64,
    /// How long its tasks take against others of their jobs, in percent; 0 while unknown.
    pub slowdown: u64,
    /// When that was last seen, in milliseconds.
    pub slowdown_at: u64,
    /// Failures since the last success.
    pub failures: u32,
    /// Until when it gets no new tasks.
    pub excluded_until: u64,
    /// Orders without answer in a row.
    pub unanswered: u32,
}

impl Worker {
    /// A worker that has not been spoken to.
    pub fn new(entry: Registration) -> Self {
        Self {
            registration: entry,
            listed: true,
            joined: false,
            dead: false,
            leaving: false,
            used: Resources::default(),
            runs: IndexMap::new(),
            long_running: 0,
            best_effort_pace: 100,
            last_seen_end: 0,
            last_durable_end: 0,
            last_answer_at: 0,
            clock: 0,
            lease_end: 0,
            slowdown: 0,
            slowdown_at: 0,
            failures: 0,
            excluded_until: 0,
            unanswered: 0,
        }
    }

    /// Rack among its labels: the one that is not the kind.
    pub fn rack(&self) -> Option<&str> {
        self.registration.labels.get(1).map(String::as_str)
    }

    /// Room for new tasks.
    pub fn free(&self) -> Resources {
        self.registration.capacity.minus(self.used)
    }

    /// Whether new tasks may be sent to it.
    pub fn accepts_tasks(&self, now: u64) -> bool {
        self.listed
            && self.joined
            && !self.dead
            && !self.leaving
            && self.registration.ready
            && self.unanswered == 0
            && now >= self.excluded_until
            && now <= self.last_answer_at + ANSWER_VALIDITY_MS
    }

    /// Its clock now, by the last answer.
    pub fn clock_at(&self, now: u64) -> u64 {
        self.clock + now.saturating_sub(self.last_answer_at)
    }

    /// Whether every lease that it was given has surely ended.
    pub fn leases_expired(&self, now: u64) -> bool {
        let least =
            self.clock + now.saturating_sub(self.last_answer_at) * MIN_CLOCK_RATE_PER_MILLE / 1_000;
        self.last_answer_at > 0 && least > self.lease_end
    }

    /// Notes an answer.
    pub fn record_answer(&mut self, clock: u64, now: u64) {
        self.last_answer_at = now;
        self.clock = self.clock.max(clock);
        self.unanswered = 0;
    }

    /// Takes a run in.
    pub fn add_run(&mut self, task: TaskId, slot: Slot) {
        self.remove_run(&task);
        self.used.add(slot.resources);
        self.long_running += usize::from(slot.long_running);
        self.runs.insert(task, slot);
    }

    /// Takes a run out.
    pub fn remove_run(&mut self, task: &TaskId) -> Option<Slot> {
        let slot = self.runs.swap_remove(task)?;
        self.used = self.used.minus(slot.resources);
        self.long_running -= usize::from(slot.long_running);
        Some(slot)
    }

    /// Takes in how long a task is going to take against others of its job, in percent.
    pub fn observe_slowdown(&mut self, lag: u64, now: u64) {
        self.slowdown = if self.slowdown == 0 { lag } else { (self.slowdown * 4 + lag) / 5 };
        self.slowdown_at = now;
    }

    /// How long its tasks take against others of their jobs, where that was seen lately.
    pub fn recent_slowdown(&self, now: u64) -> Option<u64> {
        (self.slowdown > 0 && now < self.slowdown_at + SLOWDOWN_VALIDITY_MS)
            .then_some(self.slowdown)
    }

    /// Counts the end of a run towards its health.
    pub fn record_run_end(&mut self, good: bool, now: u64) {
        if good {
            self.failures = 0;
            return;
        }
        self.failures += 1;
        if self.failures >= FAILURES_BEFORE_EXCLUSION {
            self.excluded_until =
                now + (FIRST_EXCLUSION_MS << (self.failures - FAILURES_BEFORE_EXCLUSION).min(3));
        }
    }
}
