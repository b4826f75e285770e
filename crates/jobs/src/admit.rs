//! Whether a new job can be accepted now.
//!
//! Load pattern: in a queue's turn, jobs arrive several times as fast as the pool works them off.
//! A job that would wait past its objective is refused at once with the time when its turn could
//! come, so that what is accepted ends in time and callers learn early.

/// Most jobs of a cell that wait or run at once; bounds the memory of the cell and the time in
/// which a new holder reads them back.
pub const MAX_JOBS: usize = 4_000;

/// What is known of the load of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Jobs accepted and not ended.
    pub jobs: usize,
    /// Work that waits, in thousandths of a core times milliseconds.
    pub waiting: u64,
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

/// Decides on a job whose objective leaves `slack` milliseconds beyond its own work.
///
/// # Examples
///
/// ```
/// use jobs::admit::{Load, Verdict, judge};
/// let load = Load { jobs: 10, waiting: 8_000_000, room: 4_000 };
/// assert_eq!(judge(&load, 3_000), Verdict::Accept);
/// assert_eq!(judge(&load, 500), Verdict::Refuse(1_500));
/// ```
pub fn judge(load: &Load, slack: u64) -> Verdict {
    let wait = match load.room {
        0 if load.waiting == 0 => 0,
        0 => return Verdict::Accept,
        room => load.waiting / room,
    };
    if load.jobs >= MAX_JOBS {
        return Verdict::Refuse(wait.max(1_000));
    }
    if wait > slack { Verdict::Refuse(wait - slack) } else { Verdict::Accept }
}
