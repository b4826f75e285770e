//! Interval at which busy executors are polled for ended runs.
//!
//! Load pattern: small tasks on hundreds of executors, each of which ends a dozen tasks a second. A
//! dependent step starts only after a poll has reported the last task of the step before, so each
//! step takes about one poll interval longer. Ended runs also occupy their resources until a poll
//! reports them. The interval is therefore a small part of a short task, and grows only where polls
//! would take all of the holder's CPU.

/// Shortest interval between polls of a busy executor, in milliseconds; a sixth of a short task.
const MIN_POLL_INTERVAL_MS: u64 = 100;
/// Most polls a second over all executors of a cell, for a holder with a whole core. They take about
/// a fifth of the holder's processor time; starts and results take most of the rest at a peak.
const MAX_POLLS_PER_CORE_SECOND: u64 = 3_000;

/// Interval between polls of each busy executor, in milliseconds, with `busy` busy executors and a
/// holder that may use `cpu` thousandths of a core.
///
/// # Examples
///
/// ```
/// use jobs::watch::poll_interval;
/// assert_eq!(poll_interval(10, 250), 100);
/// assert_eq!(poll_interval(300, 500), 200);
/// assert_eq!(poll_interval(300, 250), 400);
/// ```
pub fn poll_interval(busy: usize, cpu: u64) -> u64 {
    let polls_per_second = (MAX_POLLS_PER_CORE_SECOND * cpu / 1_000).max(1);
    MIN_POLL_INTERVAL_MS.max(busy as u64 * 1_000 / polls_per_second)
}
