//! Changes of the cell's jobs that have to be written to the table.
//!
//! Load pattern: for some seconds a part of the table takes no writes while the others do. The
//! changes of each part are taken and confirmed apart from those of the others, so that jobs in the
//! other parts end in time and their ends are acknowledged.

use indexmap::{IndexMap, IndexSet};

use super::poll::mark_done;
use super::{Cell, CrashRecord, JobEntry, MAX_ENDED_JOBS, StepState, occurrences};
use crate::flush::{MAX_PROGRESS_CHANGES, Selection};
use crate::job::State;
use crate::progress::{Progress, StepProgress};

/// A job whose rows in the table have to change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobChange {
    /// Id of the job.
    pub id: String,
    /// Partition of the table that holds the job.
    pub part: String,
    /// Queue to which the job was submitted.
    pub queue: String,
    /// Organisation on whose behalf the job was submitted.
    pub organisation: Option<String>,
    /// When the client first requested the job, by the cell's clock, in milliseconds.
    pub requested_at: u64,
    /// When the job should be completed, by the cell's clock, in milliseconds.
    pub objective: u64,
    /// When this holder started the job's first task, by the cell's clock, in milliseconds.
    pub first_start: Option<u64>,
    /// CPU time reserved by its ended runs, in thousandths of a core times milliseconds.
    pub cpu_time: u64,
    /// State of the job, as clients see it.
    pub state: State,
    /// Whether the state differs from the one that the table holds.
    pub state_changed: bool,
    /// Progress to write; not needed if the state is final.
    pub progress: Progress,
    /// Numbers of tasks of the job's steps.
    pub counts: Vec<u32>,
}

/// What becomes durable once a set of changes is written.
#[derive(Debug, Clone, Default)]
pub struct Flush {
    /// Ids of the jobs and the state in their changes.
    pub jobs: Vec<(String, State)>,
    /// Executors and the numbers of their ends whose effects become durable.
    pub ends: Vec<(String, u64)>,
}

impl Cell {
    /// Takes the changes to write, and what becomes durable with them.
    pub fn take_changes(&mut self) -> (Vec<JobChange>, Flush) {
        let (mut changes, mut flush) = (Vec::new(), Flush::default());
        for (part_changes, part_flush) in
            self.take_changes_by_part(|_| Selection::All).into_values()
        {
            changes.extend(part_changes);
            flush.jobs.extend(part_flush.jobs);
            flush.ends.extend(part_flush.ends);
        }
        (changes, flush)
    }

    /// Takes the selected changes of each part, with what becomes durable with them.
    pub fn take_changes_by_part(
        &mut self,
        select: impl Fn(&str) -> Selection,
    ) -> IndexMap<String, (Vec<JobChange>, Flush)> {
        let mut parts: IndexMap<String, (Vec<JobChange>, Flush)> = IndexMap::new();
        // The number of jobs in a part whose progress is taken.
        let mut progress_counts: IndexMap<String, usize> = IndexMap::new();
        let mut taken: IndexSet<String> = IndexSet::new();
        for id in std::mem::take(&mut self.dirty) {
            let Some(entry) = self.jobs.get_mut(&id) else { continue };
            let selection = select(&entry.part);
            let selected = if entry.held {
                false
            } else if entry.state.is_final() {
                selection != Selection::None
            } else {
                let count = progress_counts.entry(entry.part.clone()).or_default();
                *count += 1;
                selection == Selection::All && *count <= MAX_PROGRESS_CHANGES
            };
            if !selected {
                self.dirty.insert(id);
                continue;
            }
            if entry.crash_record == CrashRecord::Unwritten {
                entry.crash_record = CrashRecord::Taken;
            }
            let (changes, flush) = parts.entry(entry.part.clone()).or_default();
            flush.jobs.push((id.clone(), entry.state));
            taken.insert(id.clone());
            changes.push(JobChange {
                part: entry.part.clone(),
                queue: entry.queue.clone(),
                organisation: entry
                    .organisation
                    .and_then(|number| self.quotas.name(number))
                    .map(str::to_owned),
                requested_at: entry.candidate.requested_at,
                objective: entry.candidate.objective,
                first_start: entry.first_start,
                cpu_time: entry.cpu_time,
                state: entry.state,
                state_changed: entry.state != entry.durable_state,
                progress: if entry.state.is_final() {
                    Progress::default()
                } else {
                    progress(entry)
                },
                counts: entry.job.steps.iter().map(|step| step.count).collect(),
                id,
            });
        }
        for (id, worker) in &mut self.workers {
            // An end that was reported after the end of its job was written has no effect.
            worker.pending_ends.retain(|_, job| self.jobs.contains_key(job));
            worker.settle_ends();
            for (sequence, job) in
                worker.pending_ends.iter().filter(|(_, job)| taken.contains(*job))
            {
                let Some(entry) = self.jobs.get(job) else { continue };
                if let Some((_, flush)) = parts.get_mut(&entry.part) {
                    flush.ends.push((id.clone(), *sequence));
                }
            }
        }
        parts
    }

