//! State that a cell keeps for one incarnation of an executor.
//!
//! An executor that restarts is a new incarnation: it has a new id ([`incarnation`]) and none of its
//! former runs.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use strum::{Display, EnumString, IntoStaticStr};

use crate::cell::{Absence, Charge, StopCause};
use crate::incarnation;
use crate::job::TaskId;

/// Slowest rate of an executor's clock against true time, in thousandths; 2 % slow.
const MIN_CLOCK_RATE_PER_MILLE: u64 = 980;
/// Time after its last answer in which an executor gets new tasks, in milliseconds; slightly more
/// than two polls.
const ANSWER_VALIDITY_MS: u64 = 2_500;
/// Consecutive failures after which an executor gets no new tasks for a while.
const FAILURES_BEFORE_EXCLUSION: u32 = 3;
/// Most starts that a holder sends to one executor at a time, each of which may need its own
/// connection; further ones queue at the holder.
pub const MAX_CONCURRENT_STARTS: usize = 4;
/// Time for which an observed slowdown counts, in milliseconds; after it the executor is tried
/// again.
const SLOWDOWN_VALIDITY_MS: u64 = 6_000;
/// First time without new tasks, in milliseconds. It doubles with each further failure, up to eight
/// times this value.
const FIRST_EXCLUSION_MS: u64 = 2_000;

/// Checkpoint of a run that this holder did not start; no checkpoint has this text.
pub(crate) const INHERITED_RUN: &str = "unknown";

/// Difference by which the clock in an answer is behind an earlier one if another incarnation has
/// answered, in milliseconds; longer than two answers under way at once are apart.
const CLOCK_RESET_MS: u64 = 2_000;

/// Amounts of CPU, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in mebibytes.
    pub memory: u64,
    /// Number of accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Whether `need` fits into these resources.
    pub fn fits(self, need: Self) -> bool {
        need.cpu <= self.cpu && need.memory <= self.memory && need.gpus <= self.gpus
    }

    /// Adds `more` to these resources.
    pub fn add(&mut self, more: Self) {
        self.cpu += more.cpu;
        self.memory += more.memory;
        self.gpus += more.gpus;
    }

    /// Resources that `count` times this need takes.
    #[must_use]
    pub fn times(self, count: u64) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
        }
    }

    /// Subtracts `part`; no amount falls below 0.
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
    /// Address to send orders to.
    pub address: String,
    /// Data centre of the executor.
    pub centre: String,
    /// Whether the executor accepts new tasks.
    pub ready: bool,
    /// Least time until the executor ends, in milliseconds; set while it drains.
    pub drain_remaining: Option<u64>,
    /// Total resources of the executor.
    pub capacity: Resources,
    /// Labels: the kind of machine, then the rack.
    pub labels: Vec<String>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
pub enum RunOutcome {
    /// The run succeeded.
    Done,
    /// The run failed, by its own fault or the executor's.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The executor's lease expired.
    Lapsed,
    /// Another run of the same gang ended.
    Broken,
    /// The other runs of the same gang did not start in time.
    Alone,
}

/// A run that an executor reports as present.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PresentRun {
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Progress in percent; for long-running tasks the share of full speed.
    pub percent: u64,
    /// Tail latency in milliseconds for a serving task, otherwise CPU in use.
    pub gauge: u64,
}

/// A run that an executor reports as ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Sequence number among the executor's ended runs, counted from 1.
    pub sequence: u64,
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// How the run ended.
    pub outcome: RunOutcome,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// Answer of an executor to a poll for its runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ExecutorReport {
    /// Clock of the executor, in milliseconds.
    pub clock: u64,
    /// Runs that are present.
    pub present: Vec<PresentRun>,
    /// Ended runs that have not been acknowledged.
    pub ended: Vec<EndedRun>,
}

/// Phase of a run on an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum Phase {
    /// The start was ordered and has no result yet; [`Slot::sent`] tells whether it has gone out.
    Sent,
    /// The start order was not answered; the next poll shows whether the run has begun.
    Unsure,
    /// The executor confirmed the start.
    Running,
    /// A stop order is due or was sent, and has not been confirmed.
    Stopping,
    /// The executor accepted the stop order, but has not reported the end yet.
    Stopped,
}

