//! Whether a new job can be accepted now.
//!
//! Load pattern: in a queue's turn, jobs arrive several times as fast as the pool works them off.
//! Jobs that can still be in time go before late ones, so that a late backlog does not keep a new
//! job from being in time; it only has to end while its results are still of use. A job that
//! would come after that is refused at once, with the time when there could be room for it.

use crate::order::USEFUL;

/// Most jobs of a cell that wait or run at once; bounds the memory of the cell and the time in
/// which a new holder reads them back.
pub const MAX_JOBS: usize = 4_000;

/// What is known of the load of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Jobs accepted and not ended.
    pub jobs: usize,
    /// All work that waits, in thousandths of a core times milliseconds.
    pub backlog: u64,
    /// Room of the executors that take work, in thousandths of a core.
    pub room: u64,
}

/// Answer to a new job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may come in.
    Accept,
    /// It can't be served in time; the client may come back after so many milliseconds.
    Refuse(u64),
}

/// Decides on a job with an objective of so many milliseconds and a chain of estimated work.
///
/// # Examples
///
/// ```
/// use jobs::admit::{Load, Verdict, judge};
/// let load = Load { jobs: 10, backlog: 8_000_000, room: 4_000 };
/// assert_eq!(judge(&load, 2_000, 1_000), Verdict::Accept);
/// assert_eq!(judge(&load, 500, 400), Verdict::Refuse(900));
/// ```
pub fn judge(load: &Load, objective: u64, chain: u64) -> Verdict {
    // A pool without room is about to get some, or its holder has just changed.
    let wait = load.backlog.checked_div(load.room).unwrap_or(0);
    if load.jobs >= MAX_JOBS {
        return Verdict::Refuse(wait.max(1_000));
    }
    let slack = (objective * USEFUL / 100).saturating_sub(chain);
    if wait > slack { Verdict::Refuse(wait - slack) } else { Verdict::Accept }
}
