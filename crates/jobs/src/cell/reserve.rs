//! Reservation of executors for long-running tasks that fit nowhere yet.
//!
//! Load pattern: at a peak the pool is full, and every piece that a small task frees is given to the
//! next one. A task that needs many such pieces on one executor would wait until the peak ends. One
//! executor is therefore reserved for it. It is the one whose small tasks are expected to end first,
//! and changes if a long one turns out to hold up the task.
//!
//! A reservation must not keep the others from room that the task can't use:
//!
//! - A small task starts on a reserved executor if the wait for room is no longer even if it never
//!   ends. Estimates are rough, so that its expected end counts for nothing.
//! - Only a share of a pool's executors is reserved at a time. A long-running task has precedence over
//!   small ones in each pass, so that it gets room that becomes free elsewhere all the same.
//! - In a pool that is mostly free, a job that has waited for a while without any run may use reserved
//!   room.

use super::Cell;
use super::assign::{Constraints, Pass};
use crate::job::TaskId;
use crate::place;
use crate::worker::{Phase, Resources, Slot, Worker};

/// Wait for room, in milliseconds, up to which a reserved executor is kept in any case; a few polls.
const KEPT_WAIT_MS: u64 = 500;
/// Share of the wait for room, in percent, to which a change of the reserved executor must reduce
/// it. With each change the expected wait halves, so that there are few.
const CHANGED_WAIT_PERCENT: u64 = 50;

/// Share of the executors that accept tasks that may be reserved at a time, in percent; at least one.
const MAX_RESERVED_PERCENT: usize = 25;
/// Share of each resource of a pool that is in use, in percent, below which the pool is mostly free.
const MOSTLY_FREE_PERCENT: u64 = 50;

/// Expected end of a short task.
pub(super) struct ShortEnd {
    /// Time until the end, in milliseconds.
    time_left: u64,
    /// Whether the task started after the executor was reserved.
    beside_reservation: bool,
    /// Resources that become free.
    resources: Resources,
    /// Whether the needs of the task are unknown.
    unknown_size: bool,
}

