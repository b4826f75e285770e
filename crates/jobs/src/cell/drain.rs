//! Draining of executors that are about to leave.
//!
//! Load pattern: a maintenance wave or a shrinking pool removes executors that have runs. Short
//! tasks are left to end by themselves. Tasks with checkpoints are stopped and resume elsewhere.
//! Long-running tasks are stopped only while enough other tasks of their step work at full speed, and
//! once another executor can take them, besides all others that wait for a place.

use indexmap::{IndexMap, IndexSet};

use super::{Cell, StopReason};
use crate::job::TaskId;
use crate::place;
use crate::worker::{INHERITED_RUN, Phase, Resources, Slot, Worker};

/// Run time up to which a task without checkpoints is left to end on a leaving executor, in
/// milliseconds; longer than the longest run of the usual kinds of job.
const DRAIN_RUN_LIMIT_MS: u64 = 4_000;
/// Share of the full speed, in percent, at which a long-running task counts as working.
pub(super) const FULL_SPEED_PERCENT: u64 = 100;
/// Age up to which an executor's last poll shows that its tasks work, in milliseconds; less than
/// the time after which a task counts as unavailable.
const ANSWER_MAX_AGE_MS: u64 = 2_000;

/// Longest time for which a long-running task stays on a leaving executor because no other can take
/// it, in milliseconds; several times as long as a machine takes to join the pool.
const PLACE_TIMEOUT_MS: u64 = 8_000;

