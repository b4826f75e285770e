//! A job as its client submitted it, and the names of its tasks.

use std::fmt;
use std::str::FromStr;

use snafu::Snafu;
use strum::{Display, EnumString, IntoStaticStr};

use crate::worker::Resources;

/// Most steps of a job; a step is named by a small number in task names.
pub const MAX_STEPS: usize = 1_000;
/// Most tasks of a step; the scheduler holds one entry a task.
pub const MAX_TASKS: u32 = 10_000;
/// Most tasks of a job over its steps, so that its progress fits one row of the table.
pub const MAX_JOB_TASKS: u64 = 20_000;
/// Most runs of a scheduled job.
pub const MAX_OCCURRENCES: u32 = 100_000;

/// One job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Job {
    /// Text that its tasks get, passed on as it is.
    pub payload: String,
    /// Steps; a step refers to earlier ones by their position.
    pub steps: Vec<Step>,
    /// When it repeats; `None` for a job that runs once, now.
    pub schedule: Option<Schedule>,
}

/// Due times of a job that repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// Wall-clock time of the first occurrence, in milliseconds since 1970.
    pub first_due: u64,
    /// Milliseconds between occurrences.
    pub interval: u64,
    /// Number of occurrences.
    pub occurrences: u32,
}

/// Equal tasks that may run at the same time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What each task needs.
    pub resources: Resources,
    /// Client's rough estimate of a task's duration, in milliseconds.
    pub estimate: u64,
    /// Steps that must be done before this one.
    pub depends_on: Vec<usize>,
    /// Whether all tasks have to run together.
    pub gang: bool,
    /// Whether tasks are slower when they stand in several racks.
    pub same_rack: bool,
    /// Label that the executor must have.
    pub required_label: Option<String>,
    /// Rack that holds the data.
    pub data_rack: Option<String>,
    /// Most tasks of the step on one executor; 0 for no limit.
    pub max_per_executor: u32,
    /// Whether copies of a task may run in parallel.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// Whether tasks save checkpoints.
    pub checkpointing: bool,
    /// Whether tasks use only what others leave of the processor.
    pub best_effort: bool,
    /// Name of what the tasks run.
    pub image: Option<String>,
    /// Bound on the tail latency of tasks that serve, in milliseconds; 0 for none.
    pub latency_target: u64,
    /// Tasks of a lasting step that may be away at once through planned work.
    pub max_unavailable: u32,
}

/// State of a job, as clients see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
pub enum State {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// The client cancelled it.
    Cancelled,
}

impl State {
    /// Whether the state can't change any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// A job that can't be accepted, with the reason for its client.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("{reason}"))]
pub struct Invalid {
    /// What is wrong.
    pub reason: String,
}

impl Job {
    /// Checks what later parts rely on.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::{Job, Step};
    /// let step = Step { count: 2, depends_on: vec![0], ..Step::default() };
    /// let job = Job { steps: vec![step], ..Job::default() };
    /// assert_eq!(job.validate().unwrap_err().to_string(), "step 0 waits for step 0, which is no earlier one");
    /// ```
    ///
    /// # Errors
    ///
    /// The first rule that the job breaks.
    pub fn validate(&self) -> Result<(), Invalid> {
        let fail = |reason: String| Err(Invalid { reason });
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return fail(format!("a job has 1 to {MAX_STEPS} steps"));
        }
        for (n, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_TASKS {
                return fail(format!("step {n} has {} tasks; 1 to {MAX_TASKS} can be", step.count));
            }
            if let Some(after) = step.depends_on.iter().find(|after| **after >= n) {
                return fail(format!("step {n} waits for step {after}, which is no earlier one"));
            }
        }
        if self.steps.iter().map(|step| u64::from(step.count)).sum::<u64>() > MAX_JOB_TASKS {
            return fail(format!("a job has at most {MAX_JOB_TASKS} tasks"));
        }
        match self.schedule {
            Some(schedule)
                if schedule.occurrences == 0 || schedule.occurrences > MAX_OCCURRENCES =>
            {
                fail(format!("a job runs 1 to {MAX_OCCURRENCES} times"))
            }
            _ => Ok(()),
        }
    }

    /// Whether its tasks run until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Longest chain of estimated work, in milliseconds.
    pub fn critical_path(&self) -> u64 {
        self.remaining_critical_path(|_| false)
    }

    /// Longest chain of estimated work without the steps that are done, in milliseconds.
    pub fn remaining_critical_path(&self, done: impl Fn(usize) -> bool) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (n, step) in self.steps.iter().enumerate() {
            let ready =
                step.depends_on.iter().filter_map(|n| ends.get(*n)).max().copied().unwrap_or(0);
            let own = if done(n) { 0 } else { step.estimate };
            ends.push(ready.saturating_add(own));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Estimated work, in thousandths of a core times milliseconds.
    pub fn work(&self) -> u64 {
        self.steps
            .iter()
            .map(|s| u64::from(s.count).saturating_mul(s.resources.cpu.saturating_mul(s.estimate)))
            .fold(0, u64::saturating_add)
    }
}

/// Name of a task within its cell.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// Id of the job.
    pub job: String,
    /// Occurrence; 0 for a job that runs once.
    pub occurrence: u32,
    /// Position of the step.
    pub step: usize,
    /// Position of the task in its step.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let mut parts = text.split('.');
            let job = parts.next()?.to_owned();
            let turn = parts.next()?.parse().ok()?;
            let step = parts.next()?.parse().ok()?;
            let index = parts.next()?.parse().ok()?;
            parts.next().is_none().then_some(Self { job, occurrence: turn, step, index })
        };
        parse().ok_or_else(|| Invalid { reason: format!("{text:?} is no task's name") })
    }
}
