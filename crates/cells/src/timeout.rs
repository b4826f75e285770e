//! How long to wait for the table's answer.
//!
//! Load pattern: the table answers some sixty times slower than usual for seconds. A fixed limit
//! then turns writes that are on their way into writes whose outcome is not known, and their
//! repeats make the queue longer. A silent connection gives no answers at all, so that the limit
//! follows the answers that do come.

use std::cell::Cell;
use std::time::Duration;

/// Least limit, in milliseconds; hundreds of times the usual answer.
const LEAST: u64 = 1_200;
/// Largest limit, in milliseconds; leaves time for an answer within a client's usual three seconds.
const MOST: u64 = 2_000;
/// Limit against the mean of recent answers; a transaction takes a few reads' time and its part's
/// queue up to a second.
const FACTOR: u64 = 8;

/// Follows the time that answers take.
#[derive(Debug, Default)]
pub struct AdaptiveTimeout {
    /// Mean of recent answers, in milliseconds.
    mean: Cell<u64>,
}

impl AdaptiveTimeout {
    /// Takes in how long an answer took.
    pub fn observe(&self, took: Duration) {
        let took = u64::try_from(took.as_millis()).unwrap_or(u64::MAX).min(MOST);
        self.mean.set((self.mean.get() * 3 + took) / 4);
    }

    /// The limit for the next call.
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
        Duration::from_millis((self.mean.get() * FACTOR).clamp(LEAST, MOST))
    }
}
