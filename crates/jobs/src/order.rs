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
const OVERHEAD: u64 = 250;
/// Part by which chains are taken to be longer than estimated once a job has begun, in percent.
const DOUBT: u64 = 15;
/// The same for a job that has not begun, in percent.
const FRESH_DOUBT: u64 = 40;

/// Part of the objective, in percent, beyond which a result is of no use: late results count up to
/// three times the objective.
pub(crate) const USEFUL: u64 = 300;

/// What decides a job's place in the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// Whether its tasks last until it is cancelled.
    pub lasting: bool,
    /// Whether a task has started.
    pub begun: bool,
    /// Priority of its queue; 0 goes first.
    pub priority: u32,
    /// When its client first asked for it, in milliseconds.
    pub asked: u64,
    /// When it should be completed, in milliseconds.
    pub objective: u64,
    /// Estimated time that its chain takes, in milliseconds.
    pub chain: u64,
    /// Estimated work, in thousandths of a core times milliseconds.
    pub work: u64,
}

/// Place of a job in the order; smaller goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    class: u8,
    /// Time or work, by the class.
    order: u64,
    priority: u32,
}

impl Waiting {
    /// When it has to start to be in time, in milliseconds.
    pub fn latest(&self) -> u64 {
        let doubt = if self.begun { DOUBT } else { FRESH_DOUBT };
        self.objective.saturating_sub(self.chain + self.chain * doubt / 100 + OVERHEAD)
    }

    /// Until when its result is of use, in milliseconds.
    pub fn useful(&self) -> u64 {
        let span = self.objective.saturating_sub(self.asked);
        self.asked + span * USEFUL / 100
    }

    /// Its place at a moment.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::order::Waiting;
    /// let early = Waiting {
    ///     lasting: false,
    ///     begun: false,
    ///     priority: 0,
    ///     asked: 0,
    ///     objective: 1_900,
    ///     chain: 600,
    ///     work: 600_000,
    /// };
    /// let late = Waiting { objective: 900, ..early };
    /// assert!(early.rank(100) < late.rank(100));
    /// let large = Waiting { work: 6_000_000, ..early };
    /// assert!(early.rank(100) < large.rank(100));
    /// ```
    pub fn rank(&self, now: u64) -> Rank {
        let latest = self.latest();
        let (class, order) = match () {
            () if self.lasting => (0, self.asked),
            () if now <= latest && self.begun => (1, latest),
            () if now <= latest => (2, self.work),
            // The latest start of one with a better chance is later.
            () if now + self.chain <= self.objective => (3, u64::MAX - latest),
            () if now <= self.useful() => (4, self.asked),
            () => (5, self.asked),
        };
        Rank { class, order, priority: self.priority }
    }
}
