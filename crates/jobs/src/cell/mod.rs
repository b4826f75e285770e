//! The scheduler of one cell: the jobs given to a share of a pool's executors.
//!
//! A state machine: events and the time go in, [`Order`]s and [`JobChange`]s come out. What may be
//! running somewhere keeps its room and keeps its task from starting again until an executor has
//! listed its end or its lease has surely run out.

mod advice;
mod assign;
mod drain;
mod look;
mod outcome;
mod record;
mod stall;
mod survey;

use std::rc::Rc;

use indexmap::{IndexMap, IndexSet};

use advice::Advice;
pub use outcome::{Refusal, StartOutcome};
pub use record::{Flush, JobChange};
pub use survey::{ShrinkLimits, Usage};

use crate::job::{Job, State, TaskId};
use crate::order::Waiting;
use crate::progress::Progress;
use crate::queue::Queue;
use crate::worker::{Registration, Worker};

/// Runs that one holder of a cell may number for a task before its successor's numbers begin.
const RUNS_A_TERM: u64 = 1_000;

/// Ended jobs that are remembered, so that a row read before their end does not bring them back.
const REMEMBERED: usize = 10_000;

/// Figures that the scheduler works with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CellConfig {
    /// Lease that executors get, in milliseconds.
    pub lease: u64,
    /// Longest time for which a former holder's leases can go on, in milliseconds.
    pub inherited_lease: u64,
    /// Longest time from a stop to the end of the run, in milliseconds.
    pub stop_timeout: u64,
    /// How long before its due time an occurrence may start, in milliseconds.
    pub early_start: u64,
    /// Number of this holder, counted from 1.
    pub term: u64,
}

/// What has to be sent to an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Start a run.
    Start {
        /// Incarnation of the executor.
        worker: String,
        /// Task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Text for the task.
        payload: Rc<str>,
        /// End of the executor's lease, by its own clock.
        expires: u64,
        /// Checkpoint to resume from; empty for none.
        checkpoint: String,
        /// Permission of the adviser; empty where none is needed.
        ticket: String,
    },
    /// Stop a run.
    Stop {
        /// Incarnation of the executor.
        worker: String,
        /// Task.
        task: TaskId,
        /// Number of the run.
        run: u64,
    },
    /// Ask the adviser which executors may run a step.
    Advise {
        /// First task of the step, which names it.
        step: TaskId,
        /// Incarnations to ask for.
        workers: Vec<String>,
    },
    /// Let a run work at a share of its speed.
    Pace {
        /// Incarnation of the executor.
        worker: String,
        /// Task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Share in percent.
        percent: u64,
    },
}

/// One task of an occurrence.
#[derive(Debug, Clone, Default)]
struct Task {
    done: bool,
    /// Numbers of the runs that failed.
    failed: Vec<u64>,
    /// Highest number of a run.
    run: u64,
    /// Executor that has or may have it.
    live: Option<String>,
    checkpoint: String,
    /// Earliest time of the next start, in milliseconds.
    after: u64,
    /// Executors on which it has failed.
    avoid: Vec<String>,
}

/// One step of an occurrence.
#[derive(Debug, Clone, Default)]
struct StepState {
    tasks: Vec<Task>,
    /// Tasks that are done.
    done: usize,
    /// Tasks that neither are done nor have a run.
    open: usize,
    advice: Advice,
}

impl StepState {
    fn is_done(&self) -> bool {
        self.done == self.tasks.len()
    }
}

/// A job in the cell.
#[derive(Debug)]
struct Entry {
    part: String,
    queue: String,
    job: Job,
    payload: Rc<str>,
    waiting: Waiting,
    state: State,
    /// State that is durable.
    shown: State,
    /// Whether an earlier holder may have begun it.
    inherited: bool,
    /// Whether a successor would not know yet that it may have begun.
    start_blocked: bool,
    past: u32,
    /// Occurrences below this number have begun.
    begun: u32,
    turns: IndexMap<u32, Vec<StepState>>,
    /// How long its tasks take against their estimates: number of samples and mean in percent.
    pace: (u64, u64),
    /// When its first task was started by this holder, in milliseconds.
    first: Option<u64>,
    /// Processor time that its ended runs have held, in thousandths of a core times milliseconds.
    spent: u64,
}

