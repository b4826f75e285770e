//! Sets aside servers that fail, and tries them again with growing pauses.

use std::time::{Duration, Instant};

/// Failures in a row after which a server is set aside.
const FAILURES: u32 = 5;
/// First time aside; it doubles up to the last.
const FIRST_ASIDE: Duration = Duration::from_secs(1);
/// Longest time aside.
const LAST_ASIDE: Duration = Duration::from_secs(30);

/// Health of one server, as its answers show it.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failures: u32,
    spells: u32,
    until: Option<Instant>,
}

impl Health {
    /// Notes an answer that was no failure; true when it ends a time aside.
    pub fn record_success(&mut self) -> bool {
        let back = self.until.is_some();
        *self = Self::default();
        back
    }

    /// Notes a failure; true when the server is now set aside.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// let (mut health, now) = (route::health::Health::default(), Instant::now());
    /// assert_eq!((0..5).filter(|_| health.record_failure(now)).count(), 1);
    /// assert!(!health.usable(now));
    /// assert!(health.usable(now + Duration::from_secs(1)));
    /// ```
    pub fn record_failure(&mut self, now: Instant) -> bool {
        self.failures += 1;
        let probing = self.until.is_some_and(|until| until <= now);
        if self.failures < FAILURES && !probing {
            return false;
        }
        let pause = FIRST_ASIDE * 2_u32.saturating_pow(self.spells.min(8));
        self.spells += 1;
        self.failures = 0;
        self.until = Some(now + pause.min(LAST_ASIDE));
        true
    }

    /// Whether the server may get work now.
    pub fn usable(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| until <= now)
    }

    /// Whether the server's next answer decides if it comes back.
    pub fn probing(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| until <= now)
    }
}
