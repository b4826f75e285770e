//! Interval at which busy executors are polled for ended runs.
//!
//! Load pattern: small tasks on hundreds of executors, each of which ends a dozen tasks a second. A
//! dependent step starts only after a poll has reported the last task of the step before, so each
//! step takes about one poll interval longer. Ended runs also occupy their resources until a poll
//! reports them. The interval is therefore a small part of a short task, and grows only where polls
//! would take all of the holder's CPU.

/// Shortest interval between polls of a busy executor, in milliseconds; a sixth of a short task.
const MIN_POLL_INTERVAL_MS: u64 = 100;
/// Most polls a second over all executors of a cell. They take about a tenth of a core.
const MAX_POLLS_PER_SECOND: u64 = 1_500;

/// Interval between polls of each busy executor, in milliseconds, with `busy` busy executors.
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
