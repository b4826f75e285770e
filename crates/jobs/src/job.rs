//! A job as its client submitted it, and the names of its tasks.

use std::fmt;
use std::str::FromStr;

use snafu::Snafu;
use strum::{Display, EnumString, IntoStaticStr};

use crate::worker::Resources;

/// Most steps of a job. The position of a step is part of its tasks' names.
pub const MAX_STEPS: usize = 1_000;
/// Most tasks of a step. The scheduler holds one record per task in memory.
pub const MAX_TASKS: u32 = 10_000;
/// Most tasks of a job over all steps.
pub const MAX_JOB_TASKS: u64 = 20_000;
/// Most occurrences of a scheduled job.
pub const MAX_OCCURRENCES: u32 = 100_000;

/// A job: steps of tasks, which run once or on a schedule.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Job {
    /// Text that is passed unchanged to every task.
    pub payload: String,
    /// Steps. A step refers to earlier steps by their position.
    pub steps: Vec<Step>,
    /// Schedule of a repeated job; `None` for a job that runs once, without delay.
    pub schedule: Option<Schedule>,
}

/// Due times of a repeated job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// Wall-clock time of the first occurrence, in milliseconds since 1970.
    pub first_due: u64,
    /// Milliseconds between occurrences.
    pub interval: u64,
    /// Number of occurrences.
    pub occurrences: u32,
}

/// A set of equal tasks, which may run in parallel.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub resources: Resources,
    /// Client's rough estimate of a task's duration, in milliseconds.
    pub estimate: u64,
    /// Positions of the steps that must be done before this step starts.
    pub depends_on: Vec<usize>,
    /// Whether all tasks have to run at the same time (gang scheduling).
    pub gang: bool,
    /// Whether tasks are slower when they run in several racks.
    pub same_rack: bool,
    /// Label that an executor needs to run the tasks.
    pub required_label: Option<String>,
    /// Rack that holds the tasks' data; executors in it are preferred.
    pub data_rack: Option<String>,
    /// Most tasks of the step on one executor; 0 for no limit.
    pub max_per_executor: u32,
    /// Whether a second copy of a task may run in parallel with the first. The scheduler starts no
    /// such copies.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// Whether tasks save checkpoints.
    pub checkpointing: bool,
    /// Whether tasks use only CPU time that other tasks leave free.
    pub best_effort: bool,
    /// Name of the image that the tasks run.
    pub image: Option<String>,
    /// Target for the tail latency of serving tasks, in milliseconds; 0 for none.
    pub latency_target: u64,
    /// Most tasks of a long-running step that planned maintenance may interrupt at once; 0 for no
    /// limit.
    pub max_unavailable: u32,
}

/// State of a job, as reported to clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
pub enum State {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks have succeeded.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// The client cancelled it.
    Cancelled,
}

impl State {
    /// Whether the state can no longer change.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// An invalid job or task name, with the reason to report to the client.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("{reason}"))]
pub struct Invalid {
    /// Reason, as a sentence without a full stop.
    pub reason: String,
}

impl Job {
    /// Checks the limits and the order of steps, which the scheduler relies on.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::{Job, Step};
    /// let step = Step { count: 2, depends_on: vec![0], ..Step::default() };
    /// let job = Job { steps: vec![step], ..Job::default() };
    /// let error = job.validate().unwrap_err();
    /// assert_eq!(error.to_string(), "step 0 waits for step 0, which is no earlier one");
    /// ```
    ///
    /// # Errors
    ///
    /// Returns the first rule that the job breaks.
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

    /// Whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Estimated duration of the longest chain of dependent steps, in milliseconds.
    pub fn critical_path(&self) -> u64 {
        self.remaining_critical_path(|_| false)
    }

    /// Like [`Self::critical_path`], but counts no time for steps that are done.
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

    /// Estimated work of all tasks, in thousandths of a core times milliseconds.
    pub fn work(&self) -> u64 {
        self.steps
            .iter()
            .map(|s| u64::from(s.count).saturating_mul(s.resources.cpu.saturating_mul(s.estimate)))
            .fold(0, u64::saturating_add)
    }
}

/// Identity of a task; its text form is `job.occurrence.step.index`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// Id of the job.
    pub job: String,
    /// Number of the occurrence; 0 for a job that runs once.
    pub occurrence: u32,
    /// Position of the step.
    pub step: usize,
    /// Position of the task in its step.
    pub index: u32,
}

impl TaskId {
    /// Whether both tasks belong to the same step of the same occurrence.
    pub(crate) fn is_in_step_of(&self, other: &Self) -> bool {
        (&self.job, self.occurrence, self.step) == (&other.job, other.occurrence, other.step)
    }
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
            let occurrence = parts.next()?.parse().ok()?;
            let step = parts.next()?.parse().ok()?;
            let index = parts.next()?.parse().ok()?;
            parts.next().is_none().then_some(Self { job, occurrence, step, index })
        };
        parse().ok_or_else(|| Invalid { reason: format!("{text:?} is no task's name") })
    }
}
