//! Scheduler of one cell: the jobs that run on a share of a pool's executors.
//!
//! The process that holds the lease on the cell, its holder, runs the scheduler. A new holder takes
//! over the runs that former holders started.
//!
//! The scheduler is a state machine without I/O. Callers pass in events and the current time, and
//! receive [`Order`]s to send and [`JobChange`]s to write. A run that may still be active keeps its
//! resources, and its task does not start again, until an executor reports the end of the run, the
//! lease of its executor has certainly expired, or the run has vanished and the lease of the cell
//! was confirmed after that.

mod advice;
mod approve;
mod assign;
mod drain;
mod load;
mod occurrences;
mod outcome;
mod parked;
mod poll;
mod quarantine;
mod quota;
mod record;
mod release;
mod reserve;
mod restart;
mod stall;
mod stop;
mod tasks;
mod wait;

use std::rc::Rc;

use indexmap::{IndexMap, IndexSet};

use advice::{Advice, Queries};
pub use approve::{Approval, Withdrawal};
pub use load::{Records, ShrinkLimits, Usage};
pub use outcome::{Refusal, StartOutcome};
pub use parked::Parked;
pub use quarantine::Crash;
use quarantine::{CrashRecord, Quarantine};
use quota::Quotas;
pub use quota::{Charge, QuotaUse, WaitReason};
pub use record::{Flush, JobChange};
pub use release::{Absence, AcknowledgedEnd, Release, ReleaseReason};
use restart::OpenStart;
pub use stop::{StopCause, StopReason};
use tasks::{Task, Tasks};
pub use wait::WaitingTask;

use crate::fair::Shares;
use crate::job::{Job, State, TaskId};
use crate::memory;
use crate::order::{Candidate, Policy};
use crate::progress::{Progress, StepProgress};
use crate::queue::Queue;
use crate::spans::Spans;
use crate::terms::{Known, Terms};
use crate::worker::{Registration, Worker};

/// Run numbers that each holder of the cell may use for a task; the next holder starts above them.
const RUNS_PER_TERM: u64 = 1_000;

/// Number of ended jobs whose ids are kept, so that an outdated read does not admit them again.
const MAX_ENDED_JOBS: usize = 10_000;

/// Parameters of a cell's scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CellConfig {
    /// Duration of the leases granted to executors, in milliseconds.
    pub lease: u64,
    /// Longest time that leases granted by a former holder can remain valid, in milliseconds.
    pub inherited_lease: u64,
    /// Longest time from a stop order to the end of the run, in milliseconds.
    pub stop_timeout: u64,
    /// How long before its due time an occurrence of a scheduled job may start, in milliseconds.
    pub early_start: u64,
    /// Number of this holder among all holders of the cell, counted from 1.
    pub term: u64,
}

/// A call to make to an executor or to the adviser.
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
        /// Payload of the job, passed to the task unchanged.
        payload: Rc<str>,
        /// End of the executor's lease, in milliseconds of the executor's clock.
        lease_end: u64,
        /// Checkpoint to resume from; empty for none.
        checkpoint: String,
        /// The adviser's ticket for this executor; empty if the queue needs none.
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
        /// Why it is stopped; `None` if that is not known.
        cause: Option<StopCause>,
    },
    /// Ask the adviser which executors may run the tasks of a step.
    Advise {
        /// First task of the step; identifies the step.
        step: TaskId,
        /// Incarnations of the executors to ask about.
        workers: Vec<String>,
        /// Expected time that the adviser needs, in milliseconds.
        cost: u64,
    },
    /// Throttle a run to a share of its full speed.
    Pace {
        /// Incarnation of the executor.
        worker: String,
        /// Task.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Share of the full speed, in percent.
        percent: u64,
    },
}

/// Scheduling state of one step of an occurrence.
#[derive(Debug, Clone, Default)]
struct StepState {
    tasks: Tasks,
    /// Number of tasks that are done.
    done_count: usize,
    /// Number of tasks that are neither done nor have a run.
    open_count: usize,
    advice: Advice,
}

impl StepState {
    fn is_done(&self) -> bool {
        self.done_count == self.tasks.len()
    }

    /// Whether a task that is not done has a run.
    fn has_runs(&self) -> bool {
        self.done_count + self.open_count < self.tasks.len()
    }
}