/// Places that long-running tasks without a run will take.
#[derive(Default)]
struct Claims {
    /// Resources taken, by executor.
    taken: IndexMap<String, Resources>,
    /// Number of tasks that each executor has or will have, by the first task of their step.
    counts: IndexMap<TaskId, IndexMap<String, u32>>,
}

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
        let mut claims = None;
        for id in leaving {
            let Some(worker) = self.workers.get(&id) else { continue };
            let running: Vec<(TaskId, u64)> = worker
                .runs
                .iter()
                .filter(|(_, slot)| slot.phase == Phase::Running)
                .map(|(task, slot)| (task.clone(), slot.phase_since))
                .collect();
            for (task, since) in running {
                if self.may_stop(&id, &task, since, &mut claims, now) {
                    self.stop_run(&id, &task, StopReason::Drain, now);
                }
            }
        }
    }

    /// Whether a run that has been in its phase since `since` may be stopped for a drain.
    ///
    /// A long-running task that may be stopped is added to `claims`, which are determined at the
    /// first such task.
    fn may_stop(
        &self,
        id: &str,
        task: &TaskId,
        since: u64,
        claims: &mut Option<Claims>,
        now: u64,
    ) -> bool {
        let Some(entry) = self.jobs.get(&task.job) else { return true };
        let Some(spec) = entry.job.steps.get(task.step) else { return true };
        if !spec.long_running {
            return spec.checkpointing || now > since + DRAIN_RUN_LIMIT_MS;
        }
        if !entry.occurrences.contains_key(&task.occurrence) {
            return true;
        }
        if !self.may_be_unavailable(task, now) {
            return false;
        }
        let leaving_since = self.workers.get(id).and_then(|worker| worker.leaving_since);
        let overdue = leaving_since.is_some_and(|since| now >= since + PLACE_TIMEOUT_MS);
        let claims = claims.get_or_insert_with(|| self.claims(now));
        self.claim(claims, task, None, now) || overdue
    }

    /// Whether a long-running task may become unavailable besides the others of its step.
    pub(super) fn may_be_unavailable(&self, task: &TaskId, now: u64) -> bool {
        let spec = self.jobs.get(&task.job).and_then(|entry| entry.job.steps.get(task.step));
        let limit = spec.map_or(0, |spec| spec.max_unavailable as usize);
        limit == 0 || self.unavailable_others(task, now) < limit
    }

    /// Number of the other tasks of a task's step that are not known to work at full speed; 0 for a
    /// task that is not long-running.
    pub(super) fn unavailable_others(&self, task: &TaskId, now: u64) -> usize {
        let Some(entry) = self.jobs.get(&task.job) else { return 0 };
        let step = entry.occurrences.get(&task.occurrence).and_then(|t| t.get(task.step));
        let spec = entry.job.steps.get(task.step).filter(|spec| spec.long_running);
        let (Some(step), Some(_)) = (step, spec) else { return 0 };
        let is_available = |index: u32, state: &super::Task| {
            let id = TaskId { index, ..task.clone() };
            let worker = state.worker.as_ref().and_then(|worker| self.workers.get(worker));
            worker.filter(|w| now < w.poll_answered_at + ANSWER_MAX_AGE_MS).is_some_and(|worker| {
                worker.runs.get(&id).is_some_and(|slot| self.is_working(worker, slot))
            })
        };
        let others = step.tasks.recorded().filter(|(index, _)| *index != task.index);
        let available = others.filter(|(index, state)| is_available(*index, state)).count();
        step.tasks.len().saturating_sub(1 + available)
    }

    /// Places that the long-running tasks will take that wait, or are being stopped for a drain.
    fn claims(&self, now: u64) -> Claims {
        let mut claims = Claims::default();
        let mut claimed = IndexSet::new();
        for (task, id) in &self.reservations {
            if self.needs_place(task) && self.claim(&mut claims, task, Some(id), now) {
                claimed.insert(task);
            }
        }
        let jobs = self.jobs.iter().filter(|(_, e)| e.candidate.long_running);
        for (job, entry) in jobs {
            for (occurrence, steps) in &entry.occurrences {
                let steps = (0..steps.len()).filter(|step| entry.job.steps[*step].long_running);
                for step in steps {
                    let id =
                        |index| TaskId { job: job.clone(), occurrence: *occurrence, step, index };
                    let tasks = (0..entry.job.steps[step].count).map(id);
                    let waiting =
                        tasks.filter(|task| self.needs_place(task) && !claimed.contains(task));
                    for task in waiting {
                        if !self.claim(&mut claims, &task, None, now) {
                            // The other tasks of the step need the same.
                            break;
                        }
                    }
                }
            }
        }
        claims
    }

    /// Whether a long-running task is due and has no run, or only one that is stopped for a drain.
    fn needs_place(&self, task: &TaskId) -> bool {
        let Some(entry) = self.jobs.get(&task.job).filter(|e| !e.state.is_final()) else {
            return false;
        };
        let Some(spec) = entry.job.steps.get(task.step) else { return false };
        let Some(steps) = entry.occurrences.get(&task.occurrence) else { return false };
        if !spec.long_running || !spec.depends_on.iter().all(|n| steps[*n].is_done()) {
            return false;
        }
        let state = steps.get(task.step).and_then(|step| step.tasks.get(task.index));
        let Some(state) = state.filter(|state| !state.done) else { return false };
        let Some(id) = &state.worker else { return true };
        let Some(worker) = self.workers.get(id).filter(|w| w.leaving_since.is_some()) else {
            return false;
        };
        let stops = |slot: &Slot| matches!(slot.phase, Phase::Stopping | Phase::Stopped);
        worker.runs.get(task).is_some_and(stops)
    }

    /// Claims a place for a long-running task, on the executor `id` if given, and returns whether
    /// there is one.
    ///
    /// A place is room on an executor that accepts tasks, at the latest once its short tasks have
    /// ended.
    fn claim(&self, claims: &mut Claims, task: &TaskId, id: Option<&String>, now: u64) -> bool {
        let Some(entry) = self.jobs.get(&task.job) else { return false };
        let Some(spec) = entry.job.steps.get(task.step) else { return false };
        let step = entry.occurrences.get(&task.occurrence).and_then(|steps| steps.get(task.step));
        let Some(step) = step else { return false };
        let need = place::required_resources(spec);
        let first = TaskId { index: 0, ..task.clone() };
        let counts = claims.counts.entry(first).or_insert_with(|| self.tasks_per_worker(step));
        let total = |id: &String| {
            let mut total = claims.taken.get(id).copied().unwrap_or_default();
            total.add(need);
            total
        };
        let place = self
            .workers
            .iter()
            .filter(|(name, _)| id.is_none_or(|id| id == *name))
            .filter(|(id, worker)| {
                worker.accepts_tasks(now)
                    && !self.is_quarantined(id)
                    && place::is_eligible(spec, worker, counts.get(*id).copied().unwrap_or(0))
                    && worker.has_room_beside_long_running(total(id))
            })
            // An executor that has room at once gets the task, and the best fit among several.
            .min_by_key(|(id, worker)| {
                let left = worker.free_beside_long_running().minus(total(id));
                (!worker.has_room(total(id)), left.cpu, left.memory)
            });
        let Some((id, _)) = place else { return false };
        *counts.entry(id.clone()).or_default() += 1;
        claims.taken.entry(id.clone()).or_default().add(need);
        true
    }

    /// Whether a long-running task works at full speed and will continue to.
    ///
    /// A run inherited just now may be about to end by a stop order of the former holder, which the
    /// executor does not report. The run counts only by a poll that was sent once such a stop would
    /// have taken effect.
    fn is_working(&self, worker: &Worker, slot: &Slot) -> bool {
        let is_inherited = slot.resumed_from == INHERITED_RUN;
        let shown_at = if is_inherited { worker.poll_sent_at } else { worker.poll_answered_at };
        slot.phase == Phase::Running
            && slot.percent >= FULL_SPEED_PERCENT
            && shown_at >= slot.phase_since + self.config.stop_timeout
    }
}
