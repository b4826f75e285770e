//! Reservation of executors for long-running tasks that fit nowhere yet.
//!
//! Load pattern: at a peak the pool is full, and every piece that a small task frees is given to the
//! next one. A task that needs many such pieces on one executor would wait until the peak ends. One
//! executor is therefore reserved for it, which gets no other tasks until the small ones there have
//! ended.

use super::Cell;
use super::assign::{Constraints, Pass};
use crate::job::TaskId;
use crate::place;
use crate::worker::{Resources, Worker};

impl Cell {
    /// Reserves the executor that can soonest have room for a long-running task.
    ///
    /// The executor of the pass before is kept if it still suits. Returns `None` if the task fits
    /// on no executor even beside long-running tasks alone, so that the pool isn't held back for a
    /// task that it can't run.
    pub(super) fn reserve(
        &self,
        job: usize,
        task: TaskId,
        constraints: &Constraints<'_>,
        pass: &mut Pass,
    ) -> Option<String> {
        let (_, entry) = self.jobs.get_index(job)?;
        let spec = &entry.job.steps[constraints.step];
        let need = place::required_resources(spec);
        let advice = self
            .needs_advice(&entry.queue)
            .then(|| &entry.occurrences[&constraints.occurrence][constraints.step].advice);
        let suits = |n: usize, id: &String, worker: &Worker| {
            let task_count = constraints.task_counts.get(id).copied().unwrap_or(0);
            let reserved = pass.reserved.get(&n).copied().unwrap_or_default();
            worker.accepts_tasks(pass.now)
                && advice.is_none_or(|advice| advice.ticket(id, pass.now).is_some())
                && place::is_eligible(spec, worker, task_count)
                && worker.free_beside_long_running().minus(reserved).fits(need)
        };
        let former = pass.former.get(&task).and_then(|id| self.workers.get_full(id));
        let former = former.filter(|(n, id, worker)| suits(*n, id, worker)).map(|(n, ..)| n);
        let chosen = former.or_else(|| {
            let workers = self.workers.iter().enumerate();
            let suitable = workers.filter(|(n, (id, worker))| suits(*n, id, worker));
            let missing = |n: usize, worker: &Worker| {
                let reserved = pass.reserved.get(&n).copied().unwrap_or_default();
                missing_per_mille(worker.registration.capacity, worker.free().minus(reserved), need)
            };
            suitable.min_by_key(|(n, (_, worker))| missing(*n, worker)).map(|(n, _)| n)
        })?;
        let id = self.workers.get_index(chosen)?.0.clone();
        pass.reserved.entry(chosen).or_default().add(need);
        pass.reservations.insert(task, id.clone());
        Some(id)
    }
}

/// Share of an executor's capacity that must become free for `need`, in thousandths, of the resource
/// that lacks most.
fn missing_per_mille(capacity: Resources, free: Resources, need: Resources) -> u64 {
    let missing = need.minus(free);
    let share = |missing: u64, capacity: u64| missing * 1_000 / capacity.max(1);
    share(missing.cpu, capacity.cpu)
        .max(share(missing.memory, capacity.memory))
        .max(share(missing.gpus, capacity.gpus))
}
