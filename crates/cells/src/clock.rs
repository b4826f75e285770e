//! Clocks of the process.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Returns the milliseconds since the machine booted.
///
/// The clock keeps running while the machine is suspended.
///
/// # Examples
///
/// ```
/// assert!(cells::clock::now() <= cells::clock::now());
/// ```
pub fn now() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    u64::try_from(time.tv_sec * 1_000 + time.tv_nsec / 1_000_000).unwrap_or(0)
}

/// Returns the wall clock in milliseconds since 1970.
pub fn wall() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
