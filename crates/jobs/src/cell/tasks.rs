//! Records of the tasks of a step.
//!
//! Load pattern: a client submits thousands of jobs of thousands of tasks, of which only a few run at
//! a time. A task takes memory from its first start until it is done: before, it is a number, and
//! afterwards a bit. The memory of a cell follows the runs of its executors, not the size of its jobs.

use std::collections::BTreeMap;

use crate::crash::Crashes;

/// Number of tasks whose completion a word records.
const WORD_TASKS: u32 = u64::BITS;

/// Scheduling state of one task of an occurrence.
#[derive(Debug, Clone, Default)]
pub(super) struct Task {
    pub done: bool,
    /// Numbers of the runs that failed.
    pub failed_runs: Vec<u64>,
    /// Highest run number seen for this task.
    pub last_run: u64,
    /// Executor that runs the task or may run it.
    pub worker: Option<String>,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Earliest time of the next start, in milliseconds.
    pub not_before: u64,
    /// Stops of a long-running task for a stalled start-up since it last worked at full speed.
    pub slow_starts: u32,
    /// Executors on which the task has failed.
    pub avoid: Vec<String>,
    /// Crashes that the task may have caused.
    pub crashes: Crashes,
}

/// State of a task without a record.
const fn unrecorded(done: bool) -> Task {
    Task {
        done,
        failed_runs: Vec::new(),
        last_run: 0,
        worker: None,
        checkpoint: String::new(),
        not_before: 0,
        slow_starts: 0,
        avoid: Vec::new(),
        crashes: Crashes { suspected: 0, blamed: 0 },
    }
}

static UNTOUCHED: Task = unrecorded(false);
static DONE: Task = unrecorded(true);

/// Tasks of a step, by position.
#[derive(Debug, Clone, Default)]
pub(super) struct Tasks {
    count: u32,
    /// Tasks that are done and have no record, one bit each; empty while there are none.
    done: Vec<u64>,
    records: BTreeMap<u32, Task>,
}

impl Tasks {
    pub fn new(count: u32) -> Self {
        Self { count, done: Vec::new(), records: BTreeMap::new() }
    }

    /// Number of tasks.
    pub fn len(&self) -> usize {
        self.count as usize
    }

    /// Returns a task; `None` if the step has fewer.
    pub fn get(&self, index: u32) -> Option<&Task> {
        (index < self.count).then(|| match self.records.get(&index) {
            Some(task) => task,
            None if self.is_settled(index) => &DONE,
            None => &UNTOUCHED,
        })
    }

    /// Returns a task to change, which has a record from then on; `None` if it is settled, or the step
    /// has fewer.
    pub fn get_mut(&mut self, index: u32) -> Option<&mut Task> {
        let exists = index < self.count && !self.is_settled(index);
        exists.then(|| self.records.entry(index).or_default())
    }

    /// Drops the record of a task that is done and has no run, and does not change any more.
    pub fn settle(&mut self, index: u32) {
        if self.records.get(&index).is_some_and(|task| task.done && task.worker.is_none()) {
            self.records.remove(&index);
            if self.done.is_empty() {
                self.done = vec![0; self.count.div_ceil(WORD_TASKS) as usize];
            }
            self.done[(index / WORD_TASKS) as usize] |= 1 << (index % WORD_TASKS);
        }
    }

    /// Returns the tasks that have a record, in ascending order.
    pub fn recorded(&self) -> impl Iterator<Item = (u32, &Task)> {
        self.records.iter().map(|(index, task)| (*index, task))
    }

    /// Number of tasks that have a record.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Returns the tasks that are not done and have no run, in ascending order.
    pub fn open(&self) -> impl Iterator<Item = (u32, &Task)> {
        let words = (0..self.count.div_ceil(WORD_TASKS)).filter(|word| {
            // Most tasks of a long step are done or open together.
            self.done.get(*word as usize).is_none_or(|done| *done != u64::MAX)
        });
        let positions = words.flat_map(|word| {
            let first = word * WORD_TASKS;
            first..self.count.min(first.saturating_add(WORD_TASKS))
        });
        let tasks = positions.filter_map(|index| Some((index, self.get(index)?)));
        tasks.filter(|(_, task)| !task.done && task.worker.is_none())
    }

    /// Returns the positions of the tasks that are done, in ascending order.
    pub fn done(&self) -> impl Iterator<Item = u32> {
        let is_any = !self.done.is_empty() || self.records.values().any(|task| task.done);
        let count = if is_any { self.count } else { 0 };
        (0..count).filter(|index| self.get(*index).is_some_and(|task| task.done))
    }

    fn is_settled(&self, index: u32) -> bool {
        let word = self.done.get((index / WORD_TASKS) as usize);
        word.is_some_and(|word| word >> (index % WORD_TASKS) & 1 == 1)
    }
}
