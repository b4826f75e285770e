//! Order in which waiting jobs get room.
//!
//! Load pattern: a queue's turn brings several times what its pool holds. A job that ends after
//! its objective is worth a small part of one that ends in time, so jobs that can still be in time
//! go first, and late ones fill what is left in the order of their arrival. Among the former, those
//! that have begun go first: little more work brings their whole worth. One that has not begun
//! needs time to spare, since estimates are wrong. With more of those than room, the smallest first
//! gives the most clients their result in time. Where several
//! machines come at once, those without time to spare that may be in time all the same go next, the
//! one with the best chance first, and those whose results are of no use any more go last. Lasting jobs
//! go before all of them, because every moment without their tasks is lost for good. Clients that
//! were turned away come back in the same turn; their objective goes on from their first request.

/// What a job's steps take beyond their own work, in milliseconds: orders, looks and the record.
const JOB_OVERHEAD_MS: u64 = 250;
/// Part by which chains are taken to be longer than estimated once a job has begun, in percent.
const STARTED_JOB_MARGIN_PERCENT: u64 = 15;
/// The same for a job that has not begun, in percent.
const NEW_JOB_MARGIN_PERCENT: u64 = 40;

/// Part of the objective, in percent, beyond which a result is of no use: late results count up to
/// three times the objective.
pub(crate) const USEFUL_SPAN_PERCENT: u64 = 300;

/// What decides a job's place in the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Whether its tasks last until it is cancelled.
    pub long_running: bool,
    /// Whether a task has started.
    pub started: bool,
    /// Priority of its queue; 0 goes first.
    pub priority: u32,
    /// When its client first asked for it, in milliseconds.
    pub requested_at: u64,
    /// When it should be completed, in milliseconds.
    pub objective: u64,
    /// Estimated time that its chain takes, in milliseconds.
    pub critical_path: u64,
    /// Estimated work, in thousandths of a core times milliseconds.
    pub work: u64,
}

/// Place of a job in the order; smaller goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    class: u8,
    /// Time or work, by the class.
    key: u64,
    priority: u32,
}

impl Candidate {
    /// When it has to start to be in time, in milliseconds.
    pub fn latest_start(&self) -> u64 {
        let doubt = if self.started { STARTED_JOB_MARGIN_PERCENT } else { NEW_JOB_MARGIN_PERCENT };
        self.objective
            .saturating_sub(self.critical_path + self.critical_path * doubt / 100 + JOB_OVERHEAD_MS)
    }

    /// Until when its result is of use, in milliseconds.
    pub fn useful_until(&self) -> u64 {
        let span = self.objective.saturating_sub(self.requested_at);
        self.requested_at + span * USEFUL_SPAN_PERCENT / 100
    }

    /// Its place at a moment.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::order::Candidate;
    /// let early = Candidate {
    ///     long_running: false,
    ///     started: false,
    ///     priority: 0,
    ///     requested_at: 0,
    ///     objective: 1_900,
    ///     critical_path: 600,
    ///     work: 600_000,
    /// };
    /// let late = Candidate { objective: 900, ..early };
    /// assert!(early.rank(100) < late.rank(100));
    /// let large = Candidate { work: 6_000_000, ..early };
    /// assert!(early.rank(100) < large.rank(100));
    /// ```
    pub fn rank(&self, now: u64) -> Rank {
        let latest = self.latest_start();
        let (class, key) = match () {
            () if self.long_running => (0, self.requested_at),
            () if now <= latest && self.started => (1, latest),
            () if now <= latest => (2, self.work),
            // The latest start of one with a better chance is later.
            () if now + self.critical_path <= self.objective => (3, u64::MAX - latest),
            () if now <= self.useful_until() => (4, self.requested_at),
            () => (5, self.requested_at),
        };
        Rank { class, key, priority: self.priority }
    }
}
