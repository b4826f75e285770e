//! How often a busy executor is asked what has ended.
//!
//! Load pattern: a turn of small tasks on hundreds of executors, each of which ends a dozen tasks a
//! second. A step goes on only when the last of its tasks is known to have ended, so that each
//! step takes about one pause longer; and what has ended keeps its room until then. So the pause
//! is a small part of a short task, and grows only where the looks would take the holder's whole
//! processor.

/// Pause between looks at an executor with work, in milliseconds; a sixth of a short task.
const MIN_POLL_INTERVAL_MS: u64 = 100;
/// Looks a second at the executors of a cell; takes about a tenth of a core.
const MAX_POLLS_PER_SECOND: u64 = 1_500;

/// Pause between two looks at a busy executor, in milliseconds, where so many are busy.
///
/// # Examples
///
/// ```
/// assert_eq!(jobs::watch::poll_interval(10), 100);
/// assert_eq!(jobs::watch::poll_interval(300), 200);
/// ```
pub fn poll_interval(busy: usize) -> u64 {
    MIN_POLL_INTERVAL_MS.max(busy as u64 * 1_000 / MAX_POLLS_PER_SECOND)
}
