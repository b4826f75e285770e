//! Draining of executors that are about to leave.
//!
//! Load pattern: a maintenance wave or a shrinking pool removes executors that have runs. Short
//! tasks are left to end by themselves. Tasks with checkpoints are stopped and resume elsewhere.
//! Long-running tasks are stopped only while enough other tasks of their step work at full speed, and
//! once another executor can take them.

use super::{Cell, poll};
use crate::job::TaskId;
use crate::place;
use crate::worker::{Phase, Slot, Worker};

/// Run time up to which a task without checkpoints is left to end on a leaving executor, in
/// milliseconds; longer than the longest run of the usual kinds of job.
const DRAIN_RUN_LIMIT_MS: u64 = 4_000;
/// Share of the full speed, in percent, at which a long-running task counts as working.
const FULL_SPEED_PERCENT: u64 = 100;
/// Age up to which an executor's last answer shows that its tasks work, in milliseconds; less than
/// the time after which a task counts as unavailable.
const ANSWER_MAX_AGE_MS: u64 = 2_000;

/// Longest time for which a long-running task stays on a leaving executor because no other can take
/// it, in milliseconds; several times as long as a machine takes to join the pool.
const PLACE_TIMEOUT_MS: u64 = 8_000;

impl Cell {
    /// Stops runs on leaving executors where the state of the run's step permits it.
    pub(super) fn drain_leaving(&mut self, now: u64) {
        for worker in self.workers.values_mut() {
            let leaves = worker.leaving || !worker.registration.ready;
            worker.leaving_since = leaves.then(|| worker.leaving_since.unwrap_or(now));
        }
        let leaving: Vec<String> = self
            .workers
            .iter()
            .filter(|(_, w)| !w.dead && !w.runs.is_empty() && (w.leaving || !w.registration.ready))
            .map(|(id, _)| id.clone())
            .collect();
        for id in leaving {
            let Some(worker) = self.workers.get(&id) else { continue };
            let running: Vec<(TaskId, u64)> = worker
                .runs
                .iter()
                .filter(|(_, slot)| slot.phase == Phase::Running)
                .map(|(task, slot)| (task.clone(), slot.phase_since))
                .collect();
            for (task, since) in running {
                if self.may_stop(&id, &task, since, now)
                    && let Some(worker) = self.workers.get_mut(&id)
                    && let Some(slot) = worker.runs.get_mut(&task)
                {
                    poll::order_stop(&mut self.orders, &id, &task, slot, now);
                }
            }
        }
    }

    /// Whether a run that has been in its phase since `since` may be stopped for a drain.
    fn may_stop(&self, id: &str, task: &TaskId, since: u64, now: u64) -> bool {
        let Some(entry) = self.jobs.get(&task.job) else { return true };
        let Some(spec) = entry.job.steps.get(task.step) else { return true };
        if !spec.long_running {
            return spec.checkpointing || now > since + DRAIN_RUN_LIMIT_MS;
        }
        let leaving_since = self.workers.get(id).and_then(|worker| worker.leaving_since);
        let overdue = leaving_since.is_some_and(|since| now >= since + PLACE_TIMEOUT_MS);
        if !overdue && !self.has_place(task, now) {
            return false;
        }
        if spec.max_unavailable == 0 {
            return true;
        }
        let Some(step) = entry.occurrences.get(&task.occurrence).and_then(|t| t.get(task.step))
        else {
            return true;
        };
        let unavailable = (0u32..)
            .zip(&step.tasks)
            .filter(|(index, _)| *index != task.index)
            .filter(|(index, state)| {
                let id = TaskId { index: *index, ..task.clone() };
                let worker = state.worker.as_ref().and_then(|worker| self.workers.get(worker));
                let Some(worker) = worker.filter(|w| now < w.last_answer_at + ANSWER_MAX_AGE_MS)
                else {
                    return true;
                };
                worker.runs.get(&id).is_none_or(|slot| !self.is_working(worker, slot))
            })
            .count();
        unavailable < spec.max_unavailable as usize
    }

    /// Whether an executor that accepts tasks has room for a long-running task, at the latest once its
    /// short tasks have ended.
    fn has_place(&self, task: &TaskId, now: u64) -> bool {
        let Some(entry) = self.jobs.get(&task.job) else { return true };
        let Some(spec) = entry.job.steps.get(task.step) else { return true };
        let step = entry.occurrences.get(&task.occurrence).and_then(|steps| steps.get(task.step));
        let Some(step) = step else { return true };
        let need = place::required_resources(spec);
        self.workers.iter().any(|(id, worker)| {
            let siblings = step.tasks.iter().filter(|t| t.worker.as_ref() == Some(id)).count();
            let siblings = u32::try_from(siblings).unwrap_or(u32::MAX);
            worker.accepts_tasks(now)
                && place::is_eligible(spec, worker, siblings)
                && worker.free_beside_long_running().fits(need)
        })
    }

    /// Whether a long-running task works at full speed and will continue to.
    ///
    /// A run inherited just now may be about to end by a stop order of the former holder, which the
    /// executor does not report. The run counts only once such a stop would have taken effect.
    fn is_working(&self, worker: &Worker, slot: &Slot) -> bool {
        slot.phase == Phase::Running
            && slot.percent >= FULL_SPEED_PERCENT
            && worker.last_answer_at >= slot.phase_since + self.config.stop_timeout
    }
}