/// Why an executor gets no new task, or not a particular one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "lowercase")]
pub enum Obstacle {
    /// The incarnation has ended, or the registry no longer lists it.
    Gone,
    /// The executor has not answered this holder yet.
    Unjoined,
    /// The executor is emptied for maintenance or a move of its machine.
    Leaving,
    /// The executor has announced its shutdown or is not ready.
    Draining,
    /// The executor does not answer.
    Silent,
    /// The executor was busy or full just now.
    Busy,
    /// Tasks have failed on the executor lately.
    Excluded,
    /// The executor is kept for suspects of a crash.
    Quarantined,
    /// Not enough resources are free.
    Full,
    /// A label that the task needs is missing, or too many tasks of the step run there.
    Constrained,
}

/// A run that an executor has, or may have, and the resources reserved for it.
#[derive(Debug, Clone)]
pub struct Slot {
    /// Number of the run.
    pub run: u64,
    /// Resources reserved for the run.
    pub resources: Resources,
    /// Use of its organisation's limit; `None` if it has none or its job is unknown.
    pub charge: Option<Charge>,
    /// Phase of the run.
    pub phase: Phase,
    /// Whether the start may have gone out to the executor, rather than queue at the holder.
    pub sent: bool,
    /// Whether the start was approved at its turn, or an executor has reported the run.
    pub approved: bool,
    /// Time at which the run entered its phase, in milliseconds.
    pub phase_since: u64,
    /// Time at which the last order for the run was sent, in milliseconds.
    pub last_order_at: u64,
    /// Speed that the run was ordered to, in percent of full speed; above 100 if unknown.
    pub pace: u64,
    /// Last reported progress, in percent; for long-running tasks the share of full speed.
    pub percent: u64,
    /// Time at which the progress last changed, in milliseconds.
    pub progressed_at: u64,
    /// When a long-running run began, or was last reported at full speed, in milliseconds.
    pub startup_since: u64,
    /// Checkpoint that the run resumed from; empty for none, `unknown` for a run that this holder
    /// did not start.
    pub resumed_from: String,
    /// Whether the run is known or assumed to be long-running.
    pub long_running: bool,
    /// Whether the needs of the run are unknown, so that it may use the whole executor.
    pub unknown_size: bool,
    /// Whether it started while room on the executor was reserved for a long-running task.
    pub beside_reservation: bool,
    /// Clock of the executor when the run had certainly begun, in milliseconds; `None` before.
    pub start_clock: Option<u64>,
    /// Whether the executor has outlived the start for long enough that the run does not crash it.
    pub cleared: bool,
    /// Time at which the start was ordered, in milliseconds; `None` once the run is known to have
    /// begun on this incarnation.
    ///
    /// Answers to starts do not tell the incarnation, so that another one of the same name may have
    /// carried the order out, or may still do so.
    pub unverified_since: Option<u64>,
    /// Evidence that the run is no longer on the executor; `None` as long as it may be.
    pub absence: Option<Absence>,
    /// Why its stop was ordered; `None` before.
    pub stop: Option<StopCause>,
}

