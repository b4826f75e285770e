//! Tasks that stand still or crawl.
//!
//! Load pattern: an executor reports good health while its tasks stand still, or turns many times
//! slower than others. Only progress shows it. A task without progress is stopped and starts
//! elsewhere; one on a slow executor as well, if it would end sooner there.

use super::{Cell, look};
use crate::job::TaskId;
use crate::worker::{Phase, PresentRun};

/// Time without progress after which a task counts as stuck, in milliseconds; several looks.
const STILL: u64 = 800;
/// Part of the estimate that this time grows by, in percent; progress comes in whole percents.
const STILL_SHARE: u64 = 8;
/// Time in which a lasting task has to be at work, in milliseconds; a few of the usual start-ups.
const STARTUP: u64 = 2_500;
/// Progress, in percent, and age, in milliseconds, from which a task shows its speed.
const SHOWS: (u64, u64) = (4, 150);
/// Samples of a job's tasks from which its mean counts; several tasks, seen twice each.
const SAMPLES: u64 = 6;
/// Slowness against the median executor, in percent, from which an executor is avoided; beyond what
/// a wrong rack costs.
const SLOW: u64 = 250;

impl Cell {
    /// Looks at the progress of a run that an executor lists.
    pub(super) fn progress(&mut self, id: &str, run: &PresentRun, now: u64) {
        let task = &run.task;
        let Some(entry) = self.jobs.get(&task.job) else { return };
        let Some(shape) = entry.job.steps.get(task.step) else { return };
        let (lasting, filler, estimate) = (shape.long_running, shape.best_effort, shape.estimate);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(slot) = worker.runs.get_mut(task) else { return };
        let moved = if lasting { run.percent >= 100 } else { run.percent != slot.percent };
        if moved || (filler && slot.pace < 100) {
            slot.progressed_at = now;
        }
        slot.percent = run.percent;
        let age = now.saturating_sub(slot.phase_since);
        if slot.phase != Phase::Running {
            return;
        }
        let still = if lasting { STARTUP } else { STILL + estimate * STILL_SHARE / 100 };
        if now > slot.progressed_at + still {
            look::stop(&mut self.orders, id, task, slot, now);
            worker.record_result(false, now);
            return;
        }
        let fresh = !lasting && !filler && slot.resumed_from.is_empty();
        if fresh && estimate > 0 && run.percent >= SHOWS.0 && age >= SHOWS.1 {
            let lag = age * 100 / run.percent * 100 / estimate;
            // Estimates are wrong by job, so that a worker is judged against the job's other tasks.
            let (count, mean) = entry.pace;
            if count >= SAMPLES {
                worker.observe_slowdown(lag * 100 / mean.max(1), now);
            }
            if let Some(entry) = self.jobs.get_mut(&task.job) {
                let mean = if count == 0 { lag } else { (mean * 7 + lag) / 8 };
                entry.pace = (count + 1, mean);
            }
        }
    }

    /// Median of the executors' slowness, in percent; none before enough is known.
    pub(super) fn usual_lag(&self, now: u64) -> Option<u64> {
        let mut lags: Vec<u64> =
            self.workers.values().filter_map(|w| w.recent_slowdown(now)).collect();
        lags.sort_unstable();
        (lags.len() > 2).then(|| lags[lags.len() / 2])
    }

    /// Whether an executor is much slower than the others.
    pub(super) fn is_slow(&self, id: &str, usual: Option<u64>, now: u64) -> bool {
        let lag = self.workers.get(id).and_then(|w| w.recent_slowdown(now));
        matches!((lag, usual), (Some(lag), Some(usual)) if lag * 100 > usual * SLOW)
    }

    /// Stops tasks on slow executors that would end sooner elsewhere.
    pub(super) fn leave_slow(&mut self, now: u64) {
        let usual = self.usual_lag(now);
        let Some(usual) = usual else { return };
        let slow: Vec<String> =
            self.workers.keys().filter(|id| self.is_slow(id, Some(usual), now)).cloned().collect();
        let others = self.workers.iter().any(|(id, w)| w.accepts_tasks(now) && !slow.contains(id));
        if !others {
            return;
        }
        for id in slow {
            let Some(worker) = self.workers.get(&id) else { continue };
            let lag = worker.slowdown;
            let slower = |task: &&TaskId| {
                let Some(slot) = worker.runs.get(*task) else { return false };
                let shape = self.jobs.get(&task.job).and_then(|e| e.job.steps.get(task.step));
                let Some(shape) = shape.filter(|s| !s.long_running && !s.best_effort && !s.gang)
                else {
                    return false;
                };
                // Both are against the job's own pace.
                let mean = self.jobs.get(&task.job).map_or(100, |e| e.pace.1);
                let whole = shape.estimate * mean / 100;
                let left = whole * lag / 100 * (100 - slot.percent.min(100)) / 100;
                slot.phase == Phase::Running && left > whole * usual / 100 + STILL
            };
            let tasks: Vec<TaskId> = worker.runs.keys().filter(slower).cloned().collect();
            for task in tasks {
                if let Some(worker) = self.workers.get_mut(&id)
                    && let Some(slot) = worker.runs.get_mut(&task)
                {
                    look::stop(&mut self.orders, &id, &task, slot, now);
                }
            }
        }
    }
}
