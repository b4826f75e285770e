//! Timeout of calls to the table, adapted to recent response times.
//!
//! Load pattern: for some seconds at a time the table answers about sixty times slower than usual.
//! A fixed timeout would then abandon writes that are still in flight, so that their outcome is
//! unknown and their repeats lengthen the table's queue. A dead connection returns no responses at
//! all, so the timeout is derived from the responses that do arrive.

use std::cell::Cell;
use std::time::Duration;

/// Shortest timeout, in milliseconds; hundreds of times the usual response time.
const MIN_TIMEOUT_MS: u64 = 1_200;
/// Longest timeout, in milliseconds.
///
/// It leaves time to answer a client within its usual deadline of three seconds.
const MAX_TIMEOUT_MS: u64 = 2_000;
/// Ratio of the timeout to the mean response time.
///
/// A transaction takes as long as a few reads, and may wait up to a second for its part.
const TIMEOUT_FACTOR: u64 = 8;

/// Timeout that follows the mean response time of the table.
#[derive(Debug, Default)]
pub struct AdaptiveTimeout {
    /// Moving average of the response time, in milliseconds.
    mean_ms: Cell<u64>,
}

impl AdaptiveTimeout {
    /// Updates the mean with the duration of an answered call.
    pub fn observe(&self, duration: Duration) {
        let duration_ms =
            u64::try_from(duration.as_millis()).unwrap_or(u64::MAX).min(MAX_TIMEOUT_MS);
        self.mean_ms.set((self.mean_ms.get() * 3 + duration_ms) / 4);
    }

    /// Returns the timeout of the next call.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// let timeout = cells::timeout::AdaptiveTimeout::default();
    /// timeout.observe(Duration::from_millis(4));
    /// assert_eq!(timeout.current(), Duration::from_millis(1_200));
    /// for _ in 0..20 {
    ///     timeout.observe(Duration::from_millis(250));
    /// }
    /// assert!(timeout.current() > Duration::from_millis(1_800));
    /// ```
    pub fn current(&self) -> Duration {
        Duration::from_millis(
            (self.mean_ms.get() * TIMEOUT_FACTOR).clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS),
        )
    }
}