/// Scheduling state of a job that has been admitted to the cell.
#[derive(Debug)]
struct JobEntry {
    part: String,
    queue: String,
    /// Terms under which it was accepted, if they are known.
    accepted: Option<Terms>,
    /// Terms that apply to it; `None` while they are not known.
    terms: Option<Terms>,
    /// Whether an executor has asked for a ticket although the terms need none.
    needs_ticket: bool,
    /// Number of the organisation whose limits apply to its tasks.
    organisation: Option<usize>,
    /// The job; its payload is in `payload`.
    job: Job,
    payload: Rc<str>,
    /// Memory that it takes, in bytes.
    bytes: usize,
    candidate: Candidate,
    state: State,
    /// State that the table holds.
    durable_state: State,
    /// Whether a former holder may have started it.
    inherited: bool,
    /// Whether the table does not record yet that the job may have started.
    start_blocked: bool,
    /// Whether the table has rejected the job's changes, so that no tasks start for now.
    held: bool,
    /// Number of the first occurrence that is not done.
    first_open: u32,
    /// Occurrences beyond it that are done.
    finished: Spans,
    /// Number of occurrences that were due at the last pass.
    due: u32,
    /// Number of the next occurrence to begin.
    next_occurrence: u32,
    /// When the latest occurrence has begun, in milliseconds.
    begun_at: u64,
    /// Occurrences that have begun and are not done, by number, in ascending order.
    occurrences: IndexMap<u32, Vec<StepState>>,
    /// Duration of its tasks relative to their estimates: number of samples, and mean in percent.
    duration_ratio: (u64, u64),
    /// When this holder started its first task, in milliseconds.
    first_start: Option<u64>,
    /// When this holder last started a task of it, in milliseconds; 0 before.
    last_start: u64,
    /// CPU time reserved by its ended runs, in thousandths of a core times milliseconds.
    cpu_time: u64,
    /// Tasks that may have crashed an executor and have not been cleared.
    suspects: IndexSet<TaskId>,
    /// Whether the table holds the crashes of these tasks.
    crash_record: CrashRecord,
    /// When executors were last to be kept for its suspects, in milliseconds.
    quarantine_tried_at: u64,
    /// Time of the first assignment pass over it, in milliseconds.
    seen_at: Option<u64>,
    /// Time since which it has had open tasks and no run, in milliseconds.
    idle_since: Option<u64>,
}

/// A job to admit to a cell.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Id of the job.
    pub id: String,
    /// Partition of the table that holds the job.
    pub part: String,
    /// Queue to which the job was submitted.
    pub queue: String,
    /// Organisation on whose behalf the job was submitted.
    pub organisation: Option<String>,
    /// Steps, payload and schedule of the job.
    pub job: Job,
    /// Progress that the table holds.
    pub progress: Progress,
    /// When the client first requested the job, by the cell's clock, in milliseconds.
    pub requested_at: u64,
    /// Whether a former holder may have started the job. It then waits until each executor that
    /// former holders used has answered or has no valid lease.
    pub inherited: bool,
    /// Whether the table does not record yet that the job may have started. It then waits for
    /// [`Cell::allow_start`], so that the next holder treats it as inherited.
    pub start_blocked: bool,
}

