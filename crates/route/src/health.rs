//! Ejection of failing servers, which are probed again after an exponential back-off.

use std::time::{Duration, Instant};

/// Consecutive failures after which a server is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Duration of the first ejection; it doubles with each one up to `MAX_EJECTION`.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Health of one server, derived from the outcomes of its requests.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl Health {
    /// Records a success; returns true if the server was ejected and is now restored.
    pub fn record_success(&mut self) -> bool {
        let restored = self.ejected_until.is_some();
        *self = Self::default();
        restored
    }

    /// Records a failure; returns true if the server is now ejected.
    ///
    /// A failed probe after an ejection ejects the server again at once.
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
        let probing = self.ejected_until.is_some_and(|until| until <= now);
        if self.failures < MAX_CONSECUTIVE_FAILURES && !probing {
            return false;
        }
        let duration = MIN_EJECTION * 2_u32.saturating_pow(self.ejections.min(8));
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(now + duration.min(MAX_EJECTION));
        true
    }

    /// Returns whether requests may be sent to the server now.
    pub fn usable(&self, now: Instant) -> bool {
        self.ejected_until.is_none_or(|until| until <= now)
    }

    /// Returns whether an ejection has expired, so that the next request probes the server.
    pub fn probing(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until <= now)
    }
}
