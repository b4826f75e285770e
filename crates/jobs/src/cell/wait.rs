//! Long-running tasks that do not run, with the reasons, for the log.

use indexmap::IndexMap;

use super::{Cell, JobEntry};
use crate::job::TaskId;
use crate::place;
use crate::worker::{Obstacle, Phase, Resources};

/// A long-running task that does not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingTask {
    /// Task.
    pub task: TaskId,
    /// Time for which it has not run under this holder, or its executor has not answered, in
    /// milliseconds.
    pub waited: u64,
    /// Resources that the task needs.
    pub need: Resources,
    /// Executor on which the task may be running, with the phase of that run.
    pub held_by: Option<(String, Phase)>,
    /// Number of executors that can't get the task, by reason.
    pub obstacles: IndexMap<Obstacle, usize>,
    /// Number of executors that could get the task.
    pub eligible: usize,
}

/// Most tasks that are described at a time; bounds the cost, which grows with the number of executors.
const MAX_WAITING_TASKS: usize = 16;

impl Cell {
    /// Long-running tasks that have not run for at least `min_wait` milliseconds, the first
    /// [`MAX_WAITING_TASKS`] of them.
    pub fn waiting_tasks(&self, min_wait: u64, now: u64) -> Vec<WaitingTask> {
        let mut waiting = Vec::new();
        let jobs = self.jobs.iter().filter(|(_, e)| e.candidate.long_running);
        for (id, entry) in jobs.filter(|(_, e)| !e.state.is_final()) {
            for (occurrence, steps) in &entry.occurrences {
                for step in (0..steps.len()).filter(|n| entry.job.steps[*n].long_running) {
                    for index in 0..entry.job.steps[step].count {
                        let task = TaskId { job: id.clone(), occurrence: *occurrence, step, index };
                        let waited = self.waited(entry, &task, now);
                        let Some(waited) = waited.filter(|waited| *waited >= min_wait) else {
                            continue;
                        };
                        if waiting.len() == MAX_WAITING_TASKS {
                            return waiting;
                        }
                        waiting.push(self.waiting_task(entry, task, waited, now));
                    }
                }
            }
        }
        waiting
    }

    /// Time for which a task has not run, in milliseconds; `None` if it runs.
    fn waited(&self, entry: &JobEntry, task: &TaskId, now: u64) -> Option<u64> {
        let state = entry.occurrences[&task.occurrence][task.step].tasks.get(task.index)?;
        let worker = state.worker.as_ref().and_then(|id| self.workers.get(id));
        let slot = worker.and_then(|worker| worker.runs.get(task));
        let running = slot.is_some_and(|slot| slot.phase == Phase::Running);
        if running && worker.is_some_and(|worker| worker.unanswered == 0) {
            return None;
        }
        let since = match (slot, worker) {
            (Some(slot), Some(worker)) => slot.phase_since.max(worker.last_answer_at),
            _ => state.not_before.max(entry.candidate.requested_at),
        };
        Some(now.saturating_sub(since.max(self.acquired)))
    }

    /// Describes a task that does not run.
    fn waiting_task(&self, entry: &JobEntry, task: TaskId, waited: u64, now: u64) -> WaitingTask {
        let step = &entry.occurrences[&task.occurrence][task.step];
        let state = step.tasks.get(task.index);
        let worker =
            state.and_then(|state| state.worker.as_ref()).and_then(|id| self.workers.get(id));
        let slot = worker.and_then(|worker| worker.runs.get(&task));
        let spec = &entry.job.steps[task.step];
        let need = place::required_resources(spec);
        let mut obstacles: IndexMap<Obstacle, usize> = IndexMap::new();
        let mut eligible = 0;
        for (id, worker) in &self.workers {
            let siblings =
                step.tasks.recorded().filter(|(_, t)| t.worker.as_ref() == Some(id)).count();
            let siblings = u32::try_from(siblings).unwrap_or(u32::MAX);
            let obstacle = worker.obstacle(now).or_else(|| match () {
                () if self.is_kept_from(id, &task.job) => Some(Obstacle::Quarantined),
                () if !place::is_eligible(spec, worker, siblings) => Some(Obstacle::Constrained),
                () if !worker.has_room(need) => Some(Obstacle::Full),
                () => None,
            });
            match obstacle {
                Some(obstacle) => *obstacles.entry(obstacle).or_default() += 1,
                None => eligible += 1,
            }
        }
        let held_by = state
            .and_then(|state| state.worker.clone())
            .map(|id| (id, slot.map_or(Phase::Unsure, |slot| slot.phase)));
        WaitingTask { waited, task, need, held_by, obstacles, eligible }
    }
}