/// The scheduler of one cell.
#[derive(Debug)]
pub struct Cell {
    config: CellConfig,
    /// When this holder acquired the cell, in milliseconds.
    acquired: u64,
    /// Latest time at which this holder certainly held the cell, in milliseconds; 0 if unknown.
    last_owned: u64,
    /// Terms of the queues.
    terms: Known,
    policy: Policy,
    shares: Shares,
    jobs: IndexMap<String, JobEntry>,
    /// Jobs that stay in the table, in the order of their arrival.
    parked: IndexMap<String, Parked>,
    /// Ids of those that are to be read at once.
    requested: IndexSet<String>,
    /// Memory that `jobs` take, in bytes.
    footprint: usize,
    workers: IndexMap<String, Worker>,
    /// Orders that the next tick returns.
    orders: Vec<Order>,
    /// Queries to the adviser.
    queries: Queries,
    /// Ids of jobs whose changes have to be written.
    dirty: IndexSet<String>,
    /// Executors that former holders used.
    inherited_workers: IndexSet<String>,
    /// Whether former holders may have used executors that are not known.
    unknown_inherited: bool,
    /// Executors to drain, whether they are registered yet or not.
    leaving: IndexSet<String>,
    /// Ids of jobs whose end is durable, the latest [`MAX_ENDED_JOBS`] of them.
    ended_jobs: IndexSet<String>,
    /// Incarnations that were registered since the last check for earlier ones of the same name.
    new_incarnations: Vec<String>,
    /// Unanswered starts that may be carried out late, even after a stop, if their executors restart.
    open_starts: Vec<OpenStart>,
    /// Names of executors that former holders used and that have restarted, whose new incarnations
    /// are not registered yet.
    awaited_incarnations: IndexSet<String>,
    /// Longest lease that an executor accepts, in milliseconds.
    longest_lease: u64,
    /// Executors that are kept for suspects.
    quarantined: IndexMap<String, Quarantine>,
    /// When the last of these executors was released, in milliseconds.
    released_at: u64,
    /// Time until which a crash that no task has caused makes others doubtful, in milliseconds.
    unexplained_until: u64,
    /// Time until which no jobs share an executor that is kept for suspects, in milliseconds.
    no_sharing_until: u64,
    /// Crashes that have not been read for the log.
    crashes: Vec<Crash>,
    /// Runs that are absent from their executors and wait for a confirmation of the lease.
    absent_runs: Vec<(String, TaskId)>,
    /// Released runs that have not been read for the log.
    releases: Vec<Release>,
    /// Acknowledged ends of former holders' runs that have not been read for the log.
    acknowledged: Vec<AcknowledgedEnd>,
    /// Whether an executor has seen orders of a later holder.
    superseded: bool,
    /// Whether no tasks are started for now.
    starts_held: bool,
    /// Executors reserved for long-running tasks that fit nowhere yet, by task.
    reservations: IndexMap<TaskId, String>,
    /// Executors that the last assignment pass compared, counted once per task.
    compared: usize,
    /// Allowances of the organisations that have a limit.
    quotas: Quotas,
}

impl Cell {
    /// Creates a cell without jobs that this holder acquired at `now` or before.
    ///
    /// When it certainly held the cell is told by [`Cell::confirm_ownership`].
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::{Cell, CellConfig};
    /// let config = CellConfig {
    ///     lease: 6_000,
    ///     inherited_lease: 16_000,
    ///     stop_timeout: 900,
    ///     early_start: 0,
    ///     term: 1,
    /// };
    /// let mut cell = Cell::new(config, 0);
    /// assert!(cell.tick(10, 0).is_empty());
    /// ```
    pub fn new(config: CellConfig, now: u64) -> Self {
        Self {
            config,
            acquired: now,
            last_owned: 0,
            terms: Known::default(),
            policy: Policy::default(),
            shares: Shares::default(),
            jobs: IndexMap::new(),
            parked: IndexMap::new(),
            requested: IndexSet::new(),
            footprint: 0,
            workers: IndexMap::new(),
            orders: Vec::new(),
            queries: Queries::default(),
            dirty: IndexSet::new(),
            inherited_workers: IndexSet::new(),
            unknown_inherited: false,
            leaving: IndexSet::new(),
            ended_jobs: IndexSet::new(),
            new_incarnations: Vec::new(),
            open_starts: Vec::new(),
            awaited_incarnations: IndexSet::new(),
            longest_lease: config.lease,
            quarantined: IndexMap::new(),
            released_at: 0,
            unexplained_until: 0,
            no_sharing_until: 0,
            crashes: Vec::new(),
            absent_runs: Vec::new(),
            releases: Vec::new(),
            acknowledged: Vec::new(),
            superseded: false,
            starts_held: false,
            reservations: IndexMap::new(),
            compared: 0,
            quotas: Quotas::default(),
        }
    }

