//! What of the cell has to be durable.

use indexmap::IndexMap;

use super::{Cell, Entry, REMEMBERED, StepState};
use crate::job::State;
use crate::progress::{Progress, StepProgress};

/// A job whose durable record has to change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobChange {
    /// Id of the job.
    pub id: String,
    /// Part of the table that holds it.
    pub part: String,
    /// Queue that it came to.
    pub queue: String,
    /// When its client first asked for it, by the cell's clock, in milliseconds.
    pub requested: u64,
    /// When it should be completed, by the cell's clock, in milliseconds.
    pub objective: u64,
    /// When this holder started its first task, by the cell's clock, in milliseconds.
    pub first_start: Option<u64>,
    /// Processor time that its runs have held, in thousandths of a core times milliseconds.
    pub cpu_time: u64,
    /// State to show.
    pub state: State,
    /// Whether the state shown is another by now.
    pub state_changed: bool,
    /// Progress to keep; not needed when the state is final.
    pub progress: Progress,
}

/// What becomes durable with a set of changes.
#[derive(Debug, Clone, Default)]
pub struct Flush {
    /// Jobs and the state that was written.
    pub jobs: Vec<(String, State)>,
    /// Ends by executor, up to which all is durable.
    pub ends: IndexMap<String, u64>,
}

impl Cell {
    /// Gives the changes that have to be made durable, and what may be acknowledged after that.
    pub fn take_changes(&mut self) -> (Vec<JobChange>, Flush) {
        let mut changes = Vec::with_capacity(self.dirty.len());
        let mut durable = Flush::default();
        for id in std::mem::take(&mut self.dirty) {
            let Some(entry) = self.jobs.get(&id) else { continue };
            durable.jobs.push((id.clone(), entry.state));
            changes.push(JobChange {
                part: entry.part.clone(),
                queue: entry.queue.clone(),
                requested: entry.waiting.asked,
                objective: entry.waiting.objective,
                first_start: entry.first,
                cpu_time: entry.spent,
                state: entry.state,
                state_changed: entry.state != entry.shown,
                progress: progress(entry),
                id,
            });
        }
        let unacknowledged = self.workers.iter().filter(|(_, w)| w.seen > w.durable);
        durable.ends = unacknowledged.map(|(id, w)| (id.clone(), w.seen)).collect();
        (changes, durable)
    }

    /// Whether there is something to make durable.
    pub fn is_dirty(&self) -> bool {
        !self.dirty.is_empty() || self.workers.values().any(|w| w.seen > w.durable)
    }

    /// Notes that changes are durable.
    pub fn flush_done(&mut self, durable: &Flush) {
        for (id, state) in &durable.jobs {
            if let Some(entry) = self.jobs.get_mut(id) {
                entry.shown = *state;
            }
        }
        for (id, number) in &durable.ends {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.durable = worker.durable.max(*number);
            }
        }
        for (id, state) in &durable.jobs {
            let over = self.jobs.get(id).is_some_and(|e| e.state == *state && state.is_final());
            if over {
                self.jobs.swap_remove(id);
                self.ended.insert(id.clone());
            }
        }
        let surplus = self.ended.len().saturating_sub(REMEMBERED);
        self.ended.drain(..surplus);
    }

    /// Notes that changes could not be made durable; they are given again.
    pub fn flush_failed(&mut self, durable: &Flush) {
        self.dirty.extend(durable.jobs.iter().map(|(id, _)| id.clone()));
    }
}

fn progress(entry: &Entry) -> Progress {
    let step = |s: &StepState| {
        let tasks = || (0u32..).zip(&s.tasks);
        StepProgress {
            done: tasks().filter(|(_, t)| t.done).map(|(n, _)| n).collect(),
            failed: tasks()
                .filter(|(_, t)| !t.done)
                .flat_map(|(n, t)| t.failed.iter().map(move |run| (n, *run)))
                .collect(),
        }
    };
    Progress {
        begun: entry.state != State::Queued,
        past: entry.past,
        turns: entry.turns.iter().map(|(n, t)| (*n, t.iter().map(step).collect())).collect(),
    }
}

/// Brings a step back to what was durable.
pub(super) fn restore(step: &mut StepState, durable: &StepProgress) {
    for index in &durable.done {
        if let Some(task) = step.tasks.get_mut(*index as usize)
            && !task.done
        {
            task.done = true;
            step.done += 1;
            step.open -= 1;
        }
    }
    for (index, run) in &durable.failed {
        if let Some(task) = step.tasks.get_mut(*index as usize) {
            task.failed.push(*run);
            task.run = task.run.max(*run);
        }
    }
}
