//! Limits the calls under way to a service that processes one call after the other.
//!
//! Load pattern: the loss of a rack leaves hundreds of steps that query such a service at the same
//! time, and the service also processes calls whose senders no longer wait. Calls that are sent all
//! at once, and again after a fixed time, would keep it busy with abandoned ones for good. A call is
//! therefore sent only once all earlier ones have ended or are overdue. The time after which a call
//! is overdue follows the responses and doubles with each overdue call, so that the service works
//! off any backlog, and the response to an overdue call still counts.

use indexmap::IndexMap;

/// Most calls without an outcome; below the number that such a service lets wait.
const MAX_OPEN_CALLS: usize = 16;
/// Time that a call may take beyond its processing before it is overdue, in milliseconds; several
/// round trips between data centres.
const CALL_MARGIN_MS: u64 = 1_000;
/// Longest time that overdue calls alone give the next call, in milliseconds.
const MAX_PATIENCE_MS: u64 = 30_000;
/// Shortest and longest pause after a call that the service has not processed, in milliseconds.
const PAUSE_RANGE_MS: (u64, u64) = (100, 2_000);

/// How a call has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// With a response; the service has processed the call.
    Answered,
    /// The service does not process the call.
    Rejected,
    /// Without a response; the service may still process the call.
    Unanswered,
}

/// A call without an outcome; its times are in milliseconds.
#[derive(Debug, Clone, Copy)]
struct OpenCall {
    sent_at: u64,
    /// Expected time that the service needs for the call.
    cost: u64,
    overdue_at: u64,
}

/// Decides when the next call may be sent.
///
/// # Examples
///
/// ```
/// use jobs::window::{CallWindow, Outcome};
/// let mut window = CallWindow::default();
/// assert!(window.is_open(0));
/// let first = window.begin(300, 0);
/// assert!(!window.is_open(1_000));
/// assert!(window.is_open(1_600), "the first call is overdue");
/// let second = window.begin(300, 1_600);
/// assert!(!window.is_open(4_000), "the second one is given twice the time");
/// window.end(first, Outcome::Answered, 4_100);
/// window.end(second, Outcome::Answered, 4_400);
/// assert!(window.is_open(4_400));
/// ```
#[derive(Debug, Clone, Default)]
pub struct CallWindow {
    open: IndexMap<u64, OpenCall>,
    /// Number of the last call.
    last: u64,
    /// Least time after which the next call is overdue, in milliseconds.
    patience: u64,
    /// Time before which no call is sent, in milliseconds.
    closed_until: u64,
    /// Last pause after a call that was not processed, in milliseconds; 0 after a response.
    pause: u64,
}

impl CallWindow {
    /// Whether a call may be sent at `now`.
    pub fn is_open(&self, now: u64) -> bool {
        now >= self.closed_until
            && self.open.len() < MAX_OPEN_CALLS
            && self.open.values().all(|call| now >= call.overdue_at)
    }

    /// Number of calls without an outcome.
    pub fn open_calls(&self) -> usize {
        self.open.len()
    }

    /// Records a call that is sent at `now`, and returns its number.
    ///
    /// `cost` is the expected time that the service needs for the call, in milliseconds.
    pub fn begin(&mut self, cost: u64, now: u64) -> u64 {
        if let Some(call) = self.open.values().last() {
            let doubled = 2 * (call.overdue_at - call.sent_at);
            let limit = MAX_PATIENCE_MS.max(call.cost.saturating_mul(8));
            self.patience = self.patience.max(doubled.min(limit));
        }
        let patience = self.patience.max(cost.saturating_mul(2).saturating_add(CALL_MARGIN_MS));
        self.last += 1;
        let call = OpenCall { sent_at: now, cost, overdue_at: now.saturating_add(patience) };
        self.open.insert(self.last, call);
        self.last
    }

    /// Records the outcome of a call at `now`.
    pub fn end(&mut self, number: u64, outcome: Outcome, now: u64) {
        let Some(call) = self.open.shift_remove(&number) else { return };
        if outcome == Outcome::Answered {
            // The response of a backlogged service shows how long the next call has to wait.
            let took = now.saturating_sub(call.sent_at);
            self.patience = took.saturating_mul(2).max(self.patience / 2);
            self.pause = 0;
            self.closed_until = self.closed_until.min(now);
            return;
        }
        let (shortest, longest) = PAUSE_RANGE_MS;
        self.pause = (2 * self.pause).clamp(shortest, longest.max(call.cost));
        let idle_at = match outcome {
            Outcome::Unanswered => now.max(call.sent_at.saturating_add(call.cost)),
            Outcome::Answered | Outcome::Rejected => now,
        };
        self.closed_until = self.closed_until.max(idle_at.saturating_add(self.pause));
    }
}