/// State that a cell keeps for one executor.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Newest registration.
    pub registration: Registration,
    /// Whether the registry lists the executor.
    pub listed: bool,
    /// Whether the executor has answered a poll of this holder.
    pub joined: bool,
    /// Whether all ends that it had when it joined have been read.
    ///
    /// An answer lists a limited number of ends, and further ones only once these are acknowledged.
    pub ends_read: bool,
    /// Whether the incarnation is known to have ended, so that it has no runs.
    pub dead: bool,
    /// When this holder learned that it has ended, in milliseconds.
    pub dead_since: u64,
    /// Whether it counts as dead only since the list of machines did not name it.
    pub presumed_dead: bool,
    /// Whether it is to be drained, for maintenance or a move of its machine.
    pub leaving: bool,
    /// Time since which it has been leaving or not ready, in milliseconds.
    pub leaving_since: Option<u64>,
    /// Resources reserved for `runs`.
    pub used: Resources,
    /// Runs that the executor has, or may have.
    pub runs: IndexMap<TaskId, Slot>,
    /// Number of long-running runs.
    pub long_running: usize,
    /// Number of runs whose needs are unknown.
    pub unknown_sizes: usize,
    /// Resources reserved for long-running runs.
    pub long_running_use: Resources,
    /// Speed of its best-effort tasks, in percent of full speed.
    pub best_effort_pace: u64,
    /// Highest sequence number of the ended runs that were processed.
    pub last_seen_end: u64,
    /// Sequence number up to which the results of all ended runs are durable.
    pub last_durable_end: u64,
    /// Sequence number up to which the executor has certainly received the acknowledgement.
    pub last_acknowledged_end: u64,
    /// Ended runs whose results are not durable yet, by sequence number with the id of the job.
    pub pending_ends: BTreeMap<u64, String>,
    /// Ended runs of former holders that are not acknowledged yet, by sequence number.
    pub former_ends: BTreeMap<u64, (TaskId, u64)>,
    /// Ended runs of jobs that are not known, by sequence number, with the times at which they were
    /// seen in milliseconds.
    pub unknown_ends: BTreeMap<u64, (EndedRun, u64)>,
    /// Time of the last answer, in milliseconds; 0 before the first.
    pub last_answer_at: u64,
    /// When the last answered poll was sent, in milliseconds; 0 before. Only polls list runs.
    pub poll_sent_at: u64,
    /// When the last answer to a poll arrived, in milliseconds; 0 before.
    pub poll_answered_at: u64,
    /// Clock of the executor at the last answer, in milliseconds.
    pub clock: u64,
    /// Clock of the executor at its first answer to a poll, in milliseconds.
    pub first_clock: u64,
    /// Latest end of a lease granted to the executor, by its own clock, in milliseconds.
    pub lease_end: u64,
    /// Duration of its tasks relative to others of their jobs, in percent; 0 while unknown.
    pub slowdown: u64,
    /// Time at which the slowdown was last observed, in milliseconds.
    pub slowdown_at: u64,
    /// Consecutive failures since the last success.
    pub failures: u32,
    /// Time until which the executor, busy or full, gets no new tasks, in milliseconds.
    pub busy_until: u64,
    /// Time until which new tasks avoid the executor after failures, in milliseconds.
    pub excluded_until: u64,
    /// Consecutive orders and polls without an answer.
    pub unanswered: u32,
}

impl Worker {
    /// Creates a worker that has not been contacted yet.
    pub fn new(registration: Registration) -> Self {
        Self {
            registration,
            listed: true,
            joined: false,
            ends_read: false,
            dead: false,
            dead_since: 0,
            presumed_dead: false,
            leaving: false,
            leaving_since: None,
            used: Resources::default(),
            runs: IndexMap::new(),
            long_running: 0,
            unknown_sizes: 0,
            long_running_use: Resources::default(),
            best_effort_pace: 100,
            last_seen_end: 0,
            last_durable_end: 0,
            last_acknowledged_end: 0,
            pending_ends: BTreeMap::new(),
            former_ends: BTreeMap::new(),
            unknown_ends: BTreeMap::new(),
            last_answer_at: 0,
            poll_sent_at: 0,
            poll_answered_at: 0,
            clock: 0,
            first_clock: 0,
            lease_end: 0,
            slowdown: 0,
            slowdown_at: 0,
            failures: 0,
            busy_until: 0,
            excluded_until: 0,
            unanswered: 0,
        }
    }

    /// Whether a run of the job may still crash the executor.
    pub fn has_uncleared(&self, job: &str) -> bool {
        self.runs.iter().any(|(task, slot)| task.job == job && !slot.cleared)
    }

    /// Whether all runs that may still crash the executor are of jobs that `allowed` accepts.
    pub fn has_uncleared_only(&self, allowed: impl Fn(&str) -> bool) -> bool {
        self.runs.iter().all(|(task, slot)| slot.cleared || allowed(&task.job))
    }

