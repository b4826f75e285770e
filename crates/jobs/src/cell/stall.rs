//! Detection of stalled tasks and slow executors.
//!
//! Load pattern: an executor reports good health while its tasks make no progress, or becomes many
//! times slower than others. Only the progress of its tasks shows the fault. A task without
//! progress is stopped and starts again, as is a task on a slow executor that would end sooner on
//! another one.
//!
//! Long-running tasks: the start-ups of sound tasks differ by a factor of two, and by more on slow
//! executors, so that the progress of a start-up counts rather than its age.

use super::drain::FULL_SPEED_PERCENT;
use super::{Cell, StopReason};
use crate::job::TaskId;
use crate::worker::{Phase, PresentRun};

/// Time without progress after which a task counts as stalled, in milliseconds; spans several
/// polls.
const STALL_TIMEOUT_MS: u64 = 800;
/// Share of the task's estimate added to this time, in percent; progress is reported in whole
/// percents.
const STALL_ESTIMATE_PERCENT: u64 = 8;
/// Time without progress after which a long-running task that is not at full speed counts as
/// stalled, in milliseconds. It doubles with each such stop of the task, as does the next limit.
const STARTUP_STALL_TIMEOUT_MS: u64 = 2_500;
/// Estimated duration of a start-up above which the task counts as stalled, in milliseconds; more
/// than two usual start-ups.
const MAX_STARTUP_MS: u64 = 8_000;
/// Age from which the duration of a start-up is estimated by its progress, in milliseconds.
const STARTUP_SAMPLE_MS: u64 = 2_500;
/// Most times that the limits of a task's start-up double.
const MAX_STARTUP_DOUBLINGS: u32 = 4;
/// Progress in percent from which a task may work at full speed by the time a stop takes effect.
const NEAR_FULL_SPEED_PERCENT: u64 = 90;
/// Progress in percent and age in milliseconds from which a run's speed can be measured.
const SPEED_SAMPLE_MIN: (u64, u64) = (4, 150);
/// Samples of a job's runs from which their mean is used; several tasks, sampled twice each.
const MIN_DURATION_SAMPLES: u64 = 6;
/// Slowdown relative to the median executor, in percent, above which an executor is avoided; more
/// than running in the wrong rack costs.
const MAX_SLOWDOWN_PERCENT: u64 = 250;

impl Cell {
    /// Updates the progress of a run, stops it if it has stalled, and samples its speed.
    pub(super) fn check_progress(&mut self, id: &str, run: &PresentRun, now: u64) {
        let task = &run.task;
        let Some(entry) = self.jobs.get(&task.job) else { return };
        let Some(spec) = entry.job.steps.get(task.step) else { return };
        if spec.long_running {
            self.check_startup(id, run, now);
            return;
        }
        let (best_effort, estimate) = (spec.best_effort, spec.estimate);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(slot) = worker.runs.get_mut(task) else { return };
        if run.percent != slot.percent || (best_effort && slot.pace < 100) {
            slot.progressed_at = now;
        }
        slot.percent = run.percent;
        let age = now.saturating_sub(slot.phase_since);
        if slot.phase != Phase::Running {
            return;
        }
        let timeout = STALL_TIMEOUT_MS + estimate * STALL_ESTIMATE_PERCENT / 100;
        if now > slot.progressed_at + timeout {
            worker.record_result(false, now);
            self.stop_run(id, task, StopReason::Stalled, now);
            return;
        }
        let measurable = !best_effort && slot.resumed_from.is_empty();
        if measurable
            && estimate > 0
            && run.percent >= SPEED_SAMPLE_MIN.0
            && age >= SPEED_SAMPLE_MIN.1
        {
            let slowdown = age * 100 / run.percent * 100 / estimate;
            // The tasks of a job share the error of its estimates, so an executor is compared with
            // those that run other tasks of the job.
            let (count, mean) = entry.duration_ratio;
            if count >= MIN_DURATION_SAMPLES {
                worker.observe_slowdown(slowdown * 100 / mean.max(1), now);
            }
            if let Some(entry) = self.jobs.get_mut(&task.job) {
                let mean = if count == 0 { slowdown } else { (mean * 7 + slowdown) / 8 };
                entry.duration_ratio = (count + 1, mean);
            }
        }
    }

