//! Pauses of a process, such as a suspension of its machine.
//!
//! Load pattern: a process that stands still for seconds reads all requests that have come meanwhile
//! within moments when it goes on. Their clients may have left long ago and have been answered by other
//! processes. The time at which such a request arrived is not known, only that it came during the pause
//! or after it.

use std::cell::Cell;

/// Interval between two observations of the clock, in milliseconds.
pub const OBSERVATION_INTERVAL_MS: u64 = 50;
/// Time between two observations from which the process counts as paused, in milliseconds.
const LEAST_PAUSE_MS: u64 = 500;
/// Time after a pause in which requests are read that came during it, in milliseconds.
const BACKLOG_MS: u64 = 500;

/// Recognises pauses by the time between two observations of the clock.
///
/// # Examples
///
/// ```
/// let pauses = cells::pauses::Pauses::default();
/// pauses.observe(10_000);
/// assert_eq!(pauses.age_of_arrivals(10_040), 0);
/// // The process stood still, and reads a request before it observes its clock.
/// assert_eq!(pauses.age_of_arrivals(14_000), 4_000);
/// pauses.observe(14_010);
/// assert_eq!(pauses.age_of_arrivals(14_500), 4_500);
/// (14_010..15_100).step_by(50).for_each(|now| pauses.observe(now));
/// assert_eq!(pauses.age_of_arrivals(15_100), 0);
/// ```
#[derive(Debug, Default)]
pub struct Pauses {
    /// Time of the last observation, in milliseconds; 0 before the first.
    observed_at: Cell<u64>,
    /// Begin and end of the last pause, in milliseconds.
    last: Cell<(u64, u64)>,
}

impl Pauses {
    /// Observes the clock, regularly.
    pub fn observe(&self, now: u64) {
        let before = self.observed_at.replace(now);
        if before > 0 && now >= before + LEAST_PAUSE_MS {
            // A second pause within the backlog of the first prolongs it.
            let (begin, end) = self.last.get();
            let begin = if before < end + BACKLOG_MS { begin } else { before };
            self.last.set((begin, now));
        }
    }

    /// Time for which a request that is read at `now` may have waited to be read, in milliseconds.
    pub fn age_of_arrivals(&self, now: u64) -> u64 {
        let (begin, end) = self.last.get();
        let observed_at = self.observed_at.get();
        let earliest = match () {
            () if now < end + BACKLOG_MS => begin,
            () if observed_at > 0 && now >= observed_at + LEAST_PAUSE_MS => observed_at,
            () => now,
        };
        now.saturating_sub(earliest)
    }
}
