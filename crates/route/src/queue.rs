//! Queue of requests that wait for a slot, urgent ones first, each class ordered by deadline.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fleet::Urgency;

/// Consecutive urgent grants after which a non-urgent request is granted.
const MAX_URGENT_GRANTS: u32 = 8;
/// Inverse weight of the newest sample in the moving average of the time between grants.
const AVERAGE_WEIGHT: u32 = 8;
/// Shortest retry delay that a rejected request is given.
pub const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Id of a waiting request, unique within its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Waiter(u64);

/// Requests that wait for slots of one pool.
#[derive(Debug)]
pub struct Queue {
    limit: usize,
    next_id: u64,
    urgent: BTreeMap<(Instant, Waiter), ()>,
    waiting: BTreeMap<(Instant, Waiter), ()>,
    urgent_grants: u32,
    grant_interval: Duration,
    last_grant: Option<Instant>,
}

impl Queue {
    /// Creates a queue for at most `limit` requests.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            next_id: 0,
            urgent: BTreeMap::new(),
            waiting: BTreeMap::new(),
            urgent_grants: 0,
            grant_interval: Duration::ZERO,
            last_grant: None,
        }
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    ///
    /// Returns a retry delay if the queue is full or the request would get no slot in time.
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
        let wait = self.grant_interval * u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        if self.len() >= self.limit || now + wait > deadline {
            return Err(wait.max(MIN_RETRY_DELAY));
        }
        let waiter = Waiter(self.next_id);
        self.next_id += 1;
        self.class(urgency).insert((deadline, waiter), ());
        Ok(waiter)
    }

    /// Removes and returns the request that gets a free slot; `None` if none is waiting.
    pub fn grant(&mut self, now: Instant) -> Option<Waiter> {
        let skip_urgent = self.urgent_grants >= MAX_URGENT_GRANTS && !self.waiting.is_empty();
        let from_urgent = !self.urgent.is_empty() && !skip_urgent;
        self.urgent_grants = if from_urgent { self.urgent_grants + 1 } else { 0 };
        let class = if from_urgent { &mut self.urgent } else { &mut self.waiting };
        let ((_, waiter), ()) = class.pop_first()?;
        self.update_grant_interval(now);
        Some(waiter)
    }

    /// Removes a request that was cancelled or granted; returns whether it was still queued.
    pub fn remove(&mut self, urgency: Urgency, deadline: Instant, waiter: Waiter) -> bool {
        self.class(urgency).remove(&(deadline, waiter)).is_some()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.urgent.len() + self.waiting.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn class(&mut self, urgency: Urgency) -> &mut BTreeMap<(Instant, Waiter), ()> {
        if urgency == Urgency::Urgent { &mut self.urgent } else { &mut self.waiting }
    }

    /// Updates the moving average of the time between grants, measured while requests wait.
    fn update_grant_interval(&mut self, now: Instant) {
        if let Some(last) = self.last_grant.replace(now).filter(|_| !self.is_empty()) {
            let sample = now.saturating_duration_since(last);
            self.grant_interval =
                (self.grant_interval * (AVERAGE_WEIGHT - 1) + sample) / AVERAGE_WEIGHT;
        }
        if self.is_empty() {
            self.last_grant = None;
        }
    }
}
