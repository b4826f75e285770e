//! How fast fillers may run beside tasks that serve.
//!
//! Load pattern: the tail latency of a serving task rises within seconds when a filler beside it
//! takes its caches or memory bandwidth. Fillers stop at once when a tail comes near its target and
//! come back in steps, so that users of the serving task never see a long breach.

/// Share of the target, in percent, above which fillers are stopped; a tenth below the target
/// leaves one look of warning.
const STOP_ABOVE_PERCENT: u64 = 85;
/// Share of the target, in percent, below which fillers may speed up.
const SPEED_UP_BELOW_PERCENT: u64 = 55;
/// Step by which fillers speed up, in percent of full speed.
const SPEED_UP_STEP_PERCENT: u64 = 25;

/// Pace of the fillers on an executor, in percent.
///
/// `tails` are pairs of tail latency and target, in milliseconds, of the tasks that serve there.
///
/// # Examples
///
/// ```
/// assert_eq!(jobs::pace::next(100, &[(95, 100)]), 0);
/// assert_eq!(jobs::pace::next(0, &[(10, 100)]), 25);
/// assert_eq!(jobs::pace::next(50, &[(70, 100)]), 50);
/// ```
pub fn next(pace: u64, tails: &[(u64, u64)]) -> u64 {
    let worst = tails
        .iter()
        .filter(|(_, target)| *target > 0)
        .map(|(tail, target)| tail.saturating_mul(100) / target)
        .max();
    match worst {
        None => 100,
        Some(share) if share > STOP_ABOVE_PERCENT => 0,
        Some(share) if share < SPEED_UP_BELOW_PERCENT => (pace + SPEED_UP_STEP_PERCENT).min(100),
        Some(_) => pace,
    }
}
