//! Processing time that a cell takes from its holder.

use std::time::{Duration, Instant};

/// Number and total duration of the steps of one kind.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Steps {
    /// Number of steps.
    pub count: u64,
    /// Total duration, which on a busy machine includes the time of other processes.
    pub total: Duration,
}

impl Steps {
    /// Counts a step that began at `start` and ends now.
    pub(crate) fn record(&mut self, start: Instant) {
        self.count += 1;
        self.total += start.elapsed();
    }

    /// Total duration, in milliseconds.
    pub(crate) fn total_ms(&self) -> u64 {
        u64::try_from(self.total.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Work for a cell since the last log line about its load.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Effort {
    /// Passes of the scheduler.
    pub passes: Steps,
    /// Answers to polls.
    pub answers: Steps,
    /// Computations of the load.
    pub loads: Steps,
    /// Start orders.
    pub starts: u64,
}
