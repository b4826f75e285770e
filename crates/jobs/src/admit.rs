//! Whether a new job can be accepted now.
//!
//! Load pattern: in a queue's turn, jobs arrive several times as fast as the pool works them off.
//! Jobs that can still be in time go before late ones, so that a late backlog, as an outage leaves
//! one, does not keep a new job from being in time. One that can't be in time only has to end while
//! its results are still of use. At the start of a turn most of the machines are still on their way,
//! and their room counts from when they are there. A job that would come after that is refused at once, with the time
//! when there could be room for it. A client that comes back has less time left.

use crate::order::USEFUL_SPAN_PERCENT;

/// Most jobs of a cell that wait or run at once; bounds the memory of the cell and the time in
/// which a new holder reads them back.
pub const MAX_JOBS: usize = 4_000;

/// What is known of the load of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Jobs accepted and not ended.
    pub jobs: usize,
    /// Work that waits and can still be in time, in thousandths of a core times milliseconds.
    pub timely_backlog: u64,
    /// All work that waits and can still be of use, in thousandths of a core times milliseconds.
    pub backlog: u64,
    /// Room of the executors that take work, in thousandths of a core.
    pub capacity: u64,
    /// Room of the machines that are on their way to the pool, in thousandths of a core.
    pub incoming_capacity: u64,
    /// Time until those are there, in milliseconds.
    pub incoming_delay: u64,
}

impl Load {
    /// Time in which so much work is done, in milliseconds; 0 without any room, as the pool is about
    /// to get some, or its holder has just changed.
    fn drain_time(&self, work: u64) -> u64 {
        let before = self.capacity * self.incoming_delay;
        if self.incoming_capacity == 0 || work <= before {
            return work.checked_div(self.capacity).unwrap_or(0);
        }
        self.incoming_delay + (work - before) / (self.capacity + self.incoming_capacity)
    }
}

/// Answer to a new job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may come in.
    Accept,
    /// It can't be served in time; the client may come back after so many milliseconds.
    Refuse(u64),
}

/// Decides on a job with an objective of so many milliseconds and a chain of estimated work, for
/// which its client first asked `waited` milliseconds ago.
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
/// // What is late comes after a job that can be in time.
/// assert_eq!(decide(&Load { timely_backlog: 0, ..load }, 500, 400, 0), Verdict::Accept);
/// ```
pub fn decide(load: &Load, objective: u64, critical_path: u64, waited: u64) -> Verdict {
    if load.jobs >= MAX_JOBS {
        return Verdict::Refuse(load.drain_time(load.backlog).max(1_000));
    }
    let excess = |work, until: u64| {
        load.drain_time(work).saturating_sub(until.saturating_sub(waited + critical_path))
    };
    let (timely, useful) = (
        excess(load.timely_backlog, objective),
        excess(load.backlog, objective * USEFUL_SPAN_PERCENT / 100),
    );
    match timely.min(useful) {
        0 => Verdict::Accept,
        after => Verdict::Refuse(after),
    }
}
