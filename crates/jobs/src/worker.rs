//! One incarnation of an executor, as its cell knows it.

use indexmap::IndexMap;
use strum::{Display, EnumString, IntoStaticStr};

use crate::job::TaskId;

/// Slowest rate of an executor's clock against true time, in thousandths (2 % slow).
const SLOW_CLOCK: u64 = 980;
/// How long after its last answer an executor still gets new tasks, in milliseconds; a bit over
/// two looks.
const FRESH: u64 = 2_500;
/// Failures in a row, with no success between, that set an executor aside.
const STRIKES: u32 = 3;
/// Age up to which a worker's speed counts, in milliseconds; after it the worker is tried again.
const LAG_AGE: u64 = 6_000;
/// How long an executor stays aside at first, in milliseconds; doubles up to eight times.
const ASIDE: u64 = 2_000;

/// Processor, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Room {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Mebibytes.
    pub memory: u64,
    /// Whole accelerators.
    pub gpus: u64,
}

impl Room {
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
    pub fn less(self, part: Self) -> Self {
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
    pub leaves: Option<u64>,
    /// Whole room.
    pub room: Room,
    /// Its kind and its rack.
    pub labels: Vec<String>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
pub enum How {
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
pub struct Present {
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Newest checkpoint; empty for none.
    pub saved: String,
    /// Share of the full speed, in percent.
    pub percent: u64,
    /// Tail latency in milliseconds for tasks that serve, else processor in use.
    pub gauge: u64,
}

/// A run that an executor lists as ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// Position in the executor's list, from 1.
    pub number: u64,
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// How it ended.
    pub how: How,
    /// Newest checkpoint; empty for none.
    pub saved: String,
}

/// What an executor answered when it was asked for its runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Look {
    /// Its own clock, in milliseconds.
    pub clock: u64,
    /// Runs present.
    pub present: Vec<Present>,
    /// Ends that have not been acknowledged.
    pub ended: Vec<Ended>,
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
    pub room: Room,
    /// How far it has come.
    pub phase: Phase,
    /// When it came to this phase, in milliseconds.
    pub since: u64,
    /// When the last order for it went out, in milliseconds.
    pub ordered: u64,
    /// Share of the full speed that it runs at, in percent.
    pub pace: u64,
    /// Progress when it was last seen, in percent; for lasting tasks the share of full speed.
    pub percent: u64,
    /// When the progress last changed, in milliseconds.
    pub moved: u64,
    /// Checkpoint that it has resumed from; empty for none.
    pub resumed: String,
    /// Whether it lasts until its job is cancelled, or may.
    pub lasting: bool,
}

/// What a cell knows of one executor.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Its registration, the newest seen.
    pub entry: Registration,
    /// Whether the registry lists it.
    pub listed: bool,
    /// Whether it has answered under this cell's epoch.
    pub joined: bool,
    /// Whether it is known to run nothing any more.
    pub dead: bool,
    /// Whether its machine is being emptied for planned work.
    pub leaving: bool,
    /// Room of the runs that it has or may have.
    pub used: Room,
    /// Runs that it has or may have.
    pub runs: IndexMap<TaskId, Slot>,
    /// Number of those that last.
    pub lasting: usize,
    /// Pace of the fillers on it, in percent.
    pub pace: u64,
    /// Highest number among the ends that were taken in.
    pub seen: u64,
    /// Highest number among the ends that are durable.
    pub durable: u64,
    /// When it last answered, in milliseconds.
    pub heard: u64,
    /// Its clock at that time.
    pub clock: u64,
    /// Latest lease end that it was given, by its own clock.
    pub granted: u64,
    /// How long its tasks take against others of their jobs, in percent; 0 while unknown.
    pub lag: u64,
    /// When that was last seen, in milliseconds.
    pub lagged: u64,
    /// Failures since the last success.
    pub strikes: u32,
    /// Until when it gets no new tasks.
    pub aside: u64,
    /// Orders without answer in a row.
    pub silent: u32,
}

impl Worker {
    /// A worker that has not been spoken to.
    pub fn new(entry: Registration) -> Self {
        Self {
            entry,
            listed: true,
            joined: false,
            dead: false,
            leaving: false,
            used: Room::default(),
            runs: IndexMap::new(),
            lasting: 0,
            pace: 100,
            seen: 0,
            durable: 0,
            heard: 0,
            clock: 0,
            granted: 0,
            lag: 0,
            lagged: 0,
            strikes: 0,
            aside: 0,
            silent: 0,
        }
    }

    /// Rack among its labels: the one that is not the kind.
    pub fn rack(&self) -> Option<&str> {
        self.entry.labels.get(1).map(String::as_str)
    }

    /// Room for new tasks.
    pub fn free(&self) -> Room {
        self.entry.room.less(self.used)
    }

    /// Whether new tasks may be sent to it.
    pub fn takes(&self, now: u64) -> bool {
        self.listed
            && self.joined
            && !self.dead
            && !self.leaving
            && self.entry.ready
            && self.silent == 0
            && now >= self.aside
            && now <= self.heard + FRESH
    }

    /// Its clock now, by the last answer.
    pub fn clock_at(&self, now: u64) -> u64 {
        self.clock + now.saturating_sub(self.heard)
    }

    /// Whether every lease that it was given has surely ended.
    pub fn lapsed(&self, now: u64) -> bool {
        let least = self.clock + now.saturating_sub(self.heard) * SLOW_CLOCK / 1_000;
        self.heard > 0 && least > self.granted
    }

    /// Notes an answer.
    pub fn answered(&mut self, clock: u64, now: u64) {
        self.heard = now;
        self.clock = self.clock.max(clock);
        self.silent = 0;
    }

    /// Takes a run in.
    pub fn occupy(&mut self, task: TaskId, slot: Slot) {
        self.vacate(&task);
        self.used.add(slot.room);
        self.lasting += usize::from(slot.lasting);
        self.runs.insert(task, slot);
    }

    /// Takes a run out.
    pub fn vacate(&mut self, task: &TaskId) -> Option<Slot> {
        let slot = self.runs.swap_remove(task)?;
        self.used = self.used.less(slot.room);
        self.lasting -= usize::from(slot.lasting);
        Some(slot)
    }

    /// Takes in how long a task is going to take against others of its job, in percent.
    pub fn observe_lag(&mut self, lag: u64, now: u64) {
        self.lag = if self.lag == 0 { lag } else { (self.lag * 4 + lag) / 5 };
        self.lagged = now;
    }

    /// How long its tasks take against others of their jobs, where that was seen lately.
    pub fn recent_lag(&self, now: u64) -> Option<u64> {
        (self.lag > 0 && now < self.lagged + LAG_AGE).then_some(self.lag)
    }

    /// Counts the end of a run towards its health.
    pub fn judge(&mut self, good: bool, now: u64) {
        if good {
            self.strikes = 0;
            return;
        }
        self.strikes += 1;
        if self.strikes >= STRIKES {
            self.aside = now + (ASIDE << (self.strikes - STRIKES).min(3));
        }
    }
}