    /// Whether there are changes to write or ends to acknowledge.
    pub fn is_dirty(&self) -> bool {
        !self.dirty.is_empty() || self.workers.values().any(|w| !w.pending_ends.is_empty())
    }

    /// Records that changes have been written, and removes jobs whose end is durable.
    pub fn flush_done(&mut self, flush: &Flush) {
        for (id, state) in &flush.jobs {
            if let Some(entry) = self.jobs.get_mut(id) {
                entry.durable_state = *state;
                if entry.crash_record == CrashRecord::Taken {
                    entry.crash_record = CrashRecord::Durable;
                }
            }
        }
        for (id, sequence) in &flush.ends {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.pending_ends.remove(sequence);
                worker.settle_ends();
            }
        }
        for (id, state) in &flush.jobs {
            let ended = self.jobs.get(id).is_some_and(|e| e.state == *state && state.is_final());
            if ended {
                self.footprint -= self.jobs.swap_remove(id).map_or(0, |entry| entry.bytes);
                self.ended_jobs.insert(id.clone());
            }
        }
        let surplus = self.ended_jobs.len().saturating_sub(MAX_ENDED_JOBS);
        self.ended_jobs.drain(..surplus);
    }

    /// Records that the changes of some jobs were rejected, while the others have been written.
    ///
    /// The rejected jobs are held: their changes are not taken and their tasks do not start before
    /// [`Cell::release_job`].
    pub fn flush_partly(&mut self, flush: &Flush, rejected: &IndexSet<String>) {
        if rejected.is_empty() {
            self.flush_done(flush);
            return;
        }
        let is_rejected = |id: &String| rejected.contains(id);
        let (failed, done) = flush.jobs.iter().cloned().partition(|(id, _)| is_rejected(id));
        let is_written = |(id, sequence): &&(String, u64)| {
            let job = self.workers.get(id).and_then(|worker| worker.pending_ends.get(sequence));
            !job.is_some_and(is_rejected)
        };
        let ends = flush.ends.iter().filter(is_written).cloned().collect();
        self.flush_done(&Flush { jobs: done, ends });
        self.flush_failed(&Flush { jobs: failed, ends: Vec::new() });
        for id in rejected {
            if let Some(entry) = self.jobs.get_mut(id) {
                entry.held = true;
            }
        }
    }

    /// Ends the hold of a job whose changes were rejected.
    pub fn release_job(&mut self, id: &str) {
        if let Some(entry) = self.jobs.get_mut(id) {
            entry.held = false;
        }
    }

    /// Records that changes could not be written; [`Cell::take_changes`] returns them again.
    pub fn flush_failed(&mut self, flush: &Flush) {
        for (id, _) in &flush.jobs {
            if let Some(entry) = self.jobs.get_mut(id)
                && entry.crash_record == CrashRecord::Taken
            {
                entry.crash_record = CrashRecord::Unwritten;
            }
            self.dirty.insert(id.clone());
        }
    }
}

/// Progress of a job to write to the table.
fn progress(entry: &JobEntry) -> Progress {
    let step = |s: &StepState| {
        let tasks = || s.tasks.recorded();
        StepProgress {
            done: s.tasks.done().collect(),
            failed: tasks()
                .filter(|(_, t)| !t.done)
                .flat_map(|(n, t)| t.failed_runs.iter().map(move |run| (n, *run)))
                .collect(),
            crashes: tasks()
                .filter(|(_, t)| !t.done && t.crashes.is_suspect())
                .map(|(n, t)| (n, t.crashes))
                .collect(),
        }
    };
    Progress {
        started: entry.state != State::Queued,
        completed_below: entry.first_open,
        finished: entry.finished.iter().collect(),
        occurrences: entry
            .occurrences
            .iter()
            .filter(|(_, t)| !occurrences::is_untouched(t))
            .map(|(n, t)| (*n, t.iter().map(step).collect::<Vec<_>>()))
            .filter(|(_, t)| t.iter().any(|step| *step != StepProgress::default()))
            .collect(),
    }
}

/// Restores the state of a step from its durable progress.
pub(super) fn restore(step: &mut StepState, durable: &StepProgress) {
    for index in &durable.done {
        mark_done(step, *index);
    }
    for (index, run) in &durable.failed {
        if let Some(task) = step.tasks.get_mut(*index) {
            if !task.failed_runs.contains(run) {
                task.failed_runs.push(*run);
            }
            task.last_run = task.last_run.max(*run);
        }
    }
    for (index, crashes) in &durable.crashes {
        if let Some(task) = step.tasks.get_mut(*index).filter(|t| !t.done) {
            task.crashes = *crashes;
        }
    }
}
