//! Terms of its queue under which a job was accepted.
//!
//! Load pattern: an operator removes a queue whose jobs still run, the processes are replaced, and
//! the queue may come back. Processes learn of a version of the configuration at different times. The
//! terms are therefore stored with the job, and nothing is decided by a default where they are not
//! known.

use indexmap::IndexMap;

use crate::queue::{AdviceCost, Queue};

/// Terms of a queue, as far as they matter to jobs that have been accepted.
///
/// # Examples
///
/// ```
/// use jobs::Queue;
/// use jobs::terms::Terms;
/// let queue = Queue { max_attempts: 4, ..Queue::default() };
/// let terms = Terms::of(&queue, 7);
/// assert_eq!((terms.version, terms.max_attempts), (7, 4));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Terms {
    /// Version of the configuration that they are from.
    pub version: u64,
    /// Number of failed runs of a task after which the job fails.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Part of a job's objective that grows with its critical path, in thousandths of that path.
    pub stretch: u64,
    /// Fixed part of a job's objective, in milliseconds.
    pub objective_base: u64,
    /// Time that the adviser needs for a query, if it decides which executors may run a step.
    pub advice: Option<AdviceCost>,
}

impl Terms {
    /// Returns the terms of a queue in a version of the configuration.
    pub fn of(queue: &Queue, version: u64) -> Self {
        Self {
            version,
            max_attempts: queue.max_attempts.max(1),
            priority: queue.priority,
            stretch: queue.stretch,
            objective_base: queue.objective_base,
            advice: queue.advice,
        }
    }
}

/// Terms of the queues that a holder knows.
#[derive(Debug, Clone, Default)]
pub(crate) struct Known {
    /// Version of the configuration in force.
    version: u64,
    /// Terms of its queues.
    current: IndexMap<String, Terms>,
    /// Last terms of the queues of earlier versions that it lacks.
    former: IndexMap<String, Terms>,
}

impl Known {
    /// Adds queues, in place of earlier ones of the same names.
    pub fn add<'a>(&mut self, queues: impl Iterator<Item = &'a Queue>) {
        for queue in queues {
            self.current.insert(queue.name.clone(), Terms::of(queue, self.version));
            self.former.swap_remove(&queue.name);
        }
    }

    /// Takes over a version of the configuration with all of its queues.
    pub fn replace<'a>(&mut self, version: u64, queues: impl Iterator<Item = &'a Queue>) {
        self.version = version;
        let last = std::mem::take(&mut self.current);
        self.former.extend(last);
        self.add(queues);
    }

    /// Returns the terms for a job of a queue; `accepted` are those under which it was accepted, if
    /// they are known.
    ///
    /// The configuration in force decides, unless it lacks the queue or is older than the job.
    pub fn resolve(&self, queue: &str, accepted: Option<Terms>) -> Option<Terms> {
        let is_older = accepted.is_some_and(|terms| terms.version > self.version);
        let current = self.current.get(queue).filter(|_| !is_older).copied();
        current.or(accepted).or_else(|| self.former.get(queue).copied())
    }
}
