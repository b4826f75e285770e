//! Emptying executors that leave.
//!
//! Load pattern: a maintenance wave or a shrinking pool takes executors that are at work. Short
//! tasks end by themselves; tasks that save checkpoints are stopped with one; lasting tasks are
//! stopped only while enough others of their step are at work.

use super::{Cell, look};
use crate::job::TaskId;
use crate::worker::{Phase, Slot, Worker};

/// How long a task without checkpoints may go on, in milliseconds; over the longest run of the
/// usual kinds of job.
const PATIENCE: u64 = 4_000;
/// Share of full speed, in percent, at which a lasting task is at work.
const AT_WORK: u64 = 100;
/// Age up to which an executor's last answer shows that its tasks are at work, in milliseconds;
/// less than the time after which a task counts as away.
const SEEN: u64 = 2_000;

impl Cell {
    /// Stops what keeps leaving executors from becoming empty.
    pub(super) fn empty_leaving(&mut self, now: u64) {
        let leaving: Vec<String> = self
            .workers
            .iter()
            .filter(|(_, w)| !w.dead && !w.runs.is_empty() && (w.leaving || !w.entry.ready))
            .map(|(id, _)| id.clone())
            .collect();
        for id in leaving {
            let Some(worker) = self.workers.get(&id) else { continue };
            let running: Vec<(TaskId, u64)> = worker
                .runs
                .iter()
                .filter(|(_, slot)| slot.phase == Phase::Running)
                .map(|(task, slot)| (task.clone(), slot.since))
                .collect();
            for (task, since) in running {
                if self.may_stop(&task, since, now)
                    && let Some(worker) = self.workers.get_mut(&id)
                    && let Some(slot) = worker.runs.get_mut(&task)
                {
                    look::stop(&mut self.orders, &id, &task, slot, now);
                }
            }
        }
    }

    fn may_stop(&self, task: &TaskId, since: u64, now: u64) -> bool {
        let Some(entry) = self.jobs.get(&task.job) else { return true };
        let Some(shape) = entry.job.steps.get(task.step) else { return true };
        if !shape.lasting {
            return shape.saves || now > since + PATIENCE;
        }
        if shape.spare == 0 {
            return true;
        }
        let Some(step) = entry.turns.get(&task.turn).and_then(|t| t.get(task.step)) else {
            return true;
        };
        let away = (0u32..)
            .zip(&step.tasks)
            .filter(|(index, _)| *index != task.index)
            .filter(|(index, state)| {
                let id = TaskId { index: *index, ..task.clone() };
                let worker = state.live.as_ref().and_then(|worker| self.workers.get(worker));
                let Some(worker) = worker.filter(|w| now < w.heard + SEEN) else { return true };
                worker.runs.get(&id).is_none_or(|slot| !self.is_at_work(worker, slot))
            })
            .count();
        away < shape.spare as usize
    }

    /// Whether a lasting task surely works on: a run that has just been taken over may be ending by
    /// a stop of the former holder, which its executor does not show.
    fn is_at_work(&self, worker: &Worker, slot: &Slot) -> bool {
        slot.phase == Phase::Running
            && slot.percent >= AT_WORK
            && worker.heard >= slot.since + self.rules.stop_timeout
    }
}