    /// Sets the order of new jobs.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
        self.jobs.values_mut().for_each(|entry| entry.candidate.policy = policy);
    }

    /// Updates the configuration of the given queues; queues that are not given keep theirs.
    pub fn configure<'a>(&mut self, queues: impl Iterator<Item = &'a Queue>) {
        self.terms.add(queues);
        self.apply_terms();
    }

    /// Takes over a version of the configuration with all of its queues at `now`.
    ///
    /// The jobs of queues that it lacks keep their terms.
    pub fn replace_configuration<'a>(
        &mut self,
        version: u64,
        queues: impl Iterator<Item = &'a Queue>,
        now: u64,
    ) {
        self.terms.replace(version, queues);
        self.apply_terms();
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        ids.iter().for_each(|id| self.fail_if_exhausted(id, now));
    }

    /// Applies the terms of the queues to the jobs.
    fn apply_terms(&mut self) {
        for entry in self.jobs.values_mut() {
            let terms = self.terms.resolve(&entry.queue, entry.accepted).or(entry.terms);
            if terms != entry.terms {
                entry.terms = terms;
                entry.needs_ticket = false;
                let Candidate { policy, beyond_share, .. } = entry.candidate;
                entry.candidate = Candidate {
                    policy,
                    beyond_share,
                    ..candidate(terms, &entry.job, entry.candidate.requested_at)
                };
            }
        }
    }

    /// Ends a job of which a task has failed as often as its terms allow.
    ///
    /// Its failures may have been counted before the terms were known.
    fn fail_if_exhausted(&mut self, id: &str, now: u64) {
        let Some(entry) = self.jobs.get(id) else { return };
        let Some(terms) = entry.terms else { return };
        let attempts = terms.max_attempts as usize;
        let is_exhausted = entry.occurrences.values().any(|steps| {
            let steps = steps.iter().zip(&entry.job.steps).filter(|(_, spec)| !spec.long_running);
            let mut tasks = steps.flat_map(|(step, _)| step.tasks.recorded());
            tasks.any(|(_, task)| !task.done && task.failed_runs.len() >= attempts)
        });
        if is_exhausted {
            self.end_job(id, State::Failed, now);
        }
    }

    /// Number of failed runs of a task after which a job fails; `None` if its terms are not known, so
    /// that its tasks do not start again after a failure, or for an unknown job.
    pub fn max_attempts(&self, job: &str) -> Option<u32> {
        self.jobs.get(job)?.terms.map(|terms| terms.max_attempts)
    }

    /// Updates the weights of all organisations, in thousandths of a job a second.
    pub fn configure_shares<'a>(&mut self, weights: impl Iterator<Item = (&'a str, u64)>) {
        self.shares.configure(weights);
    }

    /// Organisations that send beyond their weight at a time.
    pub fn beyond_share(&self, now: u64) -> impl Iterator<Item = &str> {
        self.shares.used_up(now)
    }

    /// Admits a job and returns whether it is new.
    ///
    /// A job that is already in the cell, or that has ended, is left unchanged.
    pub fn admit(&mut self, arrival: Arrival) -> bool {
        self.admit_under(None, arrival)
    }

    /// Like [`Self::admit`], with the terms under which the job was accepted, if they are known.
    pub fn admit_under(&mut self, accepted: Option<Terms>, arrival: Arrival) -> bool {
        if self.jobs.contains_key(&arrival.id) || self.ended_jobs.contains(&arrival.id) {
            return false;
        }
        let terms = self.terms.resolve(&arrival.queue, accepted);
        let begun = arrival.progress.started;
        // Jobs of a former holder arrive at once when they are read back, not at their rate.
        let counted = arrival.organisation.as_deref().filter(|_| !arrival.inherited);
        let beyond_share =
            counted.is_some_and(|name| self.shares.count(name, arrival.requested_at));
        let bytes = memory::job_bytes(&arrival.job);
        let (mut job, progress) = (arrival.job, arrival.progress);
        let payload = Rc::from(std::mem::take(&mut job.payload));
        let mut entry = JobEntry {
            candidate: Candidate {
                policy: self.policy,
                beyond_share,
                ..candidate(terms, &job, arrival.requested_at)
            },
            payload,
            bytes,
            part: arrival.part,
            queue: arrival.queue,
            accepted,
            terms,
            needs_ticket: false,
            organisation: arrival.organisation.map(|name| self.quotas.number(&name)),
            state: if begun { State::Running } else { State::Queued },
            durable_state: if begun { State::Running } else { State::Queued },
            inherited: arrival.inherited,
            start_blocked: arrival.start_blocked,
            held: false,
            first_open: progress.completed_below,
            finished: progress.finished.iter().copied().collect(),
            due: 0,
            next_occurrence: progress.completed_below,
            begun_at: 0,
            occurrences: IndexMap::new(),
            duration_ratio: (0, 0),
            first_start: None,
            last_start: 0,
            cpu_time: 0,
            suspects: IndexSet::new(),
            crash_record: CrashRecord::default(),
            quarantine_tried_at: 0,
            seen_at: None,
            idle_since: None,
            job,
        };
        entry.first_open = entry.finished.take_from(entry.first_open);
        for (occurrence, steps) in &progress.occurrences {
            // A process of an earlier version writes all that are due.
            if steps.iter().all(|step| *step == StepProgress::default()) {
                continue;
            }
            let Some(states) = entry.occurrence_mut(*occurrence) else { continue };
            for (state, durable) in states.iter_mut().zip(steps) {
                record::restore(state, durable);
            }
            let suspects = quarantine::suspects(&arrival.id, *occurrence, states);
            entry.suspects.extend(suspects);
            entry.finish_if_done(*occurrence);
        }
        self.unpark(&arrival.id);
        self.footprint += bytes;
        self.jobs.insert(arrival.id.clone(), entry);
        self.assign_seen_runs(&arrival.id);
        self.apply_unknown_ends(&arrival.id, self.last_owned);
        self.complete_if_done(&arrival.id);
        self.fail_if_exhausted(&arrival.id, self.last_owned);
        true
    }

    /// Ends a job that its client has cancelled.
    pub fn cancel(&mut self, id: &str, now: u64) {
        self.end_job(id, State::Cancelled, now);
    }

    /// Sets whether no tasks are started for now, as the executors' capacities are not known.
    pub fn hold_starts(&mut self, held: bool) {
        self.starts_held = held;
    }

    /// Allows a job to start: the table now records that it may have started.
    pub fn allow_start(&mut self, id: &str) {
        if let Some(entry) = self.jobs.get_mut(id) {
            entry.start_blocked = false;
        }
    }

    /// Whether the end of a job is durable; known of the latest jobs only.
    pub fn has_ended(&self, id: &str) -> bool {
        self.ended_jobs.contains(id)
    }

    /// Whether the job is in the cell.
    pub fn contains_job(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
    }

    /// Adds an executor, or updates its registration.
    pub fn register(&mut self, entry: Registration) {
        match self.workers.get_mut(&entry.id) {
            Some(worker) => {
                worker.registration = entry;
                worker.listed = true;
            }
            None => {
                let leaving = self.leaving.contains(&entry.id);
                self.new_incarnations.push(entry.id.clone());
                let worker = Worker { leaving, ..Worker::new(entry) };
                self.workers.insert(worker.registration.id.clone(), worker);
            }
        }
    }

    /// Adds an executor that a former holder used, whether or not the registry still lists it.
    pub fn inherit(&mut self, entry: Registration) {
        self.inherited_workers.insert(entry.id.clone());
        if !self.workers.contains_key(&entry.id) {
            let id = entry.id.clone();
            self.register(entry);
            self.unlist(&id);
        }
    }

    /// Records that former holders may have used executors that are not known.
    ///
    /// Inherited jobs then wait until all leases that former holders granted have expired.
    pub fn inherit_unknown(&mut self) {
        self.unknown_inherited = true;
    }

    /// Records that the registry no longer lists an executor.
    pub fn unlist(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.listed = false;
        }
    }

    /// Sets the executors to drain, replacing the previous set.
    pub fn set_leaving(&mut self, executors: IndexSet<String>) {
        for (id, worker) in &mut self.workers {
            worker.leaving = executors.contains(id);
        }
        self.leaving = executors;
    }

    /// Whether an executor has no runs left and the table has the results of those that have ended.
    ///
    /// True for an unknown or dead executor, false for one that has not answered this holder yet.
    pub fn is_drained(&self, id: &str) -> bool {
        // Ends of a job whose changes the table rejects may never be durable.
        let is_held = |job: &String| self.jobs.get(job).is_none_or(|entry| entry.held);
        let has_results =
            |w: &Worker| w.unknown_ends.is_empty() && w.pending_ends.values().all(is_held);
        self.workers.get(id).is_none_or(|w| w.dead || (w.is_empty() && has_results(w)))
    }

    /// Records that former holders could not confirm their leases after `at`.
    ///
    /// Leases that they granted are counted from then on.
    pub fn succeed_former(&mut self, at: u64) {
        self.acquired = self.acquired.max(at);
    }

    /// Records that this holder certainly still held the cell at `at`.
    pub fn confirm_ownership(&mut self, at: u64) {
        self.last_owned = self.last_owned.max(at);
    }

    /// Whether an executor has seen orders of a later holder.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Advances time and returns the orders to send.
    ///
    /// `wall` is the wall-clock time in milliseconds.
    pub fn tick(&mut self, now: u64, wall: u64) -> Vec<Order> {
        self.replace_restarted(now);
        self.expire(now);
        self.expire_starts(now);
        self.drain_leaving(now);
        self.repeat_stops(now);
        self.stop_slow(now);
        self.assign(now, wall);
        std::mem::take(&mut self.orders)
    }

    /// Releases the runs of executors whose leases have certainly expired, and removes unlisted
    /// executors that can have no runs.
    ///
    /// A later holder may have renewed the leases, so expiry is judged at the last time at which
    /// there certainly was no later holder.
    fn expire(&mut self, now: u64) {
        let owned_at = self.last_owned.min(now);
        let inherited_expired = owned_at > self.acquired + self.config.inherited_lease;
        let lapsed: Vec<String> = self
            .workers
            .iter()
            .filter(|(_, w)| !w.dead && !w.runs.is_empty() && w.leases_expired(owned_at))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            for task in self.verified_runs(&id) {
                self.release_run(&id, &task, ReleaseReason::Expired, now, now);
            }
        }
        self.release_absent(owned_at, now);
        self.expire_unverified(owned_at, now);
        self.workers.retain(|_, w| {
            let removable = w.dead
                || (!w.listed
                    && (w.leases_expired(owned_at)
                        || (w.last_answer_at == 0 && inherited_expired)));
            !(removable && w.runs.is_empty() && w.unknown_ends.is_empty() && !w.listed)
        });
    }

    /// Whether no run that a former holder started, and no end of one, can be unknown to this holder.
    ///
    /// True once all ends of each executor that former holders used have been read or the executor is
    /// dead, or once all leases that they granted have expired. An executor that has answered may have
    /// a lease of this holder's beyond that, with which its unread ends remain valid.
    fn inherited_settled(&self) -> bool {
        let is_read = |w: &Worker| w.ends_read || w.dead || w.leases_expired(self.last_owned);
        if self.are_inherited_leases_over() {
            let may_be_inherited =
                |id: &String| self.unknown_inherited || self.inherited_workers.contains(id);
            let mut answering = self.workers.iter().filter(|(_, w)| w.last_answer_at > 0);
            return answering.all(|(id, w)| is_read(w) || !may_be_inherited(id));
        }
        !self.unknown_inherited
            && self.awaited_incarnations.is_empty()
            && self.inherited_workers.iter().all(|id| self.workers.get(id).is_none_or(is_read))
    }

    /// Whether all leases that former holders granted have expired.
    fn are_inherited_leases_over(&self) -> bool {
        self.last_owned > self.acquired + self.config.inherited_lease
    }

    /// Whether an executor may have runs of former holders that have not been read.
    fn may_have_unread_runs(&self, id: &str, worker: &Worker) -> bool {
        let is_over = match worker.last_answer_at {
            0 => self.are_inherited_leases_over(),
            _ => worker.leases_expired(self.last_owned),
        };
        self.inherited_workers.contains(id) && !worker.joined && !worker.dead && !is_over
    }

    /// Marks an incarnation of an executor as dead and its runs as absent, as an executor of another
    /// name has replaced it.
    ///
    /// Unless the executor was about to leave, its end counts as a crash, and the runs that had just
    /// begun are suspected of having caused it.
    pub fn mark_dead(&mut self, id: &str, now: u64) {
        let absence = Absence { reason: ReleaseReason::Replaced, requested: now, since: now };
        self.handle_crash(id, absence);
        self.mark_all_absent(id, absence);
        self.rule_out_life(id);
    }

    /// Like [`Self::mark_dead`], for an executor that has ended by an order.
    pub fn mark_ended(&mut self, id: &str, now: u64) {
        self.end_worker(id, Absence { reason: ReleaseReason::Ordered, requested: now, since: now });
    }

    /// Marks an incarnation as dead, and the runs that have certainly ended with it as absent.
    fn end_worker(&mut self, id: &str, absence: Absence) {
        if let Some(worker) = self.workers.get_mut(id).filter(|worker| !worker.dead) {
            worker.dead = true;
            worker.dead_since = absence.since;
        }
        for task in self.verified_runs(id) {
            self.mark_absent(id, &task, absence);
        }
    }

    /// Whether tasks wait for executors that do not answer and may be dead.
    pub fn needs_liveness_check(&self) -> bool {
        let waits =
            |id: &String, w: &Worker| !w.runs.is_empty() || self.inherited_workers.contains(id);
        self.workers.iter().any(|(id, w)| w.unanswered > 0 && !w.dead && waits(id, w))
    }

    /// Marks unresponsive executors as dead that are missing from a complete list of live ones.
    ///
    /// Returns the executors marked as dead. Only executors that existed before the list was
    /// requested at `requested` are judged, since a live one of those is always on the list. A list
    /// without any executor of this cell is ignored, since it does not cover the cell.
    pub fn mark_missing_dead(
        &mut self,
        live: &IndexSet<String>,
        requested: u64,
        now: u64,
    ) -> Vec<String> {
        if !self.workers.keys().any(|id| live.contains(id)) {
            return Vec::new();
        }
        let existed = |id: &String, w: &Worker| {
            (w.joined && w.last_answer_at < requested)
                || (self.inherited_workers.contains(id) && self.acquired < requested)
        };
        let dead: Vec<String> = self
            .workers
            .iter()
            .filter(|(id, w)| w.unanswered > 0 && !w.dead && existed(id, w) && !live.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &dead {
            let absence = Absence { reason: ReleaseReason::Unlisted, requested, since: now };
            self.handle_crash(id, absence);
            if let Some(worker) = self.workers.get_mut(id) {
                worker.presumed_dead = true;
            }
        }
        dead
    }

    /// Sets the final state of a job and stops its runs.
    fn end_job(&mut self, id: &str, state: State, now: u64) {
        let Some(entry) = self.jobs.get_mut(id) else { return };
        if entry.state.is_final() {
            return;
        }
        entry.state = state;
        // The end is written without the progress that the table may have rejected.
        entry.held = false;
        self.dirty.insert(id.to_owned());
        let mut runs = Vec::new();
        for (name, worker) in &self.workers {
            let of_job = worker.runs.keys().filter(|task| task.job == id);
            runs.extend(of_job.map(|task| (name.clone(), task.clone())));
        }
        for (name, task) in runs {
            self.stop_run(&name, &task, StopReason::JobEnded, now);
        }
    }

    /// Completes a job of which all occurrences are done.
    fn complete_if_done(&mut self, id: &str) {
        let Some(entry) = self.jobs.get_mut(id) else { return };
        if entry.first_open >= entry.occurrence_count() && !entry.state.is_final() {
            entry.state = State::Completed;
            self.dirty.insert(id.to_owned());
        }
    }
}

/// State of the steps of an occurrence that has not started.
fn new_steps(job: &Job) -> Vec<StepState> {
    job.steps
        .iter()
        .map(|step| StepState {
            tasks: Tasks::new(step.count),
            done_count: 0,
            open_count: step.count as usize,
            advice: Advice::default(),
        })
        .collect()
}

/// Values that decide the position of a job in the scheduling order.
///
/// A job whose terms are not known goes after all others.
fn candidate(terms: Option<Terms>, job: &Job, requested_at: u64) -> Candidate {
    let critical_path = job.critical_path();
    let terms = terms.unwrap_or(Terms { priority: u32::MAX, ..Terms::default() });
    let objective =
        requested_at + critical_path.saturating_mul(terms.stretch) / 1_000 + terms.objective_base;
    Candidate {
        policy: Policy::default(),
        long_running: job.is_long_running(),
        started: false,
        priority: terms.priority,
        beyond_share: false,
        requested_at,
        objective,
        critical_path,
        work: job.work(),
    }
}