impl Cell {
    /// Reserves the executor that can soonest have room for a long-running task.
    ///
    /// The executor of the pass before is kept if it still suits and no other one has room much
    /// sooner. Returns `None` if the task fits on no executor even beside long-running tasks alone,
    /// so that the pool isn't held back for a task that it can't run.
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
        let advice = entry
            .needs_advice()
            .then(|| &entry.occurrences[&constraints.occurrence][constraints.step].advice);
        let suits = |n: usize, pass: &Pass| {
            let Some((id, worker)) = self.workers.get_index(n) else { return false };
            let task_count = constraints.task_counts.get(id).copied().unwrap_or(0);
            let mut total = pass.reserved.get(&n).copied().unwrap_or_default();
            total.add(need);
            let may_reserve =
                pass.reserved.contains_key(&n) || pass.reserved.len() < pass.max_reserved;
            may_reserve
                && worker.accepts_tasks(pass.now)
                && !self.is_quarantined(id)
                && advice.is_none_or(|advice| advice.ticket(id, pass.now).is_some())
                && place::is_eligible(spec, worker, task_count)
                && worker.has_room_beside_long_running(total)
        };
        let former = pass.former.get(&task).and_then(|id| self.workers.get_index_of(id));
        let former = former.filter(|n| suits(*n, pass));
        let former = former.map(|n| (n, self.wait_for_room(n, need, pass)));
        let chosen = match former {
            Some((n, wait)) if wait <= KEPT_WAIT_MS => n,
            _ => {
                let suitable: Vec<usize> =
                    (0..self.workers.len()).filter(|n| suits(*n, pass)).collect();
                let rate = |n| (self.wait_for_room(n, need, pass), self.missing(n, need, pass), n);
                let (soonest_wait, _, soonest) = suitable.into_iter().map(rate).min()?;
                match former {
                    Some((n, wait)) if soonest_wait > wait / 100 * CHANGED_WAIT_PERCENT => n,
                    _ => soonest,
                }
            }
        };
        let id = self.workers.get_index(chosen)?.0.clone();
        pass.reserved.entry(chosen).or_default().add(need);
        pass.reservations.insert(task, id.clone());
        Some(id)
    }

    /// Most executors that may be reserved at a time.
    pub(super) fn max_reserved(&self, now: u64) -> usize {
        let accepting = self.workers.values().filter(|worker| worker.accepts_tasks(now)).count();
        (accepting * MAX_RESERVED_PERCENT / 100).max(1)
    }

    /// Whether less than [`MOSTLY_FREE_PERCENT`] of each resource is in use.
    pub(super) fn is_mostly_free(&self, now: u64) -> bool {
        let (mut capacity, mut used) = (Resources::default(), Resources::default());
        for worker in self.workers.values().filter(|worker| worker.accepts_tasks(now)) {
            capacity.add(worker.registration.capacity);
            used.add(worker.used);
        }
        let is_free = |used: u64, capacity: u64| {
            capacity == 0 || used.saturating_mul(100) < capacity.saturating_mul(MOSTLY_FREE_PERCENT)
        };
        is_free(used.cpu, capacity.cpu)
            && is_free(used.memory, capacity.memory)
            && is_free(used.gpus, capacity.gpus)
    }

    /// Whether a short task that never ends would put off the room that is `reserved` on an executor.
    pub(super) fn delays_reservation(
        &self,
        worker: &Worker,
        need: Resources,
        reserved: Resources,
        now: u64,
    ) -> bool {
        let ends = self.short_ends(worker, now);
        let awaited = || ends.iter().filter(|end| !end.beside_reservation);
        let mut total = worker.used;
        total.add(reserved);
        let wait = wait_until_fit(worker, total, awaited());
        total.add(need);
        let delayed = wait_until_fit(worker, total, awaited());
        delayed.is_none() || delayed > wait
    }

    /// Expected time until the executor at position `n` has room for `need` besides what is reserved,
    /// if it gets no other tasks, in milliseconds.
    fn wait_for_room(&self, n: usize, need: Resources, pass: &mut Pass) -> u64 {
        let worker = &self.workers[n];
        let now = pass.now;
        let ends = pass.short_ends.entry(n).or_insert_with(|| self.short_ends(worker, now));
        let mut total = worker.used;
        total.add(need);
        total.add(pass.reserved.get(&n).copied().unwrap_or_default());
        wait_until_fit(worker, total, ends.iter()).unwrap_or(u64::MAX)
    }

    /// Expected ends of the short tasks of an executor, the first one first.
    fn short_ends(&self, worker: &Worker, now: u64) -> Vec<ShortEnd> {
        let short = worker.runs.iter().filter(|(_, slot)| !slot.long_running);
        let mut ends: Vec<ShortEnd> = short
            .map(|(task, slot)| ShortEnd {
                time_left: self.time_left(worker, task, slot, now),
                resources: slot.resources,
                unknown_size: slot.unknown_size,
                beside_reservation: slot.beside_reservation,
            })
            .collect();
        ends.sort_unstable_by_key(|end| end.time_left);
        ends
    }

    /// Expected time until a short task ends, in milliseconds; the longest possible if unknown.
    fn time_left(&self, worker: &Worker, task: &TaskId, slot: &Slot, now: u64) -> u64 {
        if matches!(slot.phase, Phase::Stopping | Phase::Stopped) {
            return (slot.phase_since + self.config.stop_timeout).saturating_sub(now);
        }
        let Some(entry) = self.jobs.get(&task.job) else { return u64::MAX };
        let Some(spec) = entry.job.steps.get(task.step) else { return u64::MAX };
        let (samples, mean) = entry.duration_ratio;
        let ratio = if samples == 0 { 100 } else { mean };
        let slowdown = worker.recent_slowdown(now).unwrap_or(100);
        let duration = spec.estimate.saturating_mul(ratio) / 100;
        let duration = duration.saturating_mul(slowdown) / 100;
        let left = duration.saturating_mul(100 - slot.percent.min(100)) / 100;
        let left = left.saturating_sub(now.saturating_sub(slot.progressed_at));
        // A run that has outlasted its estimate is expected to last as long again beyond it.
        let overrun = now.saturating_sub(slot.phase_since).saturating_sub(duration);
        left.max(overrun)
    }

    /// Share of an executor's capacity that must become free for `need`, in thousandths, of the
    /// resource that lacks most.
    fn missing(&self, n: usize, need: Resources, pass: &Pass) -> u64 {
        let worker = &self.workers[n];
        let reserved = pass.reserved.get(&n).copied().unwrap_or_default();
        let capacity = worker.registration.capacity;
        let missing = need.minus(worker.free().minus(reserved));
        let share = |missing: u64, capacity: u64| missing * 1_000 / capacity.max(1);
        share(missing.cpu, capacity.cpu)
            .max(share(missing.memory, capacity.memory))
            .max(share(missing.gpus, capacity.gpus))
    }
}

/// Expected time until the tasks that use `total` of an executor fit on it, in milliseconds; `None` if
/// the ends of short tasks, the first one first, don't suffice.
fn wait_until_fit<'a>(
    worker: &Worker,
    mut total: Resources,
    ends: impl Iterator<Item = &'a ShortEnd>,
) -> Option<u64> {
    let mut unknown_sizes = worker.unknown_sizes;
    let mut wait = 0;
    let fits =
        |total, unknown_sizes| unknown_sizes == 0 && worker.registration.capacity.fits(total);
    for end in ends {
        if fits(total, unknown_sizes) {
            break;
        }
        total = total.minus(end.resources);
        unknown_sizes -= usize::from(end.unknown_size);
        wait = end.time_left;
    }
    fits(total, unknown_sizes).then_some(wait)
}
