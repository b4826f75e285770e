//! Occurrences of a job: which of them have records.
//!
//! Load pattern: all occurrences of a repeated job are overdue when it is submitted, a hundred
//! thousand of them, or its first occurrence never ends while the others become due. An occurrence
//! that is due has records only once its turn comes: of those of which no task has started, a job
//! has one. Occurrences that are done are kept as spans of numbers, whether earlier ones are open or
//! not. So the memory of a job follows its runs, whatever is due.
//!
//! A job has few records even if a later step of each occurrence can't start: from
//! [`MAX_BEGUN_STEPS`] over all jobs on, its next occurrence waits until another is done.

use super::{JobEntry, StepState, new_steps};
use crate::job::Step;
use crate::order::Candidate;

/// Most steps of begun occurrences of all jobs of a cell, which each pass goes through; a job may have
/// one occurrence beyond.
pub(super) const MAX_BEGUN_STEPS: usize = 8_000;
/// Most occurrences of a job that have begun and are not done; the spans between them fit in one row of
/// the table, which takes 64 KB.
const MAX_BEGUN_OCCURRENCES: usize = 2_500;
/// Most occurrences of which no task has started, for a job whose steps need advice: the adviser may
/// deny all executors to one of them.
const MAX_ADVISED_OCCURRENCES: usize = 8;

impl JobEntry {
    /// Number of its occurrences; 1 for a job that runs once.
    pub fn occurrence_count(&self) -> u32 {
        self.job.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Updates the number of occurrences that are due at the wall-clock time `wall`, in milliseconds.
    pub fn update_due(&mut self, wall: u64) {
        self.due = match self.job.schedule {
            None => 1,
            Some(schedule) => match wall.checked_sub(schedule.first_due) {
                None => 0,
                Some(since) => {
                    let all = u64::from(schedule.occurrences);
                    let due = since.checked_div(schedule.interval).unwrap_or(all);
                    u32::try_from(due.saturating_add(1).min(all)).unwrap_or(schedule.occurrences)
                }
            },
        };
    }

    /// Begins the next occurrence that is due, unless enough wait for their turn, and returns its
    /// number.
    ///
    /// `max_steps` is the number of steps that its begun occurrences may have.
    pub fn begin_next(&mut self, max_steps: usize, now: u64) -> Option<u32> {
        let waiting = self.occurrences.values().filter(|steps| is_untouched(steps)).count();
        let most = if self.needs_advice() { MAX_ADVISED_OCCURRENCES } else { 1 };
        let begun = self.occurrences.len();
        let is_full = begun >= MAX_BEGUN_OCCURRENCES
            || (begun > 0 && (begun + 1).saturating_mul(self.job.steps.len()) > max_steps);
        if waiting >= most || is_full {
            return None;
        }
        let next = self.next_unbegun()?;
        self.next_occurrence = next + 1;
        self.begun_at = now;
        self.occurrence_mut(next)?;
        Some(next)
    }

    /// Values that decide the position of an occurrence in the scheduling order; `wall` is the
    /// wall-clock time at `now`, in milliseconds.
    pub fn occurrence_candidate(&self, n: u32, now: u64, wall: u64) -> Candidate {
        let Some(schedule) = self.job.schedule else { return self.candidate };
        let due = schedule.first_due.saturating_add(schedule.interval.saturating_mul(n.into()));
        let due = now.saturating_add(due).saturating_sub(wall);
        let requested_at = self.candidate.requested_at.max(due);
        let span = self.candidate.objective.saturating_sub(self.candidate.requested_at);
        let steps = self.occurrences.get(&n).map_or(&[][..], Vec::as_slice);
        let is_done = |n: usize| steps.get(n).is_some_and(StepState::is_done);
        Candidate {
            started: !is_untouched(steps),
            requested_at,
            objective: requested_at.saturating_add(span),
            critical_path: self.job.remaining_critical_path(is_done),
            ..self.candidate
        }
    }

    /// Number of occurrences that are due and have not begun.
    pub fn unbegun(&self) -> u64 {
        let Some(first) = self.next_unbegun() else { return 0 };
        let last = self.due - 1;
        let begun = self.occurrences.keys().filter(|n| (first..=last).contains(*n)).count() as u64;
        u64::from(last - first) + 1 - begun - self.finished.count_within(first, last)
    }

    /// The first occurrence that is due, has not begun and is not done.
    fn next_unbegun(&self) -> Option<u32> {
        let mut next = self.next_occurrence.max(self.first_open);
        while next < self.due {
            match self.finished.last_of(next) {
                Some(last) => next = last + 1,
                // A former holder may have begun occurrences beyond the next one.
                None if self.occurrences.contains_key(&next) => next += 1,
                None => return Some(next),
            }
        }
        None
    }

    /// Returns the steps of an occurrence, which begins if it has not; `None` if it is done or the
    /// job has fewer.
    pub fn occurrence_mut(&mut self, n: u32) -> Option<&mut Vec<StepState>> {
        if n < self.first_open || n >= self.occurrence_count() || self.finished.contains(n) {
            return None;
        }
        let position = match self.occurrences.binary_search_keys(&n) {
            Ok(position) => position,
            Err(position) => {
                self.occurrences.shift_insert(position, n, new_steps(&self.job));
                position
            }
        };
        self.occurrences.get_index_mut(position).map(|(_, steps)| steps)
    }

    /// Returns its steps that can start, as the steps before them are done, each with the number of
    /// open tasks in an occurrence and the number of such occurrences.
    pub fn startable_steps(&self) -> impl Iterator<Item = (&Step, u64, u64)> {
        let begun = self.occurrences.values().flat_map(|steps| {
            steps.iter().zip(&self.job.steps).filter_map(|(state, spec)| {
                let can_start = spec.depends_on.iter().all(|n| steps[*n].is_done());
                (can_start && state.open_count > 0).then_some((spec, state.open_count as u64, 1))
            })
        });
        let unbegun = match self.job.schedule {
            // It begins with its first pass.
            None => u64::from(self.occurrences.is_empty()),
            Some(_) => self.unbegun(),
        };
        let first = self.job.steps.iter().filter(move |s| unbegun > 0 && s.depends_on.is_empty());
        begun.chain(first.map(move |spec| (spec, u64::from(spec.count), unbegun)))
    }

    /// Drops the records of an occurrence if all of its tasks are done.
    pub fn finish_if_done(&mut self, n: u32) {
        let is_done =
            self.occurrences.get(&n).is_some_and(|steps| steps.iter().all(StepState::is_done));
        if is_done {
            self.occurrences.shift_remove(&n);
            self.finished.insert(n, n);
            self.first_open = self.finished.take_from(self.first_open);
        }
    }
}

/// Whether no task of an occurrence has started or is done.
pub(super) fn is_untouched(steps: &[StepState]) -> bool {
    steps.iter().all(|step| step.done_count == 0 && step.tasks.record_count() == 0)
}
