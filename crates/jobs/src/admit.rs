//! Admission control for new jobs.
//!
//! Load pattern: during a queue's demand peak, jobs arrive several times as fast as the pool can
//! process them. Jobs that can still meet their objective run before late ones, so a late backlog,
//! such as an outage leaves behind, does not delay new jobs. A job that can't meet its objective
//! only has to end while its result is still useful. At the start of a peak most machines are still
//! moving to the pool; their capacity counts from their arrival. A job that would end too late is
//! refused at once with a retry delay. A retried job has less time left, because its objective
//! counts from the client's first request.

use crate::order::USEFUL_SPAN_PERCENT;

/// Most unfinished jobs of a cell. This bounds the cell's memory and the time in which a new holder
/// reads the jobs back from the table.
pub const MAX_JOBS: usize = 4_000;

/// Load of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of accepted jobs that have not ended.
    pub jobs: usize,
    /// Waiting work of jobs that can still meet their objective, in thousandths of a core times
    /// milliseconds.
    pub timely_backlog: u64,
    /// All waiting work whose result can still be useful, in thousandths of a core times
    /// milliseconds.
    pub backlog: u64,
    /// CPU capacity of the executors that accept tasks, in thousandths of a core.
    pub capacity: u64,
    /// CPU capacity of the machines that are moving to the pool, in thousandths of a core.
    pub incoming_capacity: u64,
    /// Time until these machines arrive, in milliseconds.
    pub incoming_delay: u64,
}

impl Load {
    /// Time that the pool takes for an amount of work, in milliseconds.
    ///
    /// Returns 0 for a pool without any capacity: it is about to get machines, or its holder has
    /// just changed.
    fn drain_time(&self, work: u64) -> u64 {
        let done_before = self.capacity * self.incoming_delay;
        if self.incoming_capacity == 0 || work <= done_before {
            return work.checked_div(self.capacity).unwrap_or(0);
        }
        self.incoming_delay + (work - done_before) / (self.capacity + self.incoming_capacity)
    }
}

/// Admission decision for a new job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The job is accepted.
    Accept,
    /// The job would end too late or the cell is full; the client may retry after this many
    /// milliseconds.
    Refuse(u64),
}

/// Decides whether to accept a job.
///
/// `objective` is the time in which the job should be completed, counted from the client's first
/// request. `critical_path` is the estimated duration of the job itself, and `waited` the time
/// since the first request. All are in milliseconds.
///
/// # Examples
///
/// ```
/// use jobs::admit::{Load, Verdict, decide};
/// let load = Load {
///     jobs: 10,
///     timely_backlog: 8_000_000,
///     backlog: 8_000_000,
///     capacity: 4_000,
///     ..Load::default()
/// };
/// assert_eq!(decide(&load, 2_000, 1_000, 0), Verdict::Accept);
/// assert_eq!(decide(&load, 500, 400, 0), Verdict::Refuse(900));
/// // A late backlog does not delay a job that can meet its objective.
/// assert_eq!(decide(&Load { timely_backlog: 0, ..load }, 500, 400, 0), Verdict::Accept);
/// ```
pub fn decide(load: &Load, objective: u64, critical_path: u64, waited: u64) -> Verdict {
    if load.jobs >= MAX_JOBS {
        return Verdict::Refuse(load.drain_time(load.backlog).max(1_000));
    }
    let excess = |work, limit: u64| {
        load.drain_time(work).saturating_sub(limit.saturating_sub(waited + critical_path))
    };
    let (timely_excess, useful_excess) = (
        excess(load.timely_backlog, objective),
        excess(load.backlog, objective * USEFUL_SPAN_PERCENT / 100),
    );
    match timely_excess.min(useful_excess) {
        0 => Verdict::Accept,
        delay => Verdict::Refuse(delay),
    }
}