/// A job to take into a cell.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Id.
    pub id: String,
    /// Part of the table that holds it.
    pub part: String,
    /// Queue that it came to.
    pub queue: String,
    /// The job.
    pub job: Job,
    /// What is durable of its progress.
    pub progress: Progress,
    /// When its client first asked for it, by the cell's clock, in milliseconds.
    pub requested: u64,
    /// Whether an earlier holder may have begun it; it then waits until each executor of that holder
    /// has answered.
    pub inherited: bool,
    /// Whether a successor would not know yet that it may have begun; it then waits for
    /// [`Cell::allow_start`].
    pub start_blocked: bool,
}

/// The scheduler of one cell.
#[derive(Debug)]
pub struct Cell {
    rules: CellConfig,
    /// When this holder took the cell, in milliseconds.
    since: u64,
    /// Latest time at which this holder surely held the cell, in milliseconds.
    confirmed: u64,
    queues: IndexMap<String, Queue>,
    jobs: IndexMap<String, Entry>,
    workers: IndexMap<String, Worker>,
    orders: Vec<Order>,
    dirty: IndexSet<String>,
    /// Executors that earlier holders used.
    inherited: IndexSet<String>,
    /// Executors to be emptied, known or not.
    leaving: IndexSet<String>,
    /// Jobs whose end is durable.
    ended: IndexSet<String>,
    superseded: bool,
    /// Executors that the last pass compared for its tasks.
    rated: usize,
}

impl Cell {
    /// A cell without jobs, taken at `now`.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::{Cell, CellConfig};
    /// let rules = CellConfig { lease: 6_000, inherited_lease: 16_000, stop_timeout: 900, early_start: 0, term: 1 };
    /// let mut cell = Cell::new(rules, 0);
    /// assert!(cell.tick(10, 0).is_empty());
    /// ```
    pub fn new(rules: CellConfig, now: u64) -> Self {
        Self {
            rules,
            since: now,
            confirmed: now,
            queues: IndexMap::new(),
            jobs: IndexMap::new(),
            workers: IndexMap::new(),
            orders: Vec::new(),
            dirty: IndexSet::new(),
            inherited: IndexSet::new(),
            leaving: IndexSet::new(),
            ended: IndexSet::new(),
            superseded: false,
            rated: 0,
        }
    }