    /// Whether a further start is sent at once, as fewer than [`MAX_CONCURRENT_STARTS`] have no
    /// result yet.
    pub fn sends_at_once(&self) -> bool {
        let open = self.runs.values().filter(|slot| slot.phase == Phase::Sent);
        open.count() < MAX_CONCURRENT_STARTS
    }

    /// Rack of the executor: the second of its labels, after the kind of machine.
    pub fn rack(&self) -> Option<&str> {
        self.registration.labels.get(1).map(String::as_str)
    }

    /// Resources that are free for new tasks.
    pub fn free(&self) -> Resources {
        if self.unknown_sizes > 0 {
            return Resources::default();
        }
        self.registration.capacity.minus(self.used)
    }

    /// Resources that are free once its short tasks have ended.
    pub fn free_beside_long_running(&self) -> Resources {
        self.registration.capacity.minus(self.long_running_use)
    }

    /// Whether a run with these needs can be added once the short tasks have ended.
    ///
    /// As in [`Self::has_room`], the capacity may have shrunk below what is in use.
    pub fn has_room_beside_long_running(&self, need: Resources) -> bool {
        let mut total = self.long_running_use;
        total.add(need);
        self.registration.capacity.fits(total)
    }

    /// Whether a run with these needs can be added within the capacity.
    ///
    /// The capacity may have shrunk below what is in use. A run then has no room even if it needs
    /// nothing of the resource that is short.
    pub fn has_room(&self, need: Resources) -> bool {
        let mut total = self.used;
        total.add(need);
        self.unknown_sizes == 0 && self.registration.capacity.fits(total)
    }

    /// Whether the runs that the executor has, or may have, are within its capacity.
    pub fn is_within_capacity(&self) -> bool {
        self.has_room(Resources::default())
    }

    /// Whether it certainly has no runs, and no ends that have not been read.
    pub fn is_empty(&self) -> bool {
        self.ends_read && self.runs.is_empty()
    }

    /// Whether new tasks may be sent to the executor.
    pub fn accepts_tasks(&self, now: u64) -> bool {
        self.obstacle(now).is_none()
    }

    /// Why no new tasks may be sent to the executor; `None` if they may.
    pub fn obstacle(&self, now: u64) -> Option<Obstacle> {
        match () {
            () if self.dead || !self.listed => Some(Obstacle::Gone),
            () if !self.joined => Some(Obstacle::Unjoined),
            () if self.leaving => Some(Obstacle::Leaving),
            () if !self.registration.ready => Some(Obstacle::Draining),
            () if self.unanswered > 0 || now > self.last_answer_at + ANSWER_VALIDITY_MS => {
                Some(Obstacle::Silent)
            }
            () if now < self.busy_until => Some(Obstacle::Busy),
            () if now < self.excluded_until => Some(Obstacle::Excluded),
            () => None,
        }
    }

    /// Expected clock of the executor at `now`, by its last answer.
    pub fn clock_at(&self, now: u64) -> u64 {
        self.clock + now.saturating_sub(self.last_answer_at)
    }

    /// Whether every lease granted to the executor has surely expired, even on a slow clock.
    pub fn leases_expired(&self, now: u64) -> bool {
        let least_clock =
            self.clock + now.saturating_sub(self.last_answer_at) * MIN_CLOCK_RATE_PER_MILLE / 1_000;
        self.last_answer_at > 0 && least_clock > self.lease_end
    }

    /// Whether the executor is to be polled.
    ///
    /// One that the list of machines did not name may answer again while the registry lists it.
    pub fn is_polled(&self) -> bool {
        !self.dead || (self.presumed_dead && self.listed)
    }

    /// Whether the executor tells its start, so that it may start again under its name.
    pub fn may_restart(&self) -> bool {
        incarnation::start(&self.registration.id).is_some()
    }