    /// Updates the progress of a long-running run, and stops it if its start-up has stalled.
    ///
    /// A run near full speed is not stopped while its step lacks as many other tasks as it may: it may
    /// reach full speed before the stop takes effect.
    fn check_startup(&mut self, id: &str, run: &PresentRun, now: u64) {
        let task = &run.task;
        let slow_starts = self.task(task).map_or(0, |state| state.slow_starts);
        let spec = self.jobs.get(&task.job).and_then(|entry| entry.job.steps.get(task.step));
        let is_best_effort = spec.is_some_and(|spec| spec.best_effort);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(slot) = worker.runs.get_mut(task) else { return };
        let at_full_speed = run.percent >= FULL_SPEED_PERCENT;
        let is_throttled = is_best_effort && slot.pace < FULL_SPEED_PERCENT;
        if at_full_speed || is_throttled || run.percent > slot.percent {
            slot.progressed_at = now;
        }
        let reached_full_speed = at_full_speed && slot.percent < FULL_SPEED_PERCENT;
        slot.percent = run.percent;
        if at_full_speed || is_throttled {
            slot.startup_since = now;
        }
        let idle_since = slot.progressed_at;
        let elapsed = now.saturating_sub(slot.startup_since);
        if slot.phase != Phase::Running {
            return;
        }
        if at_full_speed {
            if reached_full_speed {
                // It never ends as done, so this is the only success that it can have.
                worker.record_result(true, now);
                if let Some(state) = self.task_mut(task) {
                    state.slow_starts = 0;
                }
            }
            return;
        }
        let doublings = slow_starts.min(MAX_STARTUP_DOUBLINGS);
        let timeout = STARTUP_STALL_TIMEOUT_MS << doublings;
        let estimate = elapsed * FULL_SPEED_PERCENT / run.percent.max(1);
        let is_slow = elapsed >= STARTUP_SAMPLE_MS && estimate > MAX_STARTUP_MS << doublings;
        if now <= idle_since + timeout && !is_slow {
            return;
        }
        let is_near = run.percent >= NEAR_FULL_SPEED_PERCENT && now <= idle_since + 2 * timeout;
        if is_near && !self.may_be_unavailable(task, now) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.record_result(false, now);
        }
        if let Some(state) = self.task_mut(task) {
            state.slow_starts += 1;
        }
        self.stop_run(id, task, StopReason::Stalled, now);
    }

    /// Median slowdown of the executors, in percent; `None` with fewer than three samples.
    pub(super) fn median_slowdown(&self, now: u64) -> Option<u64> {
        let mut slowdowns: Vec<u64> =
            self.workers.values().filter_map(|w| w.recent_slowdown(now)).collect();
        slowdowns.sort_unstable();
        (slowdowns.len() > 2).then(|| slowdowns[slowdowns.len() / 2])
    }

    /// Whether an executor is much slower than the others.
    pub(super) fn is_slow(&self, id: &str, median: Option<u64>, now: u64) -> bool {
        let slowdown = self.workers.get(id).and_then(|w| w.recent_slowdown(now));
        matches!(
            (slowdown, median),
            (Some(slowdown), Some(median)) if slowdown * 100 > median * MAX_SLOWDOWN_PERCENT
        )
    }

    /// Stops tasks on slow executors that would end sooner on others.
    pub(super) fn stop_slow(&mut self, now: u64) {
        let median = self.median_slowdown(now);
        let Some(median) = median else { return };
        let slow: Vec<String> =
            self.workers.keys().filter(|id| self.is_slow(id, Some(median), now)).cloned().collect();
        let has_others =
            self.workers.iter().any(|(id, w)| w.accepts_tasks(now) && !slow.contains(id));
        if !has_others {
            return;
        }
        for id in slow {
            let Some(worker) = self.workers.get(&id) else { continue };
            let slowdown = worker.slowdown;
            let ends_sooner_elsewhere = |task: &&TaskId| {
                let Some(slot) = worker.runs.get(*task) else { return false };
                let spec = self.jobs.get(&task.job).and_then(|e| e.job.steps.get(task.step));
                let Some(spec) = spec.filter(|s| !s.long_running && !s.best_effort && !s.gang)
                else {
                    return false;
                };
                // Both slowdowns are relative to the usual duration of the job's tasks.
                let mean = self.jobs.get(&task.job).map_or(100, |e| e.duration_ratio.1);
                let duration = spec.estimate * mean / 100;
                let remaining = duration * slowdown / 100 * (100 - slot.percent.min(100)) / 100;
                slot.phase == Phase::Running
                    && remaining > duration * median / 100 + STALL_TIMEOUT_MS
            };
            let tasks: Vec<TaskId> =
                worker.runs.keys().filter(ends_sooner_elsewhere).cloned().collect();
            for task in tasks {
                self.stop_run(&id, &task, StopReason::SlowExecutor, now);
            }
        }
    }
}