    /// Takes the rules of the queues; unknown queues keep the last that were known.
    pub fn configure<'a>(&mut self, queues: impl Iterator<Item = &'a Queue>) {
        for queue in queues {
            self.queues.insert(queue.name.clone(), queue.clone());
        }
        for entry in self.jobs.values_mut() {
            if let Some(queue) = self.queues.get(&entry.queue) {
                entry.waiting = waiting(queue, &entry.job, entry.waiting.asked);
            }
        }
    }

    /// Takes a job in and says whether it is new; a job that is there already stays as it is.
    pub fn admit(&mut self, arrival: Arrival) -> bool {
        if self.jobs.contains_key(&arrival.id) || self.ended.contains(&arrival.id) {
            return false;
        }
        let blank = Queue { attempts: 1, ..Queue::default() };
        let queue = self.queues.get(&arrival.queue).unwrap_or(&blank);
        let begun = arrival.progress.begun;
        let mut entry = Entry {
            waiting: waiting(queue, &arrival.job, arrival.requested),
            payload: Rc::from(arrival.job.payload.as_str()),
            part: arrival.part,
            queue: arrival.queue,
            state: if begun { State::Running } else { State::Queued },
            shown: if begun { State::Running } else { State::Queued },
            inherited: arrival.inherited,
            start_blocked: arrival.start_blocked,
            past: arrival.progress.past,
            begun: arrival.progress.past,
            turns: IndexMap::new(),
            pace: (0, 0),
            first: None,
            spent: 0,
            job: arrival.job,
        };
        for (turn, steps) in &arrival.progress.turns {
            let mut states = blank_steps(&entry.job);
            for (state, durable) in states.iter_mut().zip(steps) {
                record::restore(state, durable);
            }
            entry.turns.insert(*turn, states);
        }
        self.jobs.insert(arrival.id.clone(), entry);
        self.settle_job(&arrival.id);
        true
    }

    /// Ends a job because its client wants it no more.
    pub fn cancel(&mut self, id: &str, now: u64) {
        self.end_job(id, State::Cancelled, now);
    }

    /// Notes that a successor will know that a job may have begun.
    pub fn allow_start(&mut self, id: &str) {
        if let Some(entry) = self.jobs.get_mut(id) {
            entry.start_blocked = false;
        }
    }

    /// Whether the job is in the cell.
    pub fn contains_job(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
    }

    /// Takes a registration in.
    pub fn register(&mut self, entry: Registration) {
        match self.workers.get_mut(&entry.id) {
            Some(worker) => {
                worker.entry = entry;
                worker.listed = true;
            }
            None => {
                let leaving = self.leaving.contains(&entry.id);
                let worker = Worker { leaving, ..Worker::new(entry) };
                self.workers.insert(worker.entry.id.clone(), worker);
            }
        }
    }

    /// Takes in an executor that an earlier holder used; the registry may list it or not.
    pub fn inherit(&mut self, entry: Registration) {
        self.inherited.insert(entry.id.clone());
        if !self.workers.contains_key(&entry.id) {
            let id = entry.id.clone();
            self.register(entry);
            self.unlist(&id);
        }
    }

    /// Notes that the registry does not list an executor any more.
    pub fn unlist(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.listed = false;
        }
    }

    /// Names the executors that are to be emptied; all others are not.
    pub fn set_leaving(&mut self, executors: IndexSet<String>) {
        for (id, worker) in &mut self.workers {
            worker.leaving = executors.contains(id);
        }
        self.leaving = executors;
    }

    /// Whether an executor runs nothing and is not going to.
    pub fn is_drained(&self, id: &str) -> bool {
        self.workers.get(id).is_none_or(|w| w.dead || (w.runs.is_empty() && w.joined))
    }

    /// Notes that this holder surely held the cell at a time.
    pub fn confirm_ownership(&mut self, at: u64) {
        self.confirmed = self.confirmed.max(at);
    }

    /// Whether another holder's orders have been seen.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Advances time and gives the orders that are due; `wall` is the wall clock in milliseconds.
    pub fn tick(&mut self, now: u64, wall: u64) -> Vec<Order> {
        self.expire(now);
        self.empty_leaving(now);
        self.repeat_stops(now);
        self.leave_slow(now);
        self.assign(now, wall);
        std::mem::take(&mut self.orders)
    }

    /// Ends the runs of executors whose leases have surely run out, and forgets those that are gone.
    ///
    /// A later holder may have renewed the leases, so that what counts is the last time at which
    /// there surely was none.
    fn expire(&mut self, now: u64) {
        let sure = self.confirmed.min(now);
        let inherited = sure > self.since + self.rules.inherited_lease;
        let lapsed: Vec<String> = self
            .workers
            .iter()
            .filter(|(_, w)| !w.runs.is_empty() && w.lapsed(sure))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            self.clear(&id, now);
        }
        self.workers.retain(|_, w| {
            let gone = w.dead || (!w.listed && (w.lapsed(sure) || (w.heard == 0 && inherited)));
            !(gone && w.runs.is_empty() && !w.listed)
        });
    }

    /// Whether every executor that a former holder used has answered or runs nothing any more.
    fn settled(&self) -> bool {
        let over = |id: &String| self.workers.get(id).is_none_or(|w| w.joined || w.dead);
        self.confirmed > self.since + self.rules.inherited_lease || self.inherited.iter().all(over)
    }

    /// Notes that an incarnation has ended and runs nothing any more.
    pub fn mark_dead(&mut self, id: &str, now: u64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.dead = true;
        }
        self.clear(id, now);
    }

    /// Whether it would help to know which silent executors have ended: their tasks wait.
    pub fn needs_liveness_check(&self) -> bool {
        let waits = |id: &String, w: &Worker| !w.runs.is_empty() || self.inherited.contains(id);
        self.workers.iter().any(|(id, w)| w.silent > 0 && !w.dead && waits(id, w))
    }

    /// Buries the silent executors that a whole list of living ones, asked for at `asked`, does not
    /// name, and gives them.
    ///
    /// An executor that was there before the list was asked for stays on it as long as it lives. A
    /// list that names no executor of the cell tells nothing about them.
    pub fn mark_missing_dead(
        &mut self,
        living: &IndexSet<String>,
        asked: u64,
        now: u64,
    ) -> Vec<String> {
        if !self.workers.keys().any(|id| living.contains(id)) {
            return Vec::new();
        }
        let before = |id: &String, w: &Worker| {
            (w.joined && w.heard < asked) || (self.inherited.contains(id) && self.since < asked)
        };
        let ended: Vec<String> = self
            .workers
            .iter()
            .filter(|(id, w)| w.silent > 0 && !w.dead && before(id, w) && !living.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &ended {
            self.mark_dead(id, now);
        }
        ended
    }

    /// Ends all runs of an executor without word from it.
    fn clear(&mut self, id: &str, now: u64) {
        let Some(worker) = self.workers.get(id) else { return };
        let tasks: Vec<TaskId> = worker.runs.keys().cloned().collect();
        for task in tasks {
            self.free(id, &task, now);
        }
    }

    /// Takes a run from its executor and makes its task open again.
    fn free(&mut self, worker: &str, task: &TaskId, now: u64) {
        let slot = self.workers.get_mut(worker).and_then(|w| w.vacate(task));
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        entry.spent += slot.map_or(0, |slot| slot.room.cpu * now.saturating_sub(slot.since));
        let Some(step) = entry.turns.get_mut(&task.turn).and_then(|t| t.get_mut(task.step)) else {
            return;
        };
        let Some(state) = step.tasks.get_mut(task.index as usize) else { return };
        if state.live.as_deref() != Some(worker) {
            return;
        }
        state.live = None;
        state.after = state.after.max(now);
        if !state.done {
            step.open += 1;
        }
    }

    /// Ends a job for good: what it runs is stopped.
    fn end_job(&mut self, id: &str, state: State, now: u64) {
        let Some(entry) = self.jobs.get_mut(id) else { return };
        if entry.state.is_final() {
            return;
        }
        entry.state = state;
        self.dirty.insert(id.to_owned());
        for (name, worker) in &mut self.workers {
            for (task, slot) in worker.runs.iter_mut().filter(|(task, _)| task.job == id) {
                look::stop(&mut self.orders, name, task, slot, now);
            }
        }
    }

    /// Ends a job whose tasks are all done.
    fn settle_job(&mut self, id: &str) {
        let Some(entry) = self.jobs.get_mut(id) else { return };
        let times = entry.job.schedule.map_or(1, |s| s.times);
        while entry.turns.get(&entry.past).is_some_and(|t| t.iter().all(StepState::is_done)) {
            entry.turns.shift_remove(&entry.past);
            entry.past += 1;
        }
        if entry.past >= times && !entry.state.is_final() {
            entry.state = State::Completed;
            self.dirty.insert(id.to_owned());
        }
    }
}

/// The steps of an occurrence before anything ran.
fn blank_steps(job: &Job) -> Vec<StepState> {
    job.steps
        .iter()
        .map(|step| StepState {
            tasks: vec![Task::default(); step.count as usize],
            done: 0,
            open: step.count as usize,
            advice: Advice::default(),
        })
        .collect()
}

fn waiting(queue: &Queue, job: &Job, asked: u64) -> Waiting {
    let chain = job.chain();
    let objective = asked + chain.saturating_mul(queue.stretch) / 1_000 + queue.target;
    Waiting {
        lasting: job.is_lasting(),
        begun: false,
        priority: queue.priority,
        asked,
        objective,
        chain,
        work: job.work(),
    }
}
