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
    /// Occurrences in progress, by number, with the progress of each step.
    pub occurrences: IndexMap<u32, Vec<StepProgress>>,
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
