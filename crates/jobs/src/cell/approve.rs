//! Approval of starts at their turn.
//!
//! A start that the scheduler has ordered waits at the holder for a permit of its executor. What it
//! was decided on may have changed by its turn. [`Cell::approve_start`] is the only place that lets a
//! start go out: it examines the run, the task, the job, the holder and the executor again, and
//! otherwise withdraws the start and releases its run, which has certainly not begun.
//!
//! Load pattern: the answers of an executor are lost for some seconds while it runs its tasks. The
//! runs are released and started elsewhere. These starts wait behind others without an answer when
//! the executor responds again and reports that the tasks are done.

use super::{Cell, ReleaseReason};
use crate::job::TaskId;
use crate::worker::{Obstacle, Phase, Worker};

/// What has changed since a start was ordered, so that it must not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Withdrawal {
    /// The run was released, or found absent.
    Released,
    /// The stop of the run was ordered.
    Stopped,
    /// The job has ended, or is not in the cell any more.
    JobEnded,
    /// The table has rejected the job's changes.
    JobHeld,
    /// The task is done.
    TaskDone,
    /// The task is assigned to another executor.
    TaskMoved,
    /// No tasks are started for now: the holder's lease or the executors' capacities are uncertain.
    Held,
    /// The executor has shrunk below what is in use.
    Capacity,
    /// The executor has ended, leaves, drains or does not answer.
    Executor,
    /// The executor is kept for suspects of another job.
    Quarantined,
    /// The adviser's ticket has expired.
    Ticket,
}

/// What a start carries that depends on the time at which it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Approval {
    /// End of the executor's lease, in milliseconds of the executor's clock; `None` if the lease of the
    /// order stays, as the executor does not answer.
    pub lease_end: Option<u64>,
    /// The adviser's ticket for the executor; empty if the queue needs none.
    pub ticket: String,
}

impl Cell {
    /// Approves a start that is about to be sent, or withdraws it and releases its run.
    ///
    /// # Errors
    ///
    /// Returns what has changed since the start was ordered.
    pub fn approve_start(
        &mut self,
        id: &str,
        task: &TaskId,
        run: u64,
        now: u64,
    ) -> Result<Approval, Withdrawal> {
        if let Some(change) = self.withdrawal(id, task, run, now) {
            self.withdraw_start(task, run, now);
            return Err(change);
        }
        let lease_end = self.grant_lease(id, now);
        if let Some(slot) = self.workers.get_mut(id).and_then(|worker| worker.runs.get_mut(task)) {
            (slot.sent, slot.approved) = (true, true);
            // The executor may carry the order out late, counted from here.
            slot.phase_since = now;
            slot.last_order_at = now;
            slot.unverified_since = Some(now);
        }
        let steps = self.jobs.get(&task.job).and_then(|e| e.occurrences.get(&task.occurrence));
        let ticket = steps.and_then(|steps| steps.get(task.step)?.advice.ticket(id, now));
        Ok(Approval { lease_end, ticket: ticket.unwrap_or_default().to_owned() })
    }

    /// Releases a run whose start has certainly not gone out and will not.
    fn withdraw_start(&mut self, task: &TaskId, run: u64, now: u64) {
        // The run may have been passed on to a later incarnation of its executor.
        let has_run = |(_, worker): &(&String, &Worker)| {
            worker.runs.get(task).is_some_and(|slot| slot.run == run && !slot.approved)
        };
        if let Some(id) = self.workers.iter().find(has_run).map(|(id, _)| id.clone()) {
            self.release_run(&id, task, ReleaseReason::Withdrawn, now, now);
            self.forget_open_start(task, run);
        }
    }

    /// What has changed since the start of a run was ordered; `None` if it may still be sent.
    fn withdrawal(&self, id: &str, task: &TaskId, run: u64, now: u64) -> Option<Withdrawal> {
        let worker = self.workers.get(id);
        let slot = worker.and_then(|worker| worker.runs.get(task)).filter(|slot| slot.run == run);
        let (Some(worker), Some(slot)) = (worker, slot) else { return Some(Withdrawal::Released) };
        let entry = self.jobs.get(&task.job).filter(|entry| !entry.state.is_final());
        let Some(entry) = entry else { return Some(Withdrawal::JobEnded) };
        let Some(spec) = entry.job.steps.get(task.step) else { return Some(Withdrawal::JobEnded) };
        let steps = entry.occurrences.get(&task.occurrence);
        let step = steps.and_then(|steps| steps.get(task.step));
        let state = step.and_then(|step| step.tasks.get(task.index));
        // The records of an occurrence are removed once all of its tasks are done.
        let (Some(step), Some(state)) = (step, state) else { return Some(Withdrawal::TaskDone) };
        // Failures and rejections make an executor a worse choice than others, not a wrong one. A member
        // that is missing would end the other runs of its gang.
        let is_passing = |obstacle| match obstacle {
            Obstacle::Excluded | Obstacle::Busy => true,
            Obstacle::Silent => spec.gang,
            _ => false,
        };
        match () {
            () if state.done => Some(Withdrawal::TaskDone),
            () if slot.absence.is_some() => Some(Withdrawal::Released),
            () if slot.phase != Phase::Sent => Some(Withdrawal::Stopped),
            () if state.worker.as_deref() != Some(id) => Some(Withdrawal::TaskMoved),
            () if entry.held => Some(Withdrawal::JobHeld),
            () if self.superseded || self.starts_held => Some(Withdrawal::Held),
            () if !worker.is_within_capacity() => Some(Withdrawal::Capacity),
            () if worker.obstacle(now).is_some_and(|o| !is_passing(o)) => {
                Some(Withdrawal::Executor)
            }
            () if self.is_kept_from(id, &task.job) => Some(Withdrawal::Quarantined),
            () if entry.needs_advice() && step.advice.ticket(id, now).is_none() => {
                Some(Withdrawal::Ticket)
            }
            () => None,
        }
    }
}
