//! What the answers to orders change.

use super::Cell;
use crate::job::TaskId;
use crate::worker::Phase;

/// Pause before a task whose start was refused is tried again, in milliseconds.
const PAUSE: u64 = 50;
/// How long an executor that refused for its own reasons gets no new tasks, in milliseconds.
const BUSY_PAUSE: u64 = 500;

/// Why an executor did not start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// It has seen orders of a later holder.
    Fenced,
    /// It has seen this run, or a later one, end.
    Old,
    /// The lease had ended when the order arrived.
    Late,
    /// It has no room.
    Room,
    /// It wants a valid ticket.
    Ticket,
    /// It is not healthy, or not ready.
    Busy,
    /// It can't read the order.
    Invalid,
}

/// Stands for a pace that is not known; above any pace, in percent.
const UNKNOWN_PACE: u64 = 101;

/// What became of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run is there; with the executor's clock.
    Running(u64),
    /// It did not start and will not.
    Refused(Refusal),
    /// The order never left this process.
    Unsent,
    /// The incarnation is gone.
    Gone,
    /// No answer; it may start yet.
    Unknown,
}

impl Cell {
    /// Takes in the answer to a start.
    pub fn handle_start_outcome(
        &mut self,
        id: &str,
        task: &TaskId,
        run: u64,
        outcome: StartOutcome,
        now: u64,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let sent =
            worker.runs.get_mut(task).filter(|slot| slot.run == run && slot.phase == Phase::Sent);
        match outcome {
            StartOutcome::Running(clock) => {
                if let Some(slot) = sent {
                    slot.phase = Phase::Running;
                    slot.since = now;
                    slot.moved = now;
                }
                worker.answered(clock, now);
                let unwanted = self.jobs.get(&task.job).is_none_or(|e| e.state.is_final());
                if unwanted {
                    self.stop_run(id, task, now);
                }
            }
            StartOutcome::Refused(refusal) => self.refused(id, task, run, refusal, now),
            StartOutcome::Unsent => {
                worker.silent += 1;
                self.release(id, task, run, now);
            }
            StartOutcome::Gone => self.mark_dead(id, now),
            StartOutcome::Unknown => {
                // A lasting task may be at work by now, and others of its step may be away.
                match sent {
                    Some(slot) if slot.lasting => {
                        slot.phase = Phase::Unsure;
                        slot.since = now;
                    }
                    // A stop makes sure that the run will not begin later.
                    _ => self.stop_run(id, task, now),
                }
                self.handle_no_answer(id);
            }
        }
    }

    fn refused(&mut self, id: &str, task: &TaskId, run: u64, refusal: Refusal, now: u64) {
        if refusal == Refusal::Fenced {
            self.superseded = true;
        }
        if refusal == Refusal::Ticket
            && let Some(entry) = self.jobs.get_mut(&task.job)
            && let Some(step) = entry.turns.get_mut(&task.turn).and_then(|t| t.get_mut(task.step))
        {
            step.advice.forget(id);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            match refusal {
                Refusal::Busy => {
                    worker.judge(false, now);
                    worker.aside = worker.aside.max(now + BUSY_PAUSE);
                }
                Refusal::Room => worker.aside = worker.aside.max(now + BUSY_PAUSE),
                _ => {}
            }
        }
        self.release(id, task, run, now);
    }

    /// Frees a run that has surely not begun.
    fn release(&mut self, id: &str, task: &TaskId, run: u64, now: u64) {
        let current = self.workers.get(id).and_then(|w| w.runs.get(task));
        if current.is_some_and(|slot| slot.run == run) {
            self.free(id, task, now + PAUSE);
        }
    }

    /// Takes in the answer to a stop; `taken` is false when there was none.
    pub fn handle_stop_answer(&mut self, id: &str, task: &TaskId, run: u64, taken: bool, now: u64) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if !taken {
            worker.silent += 1;
            return;
        }
        if let Some(slot) = worker.runs.get_mut(task)
            && slot.run == run
            && slot.phase == Phase::Stopping
        {
            slot.phase = Phase::Stopped;
            slot.since = now;
        }
    }

    /// Notes that an order to change a run's pace was not taken, so that it is given again.
    pub fn handle_pace_failure(&mut self, id: &str, task: &TaskId, run: u64) {
        if let Some(worker) = self.workers.get_mut(id)
            && let Some(slot) = worker.runs.get_mut(task)
            && slot.run == run
        {
            slot.pace = UNKNOWN_PACE;
        }
    }

    /// Notes that orders of a later holder were seen.
    pub fn supersede(&mut self) {
        self.superseded = true;
    }

    /// Notes that an executor did not answer a look.
    pub fn handle_no_answer(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.silent += 1;
        }
    }

    /// Lease end to give to an executor now, by its own clock.
    ///
    /// None before its clock is known, and none while it does not answer: otherwise the time up to
    /// which its runs may go on would never be over.
    pub fn grant_lease(&mut self, id: &str, now: u64) -> Option<u64> {
        let lease = self.rules.lease;
        let worker = self.workers.get_mut(id).filter(|w| w.heard > 0 && w.silent == 0)?;
        let until = worker.clock_at(now) + lease;
        worker.granted = worker.granted.max(until);
        Some(until)
    }

    fn stop_run(&mut self, id: &str, task: &TaskId, now: u64) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if let Some(slot) = worker.runs.get_mut(task) {
            super::look::stop(&mut self.orders, id, task, slot, now);
        }
    }
}
