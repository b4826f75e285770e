//! Progress of a job, as stored in the table.

use indexmap::IndexMap;

use crate::crash::Crashes;

/// Durable progress of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// Whether a task has started.
    pub started: bool,
    /// All occurrences below this number are done.
    pub completed_below: u32,
    /// Spans of occurrences from that number on that are done: the first and the last of each.
    pub finished: Vec<(u32, u32)>,
    /// Occurrences in progress, by number, with the progress of each step.
    pub occurrences: IndexMap<u32, Vec<StepProgress>>,
}

impl Progress {
    /// Adds the progress of some tasks of an occurrence, by step, which other rows may repeat.
    ///
    /// # Examples
    ///
    /// ```
    /// use indexmap::IndexMap;
    /// use jobs::Progress;
    /// use jobs::progress::StepProgress;
    /// let step = StepProgress { done: vec![1], failed: vec![(0, 7)], ..StepProgress::default() };
    /// let mut progress = Progress::default();
    /// progress.merge(0, IndexMap::from([(1, step.clone())]));
    /// progress.merge(0, IndexMap::from([(1, step)]));
    /// let steps = &progress.occurrences[&0];
    /// assert_eq!((steps.len(), &steps[1].failed), (2, &vec![(0, 7)]));
    /// ```
    pub fn merge(&mut self, occurrence: u32, steps: IndexMap<usize, StepProgress>) {
        let is_finished =
            self.finished.iter().any(|(first, last)| (*first..=*last).contains(&occurrence));
        if occurrence < self.completed_below || is_finished {
            return;
        }
        let all = self.occurrences.entry(occurrence).or_default();
        for (step, other) in steps {
            if all.len() <= step {
                all.resize(step + 1, StepProgress::default());
            }
            all[step].merge(other);
        }
    }
}

/// Progress of one step of an occurrence.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepProgress {
    /// Positions of the tasks that are done.
    pub done: Vec<u32>,
    /// Failed runs: position of the task and number of the run.
    pub failed: Vec<(u32, u64)>,
    /// Crashes that tasks are suspected of, by position of the task.
    pub crashes: Vec<(u32, Crashes)>,
}

impl StepProgress {
    /// Adds the progress of other tasks, or later progress of the same ones.
    fn merge(&mut self, other: Self) {
        self.done.extend(other.done);
        self.done.sort_unstable();
        self.done.dedup();
        self.failed.extend(other.failed);
        self.failed.sort_unstable();
        self.failed.dedup();
        for (index, crashes) in other.crashes {
            match self.crashes.iter_mut().find(|(n, _)| *n == index) {
                Some((_, own)) => {
                    own.suspected = own.suspected.max(crashes.suspected);
                    own.blamed = own.blamed.max(crashes.blamed);
                }
                None => self.crashes.push((index, crashes)),
            }
        }
    }
}
