//! Speed limit for best-effort tasks beside serving tasks.
//!
//! Load pattern: the tail latency of a serving task rises within seconds when a best-effort task on
//! the same executor takes its caches or memory bandwidth. Best-effort tasks are paused at once
//! when a tail latency nears its target, and speed up again in steps, so that the target is not
//! missed for long.

/// Tail latency, in percent of its target, above which best-effort tasks are paused. The distance
/// from the target leaves one poll interval to react.
const STOP_ABOVE_PERCENT: u64 = 85;
/// Tail latency, in percent of its target, below which best-effort tasks may speed up.
const SPEED_UP_BELOW_PERCENT: u64 = 55;
/// Step by which best-effort tasks speed up, in percent of full speed.
const SPEED_UP_STEP_PERCENT: u64 = 25;

/// Next speed of the best-effort tasks on an executor, in percent.
///
/// `pace` is their current speed; `tails` holds the tail latency and its target, in milliseconds,
/// of each serving task on the executor.
///
/// # Examples
///
/// ```
/// assert_eq!(jobs::pace::next(100, &[(95, 100)]), 0);
/// assert_eq!(jobs::pace::next(0, &[(10, 100)]), 25);
/// assert_eq!(jobs::pace::next(50, &[(70, 100)]), 50);
/// ```
pub fn next(pace: u64, tails: &[(u64, u64)]) -> u64 {
    let worst_percent = tails
        .iter()
        .filter(|(_, target)| *target > 0)
        .map(|(tail, target)| tail.saturating_mul(100) / target)
        .max();
    match worst_percent {
        None => 100,
        Some(percent) if percent > STOP_ABOVE_PERCENT => 0,
        Some(percent) if percent < SPEED_UP_BELOW_PERCENT => {
            (pace + SPEED_UP_STEP_PERCENT).min(100)
        }
        Some(_) => pace,
    }
}
