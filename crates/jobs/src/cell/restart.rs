//! Executors that start again under the name that they had.
//!
//! The new incarnation is an executor of its own. What it may share with the earlier one are starts
//! that were addressed to that one: an order names the executor only, its answer does not tell which
//! incarnation has carried it out, and an unanswered order may be carried out seconds later. Such a
//! run stays with the earlier incarnation, and its task is not started again, until the new one is
//! registered. It is then looked for there: it goes on if a poll shows it, and is stopped otherwise,
//! so that the order has no effect any more.
//!
//! Load pattern: some executors crash and restart within a second or two, while each of them starts
//! dozens of tasks a second. Only the starts of the last fraction of a second are in doubt.

use super::{Absence, Cell, ReleaseReason};
use crate::incarnation;
use crate::job::TaskId;
use crate::worker::{Phase, Slot};

/// Longest time after which an executor may carry out an order, in milliseconds, as the platform
/// states it.
const LATE_ORDER_MS: u64 = 12_000;
/// Time after a start in doubt for which its task waits for the executor to restart, in milliseconds.
///
/// Its job would be late after a longer wait, and a long-running task must not be without a run for seven
/// seconds. An executor that restarts later is still asked to stop the run.
const RESTART_WAIT_MS: u64 = 1_500;

/// An unanswered start of a run on an executor that may restart.
#[derive(Debug)]
pub(super) struct OpenStart {
    /// Name of the executor.
    executor: String,
    task: TaskId,
    slot: Slot,
}

impl Cell {
    /// Sets the longest lease that an executor accepts, in milliseconds.
    ///
    /// An executor that has restarted limits the end of a lease by the clock of the earlier
    /// incarnation only to this.
    pub fn set_longest_lease(&mut self, lease: u64) {
        self.longest_lease = self.config.lease.max(lease);
    }

    /// Marks an incarnation as dead whose executor has started again under the same name.
    ///
    /// The end counts as a crash, as in [`Cell::mark_dead`].
    pub fn mark_restarted(&mut self, id: &str, now: u64) {
        let Some(worker) = self.workers.get(id) else { return };
        // A former holder may have ordered starts that the new incarnation has carried out.
        let is_unread = !worker.joined && self.inherited_workers.contains(id);
        if !worker.dead {
            let absence = Absence { reason: ReleaseReason::Restarted, requested: now, since: now };
            self.handle_crash(id, absence);
        }
        self.rule_out_life(id);
        let later = self.workers.keys().filter(|other| incarnation::is_replaced_by(id, other));
        match later.max_by_key(|other| incarnation::start(other)).cloned() {
            Some(next) => {
                if is_unread {
                    self.inherited_workers.insert(next.clone());
                }
                self.pass_on_runs(id, &next, now);
            }
            None if is_unread => {
                self.awaited_incarnations.insert(incarnation::name(id).to_owned());
            }
            None => {}
        }
    }

