//! Which tasks are to blame for the crash of an executor, and when their job is given up.
//!
//! Load pattern: some jobs have tasks that crash each executor that starts them, within
//! milliseconds of the start. Dozens of small tasks share these executors and start again together
//! with them. Machines also crash for reasons of their own, at times a whole rack at once. The
//! suspects of a crash are the tasks whose start had gone out shortly before it. A suspect starts again where no
//! other job starts at that time, so that a further crash has one job to blame. Two such crashes
//! tell a deadly task from an innocent one whose machine happens to crash. The loss of a rack at a
//! peak leaves more suspects than can wait for that; jobs then share an executor once, unless such
//! executors have crashed lately.

/// Time for which an executor must outlive the start of a run for the run to be cleared, in
/// milliseconds; many times the time that a deadly task takes to crash it.
pub const PROBATION_MS: u64 = 200;
/// Time after the start of a run in which a crash is blamed on it if no other job has just started,
/// in milliseconds; still several times what a deadly task takes.
const BLAME_MS: u64 = 100;
/// Crashes with a single job to blame after which the job is given up.
const MAX_BLAMED_CRASHES: u32 = 2;
/// The same number while machines crash for other reasons as well.
const MAX_BLAMED_CRASHES_UNSURE: u32 = 3;
/// Time for which a crash without suspects shows that machines crash for other reasons, in
/// milliseconds.
pub const UNEXPLAINED_MS: u64 = 10_000;
/// Crashes after which a job is given up even if others may be to blame, since a task that has
/// crashed as many executors must not start again.
const MAX_CRASHES: u32 = 5;
/// Share of the executors that suspects may occupy at a time, in percent.
const MAX_QUARANTINE_PERCENT: usize = 34;

/// Time that an executor takes to clear a suspect, in milliseconds: the probation, and the time to
/// the next poll.
const CLEARANCE_MS: usize = 300;
/// Time in which all waiting suspects should start, in milliseconds. A third of 12 executors lost at
/// a peak leaves 64 suspects; one at a time on each executor, the last waited 6.8 s.
const TARGET_WAIT_MS: usize = 1_000;
/// Most suspect jobs that share an executor; each of them is suspected again if one crashes it.
const MAX_SHARING_JOBS: usize = 8;
/// Time for which the suspects of all jobs start apart after a crash of an executor that was kept for
/// suspects, in milliseconds: some of them are deadly then, and would crash more executors.
pub const NO_SHARING_MS: u64 = 10_000;

/// Crashes of executors under a task that has not been cleared since.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Crashes {
    /// Number of crashes for which the task may be to blame.
    pub suspected: u32,
    /// Number of those for which no other job can be to blame.
    pub blamed: u32,
}

impl Crashes {
    /// Records a crash; `alone` is whether no other job can be to blame.
    pub fn record(&mut self, alone: bool) {
        self.suspected += 1;
        self.blamed += u32::from(alone);
    }

    /// Whether the task may crash the next executor, too.
    pub fn is_suspect(self) -> bool {
        self.suspected > 0
    }

    /// Whether the task may start on an executor that it shares with suspects of other jobs.
    ///
    /// It may once: a crash there has nobody to blame, but counts towards the most that a task may
    /// have.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::crash::Crashes;
    /// assert!(Crashes { suspected: 1, blamed: 0 }.may_share());
    /// assert!(!Crashes { suspected: 1, blamed: 1 }.may_share());
    /// assert!(!Crashes { suspected: 2, blamed: 0 }.may_share());
    /// ```
    pub fn may_share(self) -> bool {
        self.suspected <= 1 && self.blamed == 0
    }

    /// Whether the task must not start again.
    ///
    /// `unsure` is whether machines have lately crashed for other reasons.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::crash::Crashes;
    /// let mut crashes = Crashes::default();
    /// crashes.record(false);
    /// crashes.record(true);
    /// assert!(!crashes.is_hopeless(false));
    /// crashes.record(true);
    /// assert!(crashes.is_hopeless(false) && !crashes.is_hopeless(true));
    /// ```
    pub fn is_hopeless(self, unsure: bool) -> bool {
        let most = if unsure { MAX_BLAMED_CRASHES_UNSURE } else { MAX_BLAMED_CRASHES };
        self.blamed >= most || self.suspected >= MAX_CRASHES
    }
}

/// Whether a run can't cause a later crash: it had begun by `started`, and its executor answers at
/// `clock`, both by the executor's clock in milliseconds.
///
/// # Examples
///
/// ```
/// use jobs::crash::{PROBATION_MS, is_cleared};
/// assert!(!is_cleared(1_000, 1_010));
/// assert!(is_cleared(1_000, 1_000 + PROBATION_MS));
/// ```
pub fn is_cleared(started: u64, clock: u64) -> bool {
    clock >= started + PROBATION_MS
}

/// Whether a run is to blame for a crash of an executor on which no other job has just started.
///
/// `started` is as for [`is_cleared`], `None` for a run that is not known to have begun: the executor
/// may have ended before the order reached it. `clock` is the executor's clock at its last answer, in
/// milliseconds.
///
/// # Examples
///
/// ```
/// use jobs::crash::is_to_blame;
/// assert!(is_to_blame(Some(1_000), 1_010));
/// assert!(!is_to_blame(Some(1_000), 1_150));
/// assert!(!is_to_blame(None, 1_200));
/// ```
pub fn is_to_blame(started: Option<u64>, clock: u64) -> bool {
    started.is_some_and(|started| clock < started + BLAME_MS)
}

/// Most executors that may be kept for suspects, out of `executors` that accept tasks.
///
/// # Examples
///
/// ```
/// assert_eq!(jobs::crash::max_quarantined(1), 1);
/// assert_eq!(jobs::crash::max_quarantined(12), 4);
/// ```
pub fn max_quarantined(executors: usize) -> usize {
    (executors * MAX_QUARANTINE_PERCENT / 100).max(1)
}

/// Most jobs whose suspects may start on one executor at a time, with `waiting` jobs for `executors`
/// that may be kept for them.
///
/// # Examples
///
/// ```
/// use jobs::crash::max_sharing_jobs;
/// assert_eq!(max_sharing_jobs(12, 3), 1);
/// assert_eq!(max_sharing_jobs(20, 2), 3);
/// assert_eq!(max_sharing_jobs(64, 2), 8);
/// ```
pub fn max_sharing_jobs(waiting: usize, executors: usize) -> usize {
    (waiting * CLEARANCE_MS / (executors.max(1) * TARGET_WAIT_MS)).clamp(1, MAX_SHARING_JOBS)
}
