//! Releases of runs, after which their tasks may start again.
//!
//! A run without a reported end, such as one of an executor that has crashed, may have ended as done
//! and have been acknowledged to a later holder. It is released only once this holder is known to
//! have held the cell after the run was found absent: no other holder had called an executor by
//! then, and the end can no longer be read by anybody.
//!
//! Load pattern: a holder can reach neither the table nor some executors for a few seconds. Its
//! successor takes the cell while the orders of both are still accepted.

use super::Cell;
use crate::job::TaskId;

/// Most releases and acknowledged ends kept for the log between two reads of it.
const MAX_RELEASE_RECORDS: usize = 256;

/// Why a run was released.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ReleaseReason {
    /// The executor reported the end of the run.
    Ended,
    /// The start was not sent, or the executor refused it.
    Refused,
    /// The start was withdrawn before it was sent.
    Withdrawn,
    /// An answer of the executor has the run neither as present nor as ended.
    Missing,
    /// Another incarnation answers at the executor's address.
    Replaced,
    /// The executor has started again under its name.
    Restarted,
    /// The platform lists no machine with the executor.
    Unlisted,
    /// The executor's machine was ordered down or into another pool.
    Ordered,
    /// The executor's lease has expired.
    Expired,
    /// The start was in doubt, and the executor can't be asked.
    Unverified,
}

/// Evidence that a run is no longer on its executor, although no end was reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Absence {
    /// What shows it.
    pub reason: ReleaseReason,
    /// When the poll or list that shows it was requested, in milliseconds.
    pub requested: u64,
    /// When this holder learned of it, in milliseconds.
    pub since: u64,
}

/// A run that was released, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// Incarnation of the executor.
    pub executor: String,
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Why it was released.
    pub reason: ReleaseReason,
    /// When the poll or list that shows the reason was requested, in milliseconds.
    pub requested: u64,
    /// When it was released, in milliseconds.
    pub released: u64,
    /// Latest time before the release at which this holder certainly held the cell, in milliseconds.
    pub confirmed: u64,
}

/// An end that an executor may forget, of a run that a former holder started; for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcknowledgedEnd {
    /// Incarnation of the executor.
    pub executor: String,
    /// Sequence number of the end.
    pub sequence: u64,
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
}

impl Cell {
    /// Takes the releases since the last call.
    pub fn take_releases(&mut self) -> Vec<Release> {
        std::mem::take(&mut self.releases)
    }

    /// Takes the ends of former holders' runs that were acknowledged since the last call.
    pub fn take_acknowledged(&mut self) -> Vec<AcknowledgedEnd> {
        std::mem::take(&mut self.acknowledged)
    }

    /// Whether runs wait for a confirmation of the lease to be released.
    pub fn awaits_confirmation(&self) -> bool {
        !self.absent_runs.is_empty()
    }

    /// Records that a run is absent from its executor, so that it is released once the lease is
    /// confirmed, or at once if its start has not gone out.
    pub(super) fn mark_absent(&mut self, id: &str, task: &TaskId, absence: Absence) {
        let slot = self.workers.get_mut(id).and_then(|worker| worker.runs.get_mut(task));
        let Some(slot) = slot.filter(|slot| slot.absence.is_none()) else { return };
        if slot.sent {
            slot.absence = Some(absence);
            self.absent_runs.push((id.to_owned(), task.clone()));
        } else {
            self.release_run(id, task, absence.reason, absence.requested, absence.since);
        }
    }

    /// Marks all runs of an executor that has ended for good as absent.
    pub(super) fn mark_all_absent(&mut self, id: &str, absence: Absence) {
        let Some(worker) = self.workers.get(id) else { return };
        let tasks: Vec<TaskId> = worker.runs.keys().cloned().collect();
        tasks.iter().for_each(|task| self.mark_absent(id, task, absence));
    }

    /// Releases the runs that were absent before `owned_at`, when this holder held the cell.
    pub(super) fn release_absent(&mut self, owned_at: u64, now: u64) {
        for (id, task) in std::mem::take(&mut self.absent_runs) {
            let slot = self.workers.get(&id).and_then(|worker| worker.runs.get(&task));
            // Without an absence, a later answer has shown the run or its end.
            let Some(absence) = slot.and_then(|slot| slot.absence) else { continue };
            if absence.since < owned_at {
                self.release_run(&id, &task, absence.reason, absence.requested, now);
            } else {
                self.absent_runs.push((id, task));
            }
        }
    }

    /// Removes a run from its executor and reopens its task, which may start again from `now` on.
    ///
    /// `requested` is when the poll or list that shows the reason was requested.
    pub(super) fn release_run(
        &mut self,
        worker: &str,
        task: &TaskId,
        reason: ReleaseReason,
        requested: u64,
        now: u64,
    ) {
        let slot = self.workers.get_mut(worker).and_then(|w| w.remove_run(task));
        if let Some(slot) = &slot
            && self.releases.len() < MAX_RELEASE_RECORDS
        {
            self.releases.push(Release {
                executor: worker.to_owned(),
                task: task.clone(),
                run: slot.run,
                reason,
                requested,
                released: now,
                confirmed: self.last_owned,
            });
        }
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let has_begun = !matches!(reason, ReleaseReason::Refused | ReleaseReason::Withdrawn);
        entry.cpu_time += slot
            .filter(|_| has_begun)
            .map_or(0, |slot| slot.resources.cpu * now.saturating_sub(slot.phase_since));
        let Some(step) =
            entry.occurrences.get_mut(&task.occurrence).and_then(|t| t.get_mut(task.step))
        else {
            return;
        };
        let assigned = step.tasks.get(task.index).and_then(|state| state.worker.as_deref());
        if assigned != Some(worker) {
            return;
        }
        let Some(state) = step.tasks.get_mut(task.index) else { return };
        state.worker = None;
        state.not_before = state.not_before.max(now);
        if !state.done {
            step.open_count += 1;
        }
        step.tasks.settle(task.index);
    }

    /// Records an end of a former holder's run that the executor may forget once `sequence` is
    /// acknowledged.
    pub(super) fn record_former_ends(&mut self, id: &str, sequence: u64) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let left = worker.former_ends.split_off(&(sequence + 1));
        for (sequence, (task, run)) in std::mem::replace(&mut worker.former_ends, left) {
            if self.acknowledged.len() < MAX_RELEASE_RECORDS {
                let executor = id.to_owned();
                self.acknowledged.push(AcknowledgedEnd { executor, sequence, task, run });
            }
        }
    }
}
