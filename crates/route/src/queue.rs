//! Requests that wait for a slot, urgent ones first, each by its deadline.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fleet::Urgency;

/// Urgent grants in a row after which a waiting request goes first.
const URGENT_RUN: u32 = 8;
/// Weight of the newest sample in the mean time between grants, as one part in so many.
const MEAN_PARTS: u32 = 8;
/// Shortest time to come back after, when a request is refused.
pub const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Name of a waiting request, unique within its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Waiter(u64);

/// Requests waiting for slots of one pool.
#[derive(Debug)]
pub struct Queue {
    limit: usize,
    next: u64,
    urgent: BTreeMap<(Instant, Waiter), ()>,
    waiting: BTreeMap<(Instant, Waiter), ()>,
    urgent_run: u32,
    pace: Duration,
    granted: Option<Instant>,
}

impl Queue {
    /// Opens a queue for so many requests at most.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            next: 0,
            urgent: BTreeMap::new(),
            waiting: BTreeMap::new(),
            urgent_run: 0,
            pace: Duration::ZERO,
            granted: None,
        }
    }

    /// Lets a request wait.
    ///
    /// # Errors
    ///
    /// The time to come back after, when it would not get a slot before its deadline.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use fleet::Urgency;
    /// let now = Instant::now();
    /// let mut queue = route::Queue::new(8);
    /// let slow = queue.enqueue(Urgency::Waiting, now + Duration::from_secs(1), now).unwrap();
    /// let fast = queue.enqueue(Urgency::Urgent, now + Duration::from_secs(2), now).unwrap();
    /// assert_eq!(queue.grant(now), Some(fast));
    /// assert_eq!(queue.grant(now), Some(slow));
    /// ```
    pub fn enqueue(
        &mut self,
        urgency: Urgency,
        deadline: Instant,
        now: Instant,
    ) -> Result<Waiter, Duration> {
        let ahead = match urgency {
            Urgency::Urgent => self.urgent.range(..(deadline, Waiter(u64::MAX))).count(),
            _ => self.len(),
        };
        let wait = self.pace * u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        if self.len() >= self.limit || now + wait > deadline {
            return Err(wait.max(MIN_RETRY_DELAY));
        }
        let waiter = Waiter(self.next);
        self.next += 1;
        self.side(urgency).insert((deadline, waiter), ());
        Ok(waiter)
    }

    /// Takes out the request that goes next, when a slot is free.
    pub fn grant(&mut self, now: Instant) -> Option<Waiter> {
        let turn = self.urgent_run >= URGENT_RUN && !self.waiting.is_empty();
        let from_urgent = !self.urgent.is_empty() && !turn;
        self.urgent_run = if from_urgent { self.urgent_run + 1 } else { 0 };
        let side = if from_urgent { &mut self.urgent } else { &mut self.waiting };
        let ((_, waiter), ()) = side.pop_first()?;
        self.learn(now);
        Some(waiter)
    }

    /// Takes out a request that no longer waits.
    pub fn remove(&mut self, urgency: Urgency, deadline: Instant, waiter: Waiter) -> bool {
        self.side(urgency).remove(&(deadline, waiter)).is_some()
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.urgent.len() + self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn side(&mut self, urgency: Urgency) -> &mut BTreeMap<(Instant, Waiter), ()> {
        if urgency == Urgency::Urgent { &mut self.urgent } else { &mut self.waiting }
    }

    /// Learns the mean time between grants while requests wait.
    fn learn(&mut self, now: Instant) {
        if let Some(last) = self.granted.replace(now).filter(|_| !self.is_empty()) {
            let sample = now.saturating_duration_since(last);
            self.pace = (self.pace * (MEAN_PARTS - 1) + sample) / MEAN_PARTS;
        }
        if self.is_empty() {
            self.granted = None;
        }
    }
}