    /// Whether an answer with this clock comes from another incarnation, whose clock began anew.
    pub fn is_foreign_clock(&self, clock: u64) -> bool {
        self.may_restart() && clock + CLOCK_RESET_MS < self.clock
    }

    /// Whether an answer with this clock certainly comes from this incarnation.
    ///
    /// The clock of a new one begins anew. It reaches the last known clock only after as long as
    /// this incarnation has been answering, and another poll shows the new one before that.
    pub fn is_own_clock(&self, clock: u64, now: u64) -> bool {
        let observed = self.clock.saturating_sub(self.first_clock);
        clock >= self.clock && now.saturating_sub(self.last_answer_at) < observed / 2
    }

    /// Records an answer of the executor, with its clock.
    pub fn record_answer(&mut self, clock: u64, now: u64) {
        self.last_answer_at = now;
        self.clock = self.clock.max(clock);
        self.unanswered = 0;
    }

    /// Extends the lease to the end of one that a former holder may have granted just before the last
    /// answer.
    ///
    /// A lease granted to an earlier incarnation, by its clock, is limited only by the executor.
    pub fn extend_former_lease(&mut self, lease: u64, longest_lease: u64) {
        let lease = if self.may_restart() { longest_lease } else { lease };
        self.lease_end = self.lease_end.max(self.clock + lease);
    }

    /// Updates the sequence number up to which all results are durable.
    pub fn settle_ends(&mut self) {
        let first_pending = self.pending_ends.keys().next().into_iter();
        let first_pending = first_pending.chain(self.unknown_ends.keys().next()).min();
        let durable = first_pending.map_or(self.last_seen_end, |sequence| sequence - 1);
        self.last_durable_end = self.last_durable_end.max(durable);
    }

    /// Sequence number to acknowledge in the next poll.
    ///
    /// It is 0 for an executor that may restart if it has received that number before, or did not
    /// answer last: a new incarnation would drop its own ends up to the number.
    pub fn end_to_acknowledge(&self) -> u64 {
        let is_received = self.last_acknowledged_end >= self.last_durable_end;
        let is_withheld = (is_received || self.unanswered > 0) && self.may_restart();
        if is_withheld { 0 } else { self.last_durable_end }
    }

    /// Records that the executor has answered a poll that acknowledged the ends up to a number.
    pub fn record_acknowledged(&mut self, sequence: u64) {
        self.last_acknowledged_end = self.last_acknowledged_end.max(sequence);
    }

    /// Adds a run and reserves its resources; replaces an earlier run of the same task.
    pub fn add_run(&mut self, task: TaskId, slot: Slot) {
        self.remove_run(&task);
        self.used.add(slot.resources);
        self.unknown_sizes += usize::from(slot.unknown_size);
        if slot.long_running {
            self.long_running += 1;
            self.long_running_use.add(slot.resources);
        }
        self.runs.insert(task, slot);
    }

    /// Removes a run and releases its resources.
    pub fn remove_run(&mut self, task: &TaskId) -> Option<Slot> {
        let slot = self.runs.swap_remove(task)?;
        self.used = self.used.minus(slot.resources);
        self.unknown_sizes -= usize::from(slot.unknown_size);
        if slot.long_running {
            self.long_running -= 1;
            self.long_running_use = self.long_running_use.minus(slot.resources);
        }
        Some(slot)
    }

    /// Updates the slowdown with the expected duration of a task relative to others of its job, in
    /// percent.
    pub fn observe_slowdown(&mut self, slowdown: u64, now: u64) {
        self.slowdown =
            if self.slowdown == 0 { slowdown } else { (self.slowdown * 4 + slowdown) / 5 };
        self.slowdown_at = now;
    }

    /// Slowdown in percent, if it was observed recently.
    pub fn recent_slowdown(&self, now: u64) -> Option<u64> {
        (self.slowdown > 0 && now < self.slowdown_at + SLOWDOWN_VALIDITY_MS)
            .then_some(self.slowdown)
    }

    /// Records a success or failure, and excludes the executor from new tasks after several
    /// failures.
    pub fn record_result(&mut self, success: bool, now: u64) {
        if success {
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
