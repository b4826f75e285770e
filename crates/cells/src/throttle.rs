//! Limits the rate of calls to the table that a process makes in bulk.
//!
//! Load pattern: a new holder reads some hundreds of parts, each with several calls, while all other
//! processes need the same table. The table refuses calls beyond its rate, whoever makes them. A
//! burst covers the parts of a usual cell at once. Beyond it, calls go out at a rate that is halved
//! with each refusal and grows again while there are none, so that processes which take cells over at
//! the same time share what the table can do.

/// Calls that may be made at once after a pause, as many as a cell of a few queues needs.
const BURST: u64 = 500;
/// Lowest and highest rate, in calls a second.
const RATE_RANGE: (u64, u64) = (50, 1_200);
/// Time in which the rate doubles while there are no refusals, in milliseconds.
const DOUBLING_MS: u64 = 1_000;
/// Least time between two reductions of the rate, in milliseconds; the refusals of one moment have
/// one cause.
const REDUCTION_INTERVAL_MS: u64 = 100;
/// Rates and numbers of calls are kept in thousandths.
const UNITS: u64 = 1_000;

/// Decides when the next call may be made.
///
/// # Examples
///
/// ```
/// use cells::throttle::Throttle;
/// let mut throttle = Throttle::default();
/// let burst = (0..).take_while(|_| throttle.take(1_000) == 0).count();
/// assert_eq!(burst, 500);
/// assert_eq!(throttle.take(1_000), 1, "the next call waits for a millisecond");
/// throttle.refused(1_000);
/// assert_eq!(throttle.rate(), 600);
/// ```
#[derive(Debug, Clone)]
pub struct Throttle {
    /// Calls a second, in thousandths.
    rate: u64,
    /// Calls that may be made now, in thousandths.
    available: u64,
    /// Time up to which `available` and `rate` have grown, in milliseconds.
    updated_at: u64,
    /// Time of the last reduction of the rate, in milliseconds.
    reduced_at: u64,
    /// Number of refusals.
    refusals: u64,
}

impl Default for Throttle {
    fn default() -> Self {
        Self {
            rate: RATE_RANGE.1 * UNITS,
            available: BURST * UNITS,
            updated_at: 0,
            reduced_at: 0,
            refusals: 0,
        }
    }
}

impl Throttle {
    /// Takes the right to make a call at `now`, or returns the time to wait for it, in milliseconds.
    pub fn take(&mut self, now: u64) -> u64 {
        self.update(now);
        match self.available.checked_sub(UNITS) {
            Some(left) => {
                self.available = left;
                0
            }
            None => (UNITS - self.available).div_ceil(self.rate()).max(1),
        }
    }

    /// Records that a call was refused at `now`.
    pub fn refused(&mut self, now: u64) {
        self.update(now);
        self.refusals += 1;
        self.available = 0;
        if now >= self.reduced_at + REDUCTION_INTERVAL_MS {
            self.reduced_at = now;
            self.rate = (self.rate / 2).max(RATE_RANGE.0 * UNITS);
        }
    }

    /// Rate of calls, in calls a second.
    pub fn rate(&self) -> u64 {
        self.rate / UNITS
    }

    /// Number of refused calls.
    pub fn refusals(&self) -> u64 {
        self.refusals
    }

    fn update(&mut self, now: u64) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        // A thousandth of the rate is due each millisecond, as the units are thousandths of a call.
        let due = elapsed.saturating_mul(self.rate()).saturating_add(self.available);
        self.available = due.min(BURST * UNITS);
        let growth = elapsed.saturating_mul(self.rate) / DOUBLING_MS;
        self.rate = self.rate.saturating_add(growth).min(RATE_RANGE.1 * UNITS);
    }
}
