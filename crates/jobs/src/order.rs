//! Order in which jobs get resources.
//!
//! Load pattern: a queue's demand peak brings several times as much work as its pool can process. A
//! job that ends after its objective is worth a small part of one that ends in time. The order is:
//!
//! 1. Long-running jobs, because time without their tasks can't be made up for.
//! 2. Started jobs that can still meet their objective: little more work brings their full value.
//! 3. New jobs that can meet their objective with time to spare, which covers errors of estimates.
//!    With [`Policy::LeastWork`] the smallest go first. With [`Policy::LatestStart`] they go by their
//!    latest start, which is put off for large jobs, for queues of lower priority and for what an
//!    organisation sends beyond its weight: small jobs bring more value for their work, and a large one
//!    can make room for many. As the key of a job does not change, each job is delayed by a bounded
//!    number of later ones.
//! 4. Jobs that may meet their objective, but without time to spare, the best chance first. They
//!    get resources when several machines arrive at once.
//! 5. Late jobs, in the order of their first request.
//! 6. Late jobs whose result is no longer useful.
//!
//! Each occurrence of a repeated job counts as a job of its own, requested when it is due. In the last
//! class the next occurrence queues from the time at which the one before has begun, so that others
//! get their turn beside a backlog. Very large jobs there queue from their latest start, some minutes
//! behind the others: thousands of them, which each fill the pool, take turns with each other only.
//!
//! Clients of refused jobs retry within the same peak; the objective counts from their first
//! request.

/// Time that a job takes beyond its tasks' work, in milliseconds: start orders, polls for ended
/// runs and the write of its result.
const JOB_OVERHEAD_MS: u64 = 250;
/// Safety margin on the estimated duration of a started job, in percent.
const STARTED_JOB_MARGIN_PERCENT: u64 = 15;
/// Safety margin on the estimated duration of a job that has not started, in percent.
const NEW_JOB_MARGIN_PERCENT: u64 = 40;
/// The same with [`Policy::LatestStart`]. A larger one moves jobs too early to the class without time to
/// spare.
const LATEST_START_MARGIN_PERCENT: u64 = 20;
/// Time by which a job's place is put off for each doubling of its work, in milliseconds; long enough
/// that small jobs overtake, and short enough that large ones still end in time.
const WORK_DOUBLING_MS: u64 = 130;
/// Time by which a job's place is put off for each step of its queue's priority, in milliseconds;
/// with the limit on these steps, at most half a peak.
const PRIORITY_STEP_MS: u64 = 200;
/// Time by which a job beyond the weight of its organisation is put off, in milliseconds; longer than
/// small jobs can wait, so that it gets what the others leave.
const BEYOND_SHARE_MS: u64 = 2_000;
/// Steps of priority that count for a job's place.
const MAX_PRIORITY_STEPS: u32 = 10;

/// Time for which a result is useful, in percent of the time to the objective: late results have
/// value up to three times the objective.
pub(crate) const USEFUL_SPAN_PERCENT: u64 = 300;

/// Order of the new jobs that can meet their objective with time to spare.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// The least work first, whoever sends it: when resources are short, most clients are served in
    /// time.
    #[default]
    LeastWork,
    /// By [`Candidate::place`]; admission predicts the wait from the places of the other jobs.
    LatestStart,
}

/// Properties of a job that decide its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Order of the new jobs.
    pub policy: Policy,
    /// Whether its tasks run until the job is cancelled.
    pub long_running: bool,
    /// Whether a task has started.
    pub started: bool,
    /// Priority of its queue; 0 is the highest.
    pub priority: u32,
    /// Whether it is beyond the weight of its organisation.
    pub beyond_share: bool,
    /// Time of the client's first request, in milliseconds.
    pub requested_at: u64,
    /// Time by which the job should be completed, in milliseconds.
    pub objective: u64,
    /// Estimated duration of the remaining critical path, in milliseconds.
    pub critical_path: u64,
    /// Estimated work, in thousandths of a core times milliseconds.
    pub work: u64,
}

/// Rank of a job; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Position in the list at the head of this module, counted from 0.
    class: u8,
    /// Time or amount of work, depending on the class.
    key: u64,
    priority: u32,
}

/// Work above which a job counts as very large, in thousandths of a core times milliseconds; many times
/// that of the usual jobs.
const VERY_LARGE_WORK: u64 = 600_000_000;
/// Time by which a very large job that is late and of no use is put off, in milliseconds.
const VERY_LARGE_DELAY_MS: u64 = 600_000;
/// Position of the late jobs whose result is no longer useful.
const USELESS_CLASS: u8 = 5;