    /// Records that an executor that counts as dead has certainly ended.
    pub(super) fn rule_out_life(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.presumed_dead = false;
        }
    }

    /// Takes an executor into use again that has answered although the list of machines did not name
    /// it.
    ///
    /// Of its runs that an answer shows, those still waiting for a confirmation of the lease go on;
    /// the others were released, and are stopped, as their tasks may have started elsewhere.
    pub(super) fn revive(&mut self, id: &str) {
        let Some(worker) = self.workers.get_mut(id).filter(|w| w.dead && w.is_polled()) else {
            return;
        };
        worker.dead = false;
        worker.presumed_dead = false;
    }

    /// Ends the earlier incarnations of executors that were registered anew.
    pub(super) fn replace_restarted(&mut self, now: u64) {
        for id in std::mem::take(&mut self.new_incarnations) {
            if self.awaited_incarnations.swap_remove(incarnation::name(&id)) {
                self.inherited_workers.insert(id.clone());
            }
            let is_earlier = |other: &&String| incarnation::is_replaced_by(other, &id);
            let earlier: Vec<String> = self.workers.keys().filter(is_earlier).cloned().collect();
            for other in earlier {
                if incarnation::start(&other).is_some() {
                    self.mark_restarted(&other, now);
                } else {
                    // Both may be the same incarnation, which has told its start only now.
                    self.pass_on_runs(&other, &id, now);
                    let reason = ReleaseReason::Restarted;
                    self.end_worker(&other, Absence { reason, requested: now, since: now });
                }
            }
            self.check_open_starts(&id, now);
        }
    }

    /// Records that the start of a run was not answered.
    ///
    /// A stop binds only the incarnation that answers it.
    pub(super) fn keep_open_start(&mut self, id: &str, task: &TaskId) {
        let Some(worker) = self.workers.get(id).filter(|w| w.may_restart()) else { return };
        if let Some(slot) = worker.runs.get(task) {
            self.open_starts.push(OpenStart {
                executor: incarnation::name(id).to_owned(),
                task: task.clone(),
                slot: slot.clone(),
            });
        }
    }

    /// Drops the record of an unanswered start that has certainly not gone out.
    pub(super) fn forget_open_start(&mut self, task: &TaskId, run: u64) {
        self.open_starts.retain(|start| start.task != *task || start.slot.run != run);
    }

    /// Lets a new incarnation be asked about the unanswered starts of the earlier ones, so that they
    /// are stopped there, although their tasks may have started elsewhere since.
    fn check_open_starts(&mut self, id: &str, now: u64) {
        let is_open = |start: &OpenStart| {
            start.slot.unverified_since.is_some_and(|since| now < since + LATE_ORDER_MS)
        };
        self.open_starts.retain(is_open);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let name = incarnation::name(id);
        for start in self.open_starts.iter().filter(|start| start.executor == name) {
            if !worker.runs.contains_key(&start.task) {
                let slot = Slot {
                    phase: Phase::Unsure,
                    phase_since: now,
                    start_clock: None,
                    cleared: false,
                    absence: None,
                    stop: None,
                    ..start.slot.clone()
                };
                worker.add_run(start.task.clone(), slot);
            }
        }
    }

    /// Passes the runs that an earlier incarnation still has on to a later one, whose next polls show
    /// whether it has them.
    fn pass_on_runs(&mut self, earlier: &str, later: &str, now: u64) {
        let Some(worker) = self.workers.get_mut(earlier) else { return };
        let present = worker.runs.iter().filter(|(_, slot)| slot.absence.is_none());
        let tasks: Vec<TaskId> = present.map(|(task, _)| task.clone()).collect();
        for task in tasks {
            let slot = self.workers.get_mut(earlier).and_then(|w| w.remove_run(&task));
            let Some(slot) = slot else { continue };
            if let Some(state) = self.task_mut(&task)
                && state.worker.as_deref() == Some(earlier)
            {
                state.worker = Some(later.to_owned());
            }
            let slot = Slot {
                phase: Phase::Unsure,
                phase_since: now,
                progressed_at: now,
                startup_since: now,
                start_clock: None,
                cleared: false,
                unverified_since: slot.unverified_since.or(Some(now)),
                ..slot
            };
            if let Some(worker) = self.workers.get_mut(later)
                && !worker.runs.contains_key(&task)
            {
                worker.add_run(task.clone(), slot);
                self.quarantine_adopted(later, &task, now);
            }
        }
    }

    /// Runs that have certainly ended once their incarnation or its lease has.
    ///
    /// The others may be on another incarnation, or may still begin there.
    pub(super) fn verified_runs(&self, id: &str) -> Vec<TaskId> {
        let Some(worker) = self.workers.get(id) else { return Vec::new() };
        let may_restart = worker.may_restart();
        let is_verified = |slot: &Slot| !may_restart || slot.unverified_since.is_none();
        let runs = worker.runs.iter().filter(|(_, slot)| is_verified(slot));
        runs.map(|(task, _)| task.clone()).collect()
    }

    /// Releases runs of executors that can't be asked and have not restarted in time.
    ///
    /// `owned_at` is as in [`Cell::expire`].
    pub(super) fn expire_unverified(&mut self, owned_at: u64, now: u64) {
        let mut expired: Vec<(String, TaskId)> = Vec::new();
        for (id, worker) in self.workers.iter().filter(|(_, w)| !w.runs.is_empty()) {
            let is_unread = worker.dead || !worker.joined || worker.leases_expired(owned_at);
            // Until then no later holder can have read the run or its end from the executor.
            let dead_since = if worker.dead { worker.dead_since } else { 0 };
            let is_over = |slot: &Slot| {
                slot.unverified_since.is_some_and(|since| {
                    owned_at > (since + RESTART_WAIT_MS).max(dead_since).max(slot.phase_since)
                })
            };
            if is_unread && worker.may_restart() {
                let over = worker.runs.iter().filter(|(_, slot)| is_over(slot));
                expired.extend(over.map(|(task, _)| (id.clone(), task.clone())));
            }
        }
        for (id, task) in expired {
            self.release_run(&id, &task, ReleaseReason::Unverified, now, now);
        }
    }
}
