//! Handling of the answers to orders.

use super::{Absence, Cell, ReleaseReason, StopReason, Withdrawal};
use crate::job::TaskId;
use crate::worker::{Phase, Slot};

/// Delay before a task whose start was refused or not sent is started again, in milliseconds.
const REFUSED_START_DELAY_MS: u64 = 50;
/// Time for which an executor that was busy or full gets no new tasks, in milliseconds.
const BUSY_EXECUTOR_DELAY_MS: u64 = 500;

/// Time after which a start without any result counts as unanswered, in milliseconds; longer than
/// any call to an executor takes.
const START_RESULT_TIMEOUT_MS: u64 = 10_000;

/// Why an executor did not start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// The executor has seen orders of a later holder.
    Fenced,
    /// The executor has already seen this run, or a later one of the task, end.
    Old,
    /// The lease had expired when the order arrived.
    Late,
    /// The executor lacks the resources.
    Room,
    /// The order has no valid ticket.
    Ticket,
    /// The executor is unhealthy or not ready.
    Busy,
    /// The executor could not read the order.
    Invalid,
}

/// Placeholder for an unknown speed share, in percent; larger than any real one.
const UNKNOWN_PACE_PERCENT: u64 = 101;

/// Result of a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run has begun; holds the executor's clock, in milliseconds.
    Running(u64),
    /// The executor refused the order; the run will not begin.
    Refused(Refusal),
    /// The order was not sent.
    Unsent,
    /// The order was withdrawn at its turn and not sent.
    Withdrawn(Withdrawal),
    /// The incarnation no longer exists.
    Gone,
    /// No answer was received; the run may have begun or may still begin.
    Unknown,
}

impl Cell {
    /// Handles the result of a start order.
    pub fn handle_start_outcome(
        &mut self,
        id: &str,
        task: &TaskId,
        run: u64,
        outcome: StartOutcome,
        now: u64,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let unconfirmed =
            worker.runs.get_mut(task).filter(|slot| slot.run == run && slot.phase == Phase::Sent);
        match outcome {
            StartOutcome::Running(clock) => {
                if let Some(slot) = unconfirmed {
                    slot.phase = Phase::Running;
                    slot.phase_since = now;
                    slot.progressed_at = now;
                    slot.startup_since = now;
                }
                let (foreign, own) =
                    (worker.is_foreign_clock(clock), worker.is_own_clock(clock, now));
                if !foreign {
                    if let Some(slot) = worker.runs.get_mut(task).filter(|slot| slot.run == run) {
                        slot.sent = true;
                        slot.start_clock.get_or_insert(clock);
                        slot.unverified_since = slot.unverified_since.filter(|_| !own);
                    }
                    worker.record_answer(clock, now);
                }
                if worker.dead && own && worker.runs.get(task).is_some_and(|slot| slot.run == run) {
                    // The order has reached the incarnation, which has ended since.
                    let reason = ReleaseReason::Replaced;
                    self.mark_absent(id, task, Absence { reason, requested: now, since: now });
                }
                self.clear_runs(id);
                let is_active = self.jobs.get(&task.job).is_some_and(|e| !e.state.is_final());
                if !is_active {
                    self.stop_run(id, task, StopReason::JobEnded, now);
                } else if !self.is_wanted(id, task) {
                    self.stop_run(id, task, StopReason::Unwanted, now);
                }
            }
            StartOutcome::Refused(refusal) => self.handle_refusal(id, task, run, refusal, now),
            StartOutcome::Unsent => {
                worker.unanswered += 1;
                self.release_unstarted(id, task, run, now);
            }
            // The cell has released the run with its approval.
            StartOutcome::Withdrawn(_) => {}
            StartOutcome::Gone => {
                self.release_unstarted(id, task, run, now);
                self.mark_dead(id, now);
            }
            StartOutcome::Unknown => {
                // A run that a poll has shown meanwhile is known to work.
                if let Some(slot) = unconfirmed {
                    slot.sent = true;
                    self.doubt_start(id, task, now);
                }
                self.handle_no_answer(id);
            }
        }
    }

