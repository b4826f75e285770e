//! Memory that jobs take, and which of them a process keeps in it.
//!
//! Load pattern: clients submit thousands of jobs of the largest size, of which each takes little of a
//! process's memory. The process that holds their cell ends over its memory, and so does each that
//! takes the cell over. A job is therefore accepted only if the memory for jobs has room for it, and a
//! holder leaves jobs that have not started in the table while it has none. A part of the memory is
//! for small jobs only, so that a client's large ones keep nobody else's from being accepted.

use serde::{Deserialize, Serialize};

use crate::job::{Job, Step};

/// Memory that a job takes beside its steps and texts, in bytes.
const JOB_BYTES: usize = 2_048;
/// Memory that a step takes beside its texts, in bytes: its specification, and its state.
const STEP_BYTES: usize = size_of::<Step>() + 176;
/// Size up to which a job is small, in bytes.
const SMALL_JOB_BYTES: usize = 16_384;
/// Share of the memory for jobs that large ones may take, in percent.
const LARGE_JOBS_PERCENT: usize = 75;
/// Largest free memory that is published, in bytes, so that the load does not change with each job.
const MAX_PUBLISHED_BYTES: usize = 4 << 20;
/// Retry delay of a job for which there is no memory, in milliseconds; in about that time others end.
pub const RETRY_MS: u64 = 2_000;

/// Memory that a job takes in a cell, in bytes; an estimate that is not too low.
///
/// # Examples
///
/// ```
/// use jobs::{Job, Step, memory};
/// let job = |steps| Job { steps: vec![Step { count: 20, ..Step::default() }; steps], ..Job::default() };
/// assert!(memory::job_bytes(&job(1)) < 4_096);
/// assert!(memory::job_bytes(&job(1_000)) > 200_000);
/// ```
pub fn job_bytes(job: &Job) -> usize {
    let text = |text: &Option<String>| text.as_ref().map_or(0, String::len);
    let step = |step: &Step| {
        STEP_BYTES
            + size_of_val(step.depends_on.as_slice())
            + text(&step.required_label)
            + text(&step.data_rack)
            + text(&step.image)
            + step.count as usize / 8
    };
    JOB_BYTES + job.payload.len() + job.steps.iter().map(step).sum::<usize>()
}

/// Free memory for jobs, in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// For jobs of any size.
    #[serde(rename = "l")]
    large: usize,
    /// For small jobs.
    #[serde(rename = "s")]
    small: usize,
}

impl Room {
    /// Free memory of `budget` bytes of which `used` are in use.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::memory::Room;
    /// let room = Room::of(1_000_000, 740_000);
    /// assert!(room.fits(10_000) && !room.fits(20_000));
    /// assert!(!Room::of(1_000_000, 995_000).fits(10_000));
    /// ```
    pub fn of(budget: usize, used: usize) -> Self {
        let large = budget / 100 * LARGE_JOBS_PERCENT;
        Self { large: large.saturating_sub(used), small: budget.saturating_sub(used) }
    }

    /// Whether there is room for any job that the table accepts.
    pub fn fits_all(self) -> bool {
        self.large >= MAX_PUBLISHED_BYTES / 2
    }

    /// Whether there is room for a job of `bytes` bytes.
    pub fn fits(self, bytes: usize) -> bool {
        bytes <= if bytes <= SMALL_JOB_BYTES { self.small } else { self.large }
    }

    /// The room to publish; without any for large jobs while some wait for it.
    #[must_use]
    pub fn published(self, has_waiting: bool) -> Self {
        let large = if has_waiting { 0 } else { self.large };
        Self { large: large.min(MAX_PUBLISHED_BYTES), small: self.small.min(MAX_PUBLISHED_BYTES) }
    }
}
