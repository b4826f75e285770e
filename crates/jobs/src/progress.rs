//! What is durable of a job's progress.

use indexmap::IndexMap;

/// Progress of a job: its occurrences by number.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// Whether a task has started.
    pub started: bool,
    /// Occurrences below this number are done.
    pub completed_below: u32,
    /// Occurrences that have begun.
    pub occurrences: IndexMap<u32, Vec<StepProgress>>,
}

/// Progress of one step of an occurrence.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepProgress {
    /// Tasks that are done.
    pub done: Vec<u32>,
    /// Failed runs: task and number of the run.
    pub failed: Vec<(u32, u64)>,
}