impl Rank {
    /// Rank of a job that has queued since `at`, in milliseconds, if it is among the last ones.
    #[must_use]
    pub fn queued_since(self, at: u64) -> Self {
        let key = if self.class == USELESS_CLASS { self.key.max(at) } else { self.key };
        Self { key, ..self }
    }
}

impl Candidate {
    /// Latest start that still meets the objective, in milliseconds.
    pub fn latest_start(&self) -> u64 {
        let margin = match self.policy {
            _ if self.started => STARTED_JOB_MARGIN_PERCENT,
            Policy::LeastWork => NEW_JOB_MARGIN_PERCENT,
            Policy::LatestStart => LATEST_START_MARGIN_PERCENT,
        };
        self.objective.saturating_sub(
            self.critical_path + self.critical_path * margin / 100 + JOB_OVERHEAD_MS,
        )
    }

    /// Place among the jobs that have not started and can be in time with [`Policy::LatestStart`], in
    /// milliseconds; the smallest goes first.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::order::{Candidate, Policy};
    /// let job = Candidate {
    ///     policy: Policy::LatestStart,
    ///     long_running: false,
    ///     started: false,
    ///     priority: 0,
    ///     beyond_share: false,
    ///     requested_at: 0,
    ///     objective: 2_000,
    ///     critical_path: 600,
    ///     work: 600_000,
    /// };
    /// // Twice the work is worth a wait of 130 ms.
    /// let large = Candidate { work: 1_200_000, ..job };
    /// assert_eq!(large.place(), job.place() + 130);
    /// let later = Candidate { objective: 2_150, ..job };
    /// assert!(large.place() < later.place());
    /// ```
    pub fn place(&self) -> u64 {
        let priority = u64::from(self.priority.min(MAX_PRIORITY_STEPS));
        let doublings = sixteenths_of_doublings(self.work);
        let share = if self.beyond_share { BEYOND_SHARE_MS } else { 0 };
        self.latest_start()
            + doublings * WORK_DOUBLING_MS / 16
            + priority * PRIORITY_STEP_MS
            + share
    }

    /// Rank of the job at the time `now`, if its tasks last started at `last_start`, in milliseconds; 0
    /// for none.
    pub fn turn(&self, last_start: u64, now: u64) -> Rank {
        let rank = self.rank(now);
        if self.work <= VERY_LARGE_WORK {
            return rank;
        }
        rank.queued_since(self.requested_at.max(last_start).saturating_add(VERY_LARGE_DELAY_MS))
    }

    /// Whether the job has started and can still be in time.
    pub fn is_started_and_timely(&self, now: u64) -> bool {
        self.started && now <= self.latest_start()
    }

    /// Whether the job has not started and can be in time, with time to spare.
    pub fn is_new_and_timely(&self, now: u64) -> bool {
        !self.started && now <= self.latest_start()
    }

    /// Time until which the result is useful, in milliseconds.
    pub fn useful_until(&self) -> u64 {
        let span = self.objective.saturating_sub(self.requested_at);
        self.requested_at + span * USEFUL_SPAN_PERCENT / 100
    }

    /// Rank of the job at the time `now`.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::order::{Candidate, Policy};
    /// let early = Candidate {
    ///     policy: Policy::LatestStart,
    ///     long_running: false,
    ///     started: false,
    ///     priority: 0,
    ///     beyond_share: false,
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
            () if self.is_started_and_timely(now) => (1, latest),
            () if self.is_new_and_timely(now) => match self.policy {
                Policy::LeastWork => (2, self.work),
                Policy::LatestStart => (2, self.place()),
            },
            // A later latest start means a better chance.
            () if now + self.critical_path <= self.objective => (3, u64::MAX - latest),
            () if now <= self.useful_until() => (4, self.requested_at),
            () => (USELESS_CLASS, self.requested_at),
        };
        Rank { class, key, priority: self.priority }
    }
}

/// Sixteen times the binary logarithm of an amount, to within one; linear between powers of two.
fn sixteenths_of_doublings(amount: u64) -> u64 {
    let amount = u128::from(amount.max(1));
    let whole = amount.ilog2();
    let part = (amount << 4 >> whole) & 15;
    u64::from(whole) * 16 + u64::try_from(part).unwrap_or(0)
}