    /// Handles a start that may have been carried out, or may still be.
    ///
    /// A long-running task may be working by now, and other tasks of its step may be unavailable. The
    /// next poll shows whether it runs.
    fn doubt_start(&mut self, id: &str, task: &TaskId, now: u64) {
        let slot = self.workers.get(id).and_then(|worker| worker.runs.get(task));
        if slot.is_some_and(|slot| slot.sent) {
            self.keep_open_start(id, task);
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        match worker.runs.get_mut(task) {
            Some(slot) if slot.long_running => {
                slot.phase = Phase::Unsure;
                slot.phase_since = now;
            }
            // The stop prevents the run from beginning later.
            _ => self.stop_run(id, task, StopReason::Unsure, now),
        }
    }

    /// Handles starts without any result, whose sender has ended, as unanswered ones.
    ///
    /// The executor may answer other calls all the while, and is not taken for unresponsive.
    pub(super) fn expire_starts(&mut self, now: u64) {
        let overdue = |slot: &Slot| {
            slot.phase == Phase::Sent && now > slot.phase_since + START_RESULT_TIMEOUT_MS
        };
        let mut expired: Vec<(String, TaskId)> = Vec::new();
        for (id, worker) in &self.workers {
            let runs = worker.runs.iter().filter(|(_, slot)| overdue(slot));
            expired.extend(runs.map(|(task, _)| (id.clone(), task.clone())));
        }
        for (id, task) in expired {
            self.doubt_start(&id, &task, now);
        }
    }

    /// Handles an executor's refusal to start a run.
    fn handle_refusal(&mut self, id: &str, task: &TaskId, run: u64, refusal: Refusal, now: u64) {
        if refusal == Refusal::Fenced {
            self.superseded = true;
        }
        if refusal == Refusal::Ticket
            && let Some(entry) = self.jobs.get_mut(&task.job)
            && let Some(step) =
                entry.occurrences.get_mut(&task.occurrence).and_then(|t| t.get_mut(task.step))
        {
            step.advice.remove_ticket(id);
            // The terms may be older than the job, or not known.
            let advised = entry.terms.is_some_and(|terms| terms.advice.is_some());
            entry.needs_ticket |= !advised;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            match refusal {
                Refusal::Busy => {
                    worker.record_result(false, now);
                    worker.busy_until = now + BUSY_EXECUTOR_DELAY_MS;
                }
                Refusal::Room => worker.busy_until = now + BUSY_EXECUTOR_DELAY_MS,
                _ => {}
            }
        }
        if refusal == Refusal::Old {
            self.await_poll(id, task, run, now);
        } else {
            self.release_unstarted(id, task, run, now);
        }
    }

    /// Leaves it to the next poll to show whether a run has ended, or has never begun.
    fn await_poll(&mut self, id: &str, task: &TaskId, run: u64, now: u64) {
        let slot = self.workers.get_mut(id).and_then(|worker| worker.runs.get_mut(task));
        if let Some(slot) = slot.filter(|slot| slot.run == run && slot.absence.is_none()) {
            slot.sent = true;
            slot.phase = Phase::Stopped;
            slot.phase_since = now;
        }
    }

    /// Releases a run that has certainly not begun.
    fn release_unstarted(&mut self, id: &str, task: &TaskId, run: u64, now: u64) {
        let current = self.workers.get(id).and_then(|w| w.runs.get(task));
        if current.is_some_and(|slot| slot.run == run) {
            let reason = ReleaseReason::Refused;
            self.release_run(id, task, reason, now, now + REFUSED_START_DELAY_MS);
        }
    }

    /// Handles the result of a stop order; `answered` is false if no answer was received.
    pub fn handle_stop_answer(
        &mut self,
        id: &str,
        task: &TaskId,
        run: u64,
        answered: bool,
        now: u64,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if !answered {
            worker.unanswered += 1;
            return;
        }
        if let Some(slot) = worker.runs.get_mut(task)
            && slot.run == run
            && slot.phase == Phase::Stopping
        {
            slot.phase = Phase::Stopped;
            slot.phase_since = now;
        }
    }

    /// Handles the failure of an order to change a run's speed, so that it is sent again.
    pub fn handle_pace_failure(&mut self, id: &str, task: &TaskId, run: u64) {
        if let Some(worker) = self.workers.get_mut(id)
            && let Some(slot) = worker.runs.get_mut(task)
            && slot.run == run
        {
            slot.pace = UNKNOWN_PACE_PERCENT;
        }
    }

    /// Records that an executor has seen orders of a later holder.
    pub fn supersede(&mut self) {
        self.superseded = true;
    }

    /// Records that an executor did not answer a call.
    pub fn handle_no_answer(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unanswered += 1;
        }
    }

    /// Grants a lease and returns its end, in milliseconds of the executor's clock.
    ///
    /// Returns `None` before the executor's clock is known, and while the executor does not answer:
    /// otherwise the time until which its runs may continue would be extended without end.
    pub fn grant_lease(&mut self, id: &str, now: u64) -> Option<u64> {
        let lease = self.config.lease;
        let worker =
            self.workers.get_mut(id).filter(|w| w.last_answer_at > 0 && w.unanswered == 0)?;
        let lease_end = worker.clock_at(now) + lease;
        worker.lease_end = worker.lease_end.max(lease_end);
        Some(lease_end)
    }
}
