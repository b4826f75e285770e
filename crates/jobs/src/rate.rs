//! Shares the platform's rate of orders between waves and moves.
//!
//! Load pattern: at the start of a peak several hundred machines are to move at once, while a
//! maintenance wave of half the fleet goes on. The platform rejects orders beyond its rate, and a
//! rejected order is delayed by a round. A machine that moves in time earns more than one that is
//! maintained a little earlier, but the wave has a deadline: it gets a fixed share of the rate, and
//! the moves get the rest.

use std::collections::VecDeque;

/// Window over which orders are counted, in milliseconds; several windows fit into the second for
/// which the platform states its limit, so that no burst uses up the orders of a whole second.
const WINDOW_MS: u64 = 250;
/// Share of the rate that a wave may use, in percent. A wave of a thousand machines within half a
/// minute needs a tenth of the platform's usual rate.
const WAVE_SHARE_PERCENT: u64 = 25;

/// Orders sent recently, against the platform's limit.
///
/// # Examples
///
/// ```
/// let mut orders = jobs::rate::OrderRate::new(400);
/// assert_eq!(orders.available_to_moves(0), 100);
/// orders.record(0, 90);
/// assert_eq!(orders.available_to_moves(100), 10);
/// assert_eq!(orders.available_to_moves(250), 100);
/// ```
#[derive(Debug, Clone, Default)]
pub struct OrderRate {
    /// Most orders in a window.
    limit: u64,
    /// Time and number of the orders sent, in milliseconds.
    sent: VecDeque<(u64, u64)>,
    /// Time and number of the orders sent for waves, in milliseconds.
    sent_for_waves: VecDeque<(u64, u64)>,
}

impl OrderRate {
    /// Creates the state for the platform's limit of orders a second.
    ///
    /// At least one order may be sent in each window, also if the limit is unknown, which is 0.
    pub fn new(limit: u64) -> Self {
        Self { limit: (limit * WINDOW_MS / 1_000).max(1), ..Self::default() }
    }

    /// Orders for moves that may be sent at `now`.
    pub fn available_to_moves(&mut self, now: u64) -> usize {
        let left = self.limit.saturating_sub(in_window(&mut self.sent, now));
        usize::try_from(left).unwrap_or(usize::MAX)
    }

    /// Orders for waves that may be sent at `now`; at least one when none was sent in the window.
    pub fn available_to_waves(&mut self, now: u64) -> usize {
        let share = (self.limit * WAVE_SHARE_PERCENT / 100).max(1);
        let left = share.saturating_sub(in_window(&mut self.sent_for_waves, now));
        usize::try_from(left).unwrap_or(usize::MAX).min(self.available_to_moves(now))
    }

    /// Records orders for moves.
    pub fn record(&mut self, now: u64, orders: usize) {
        self.sent.push_back((now, orders as u64));
    }

    /// Records orders for waves.
    pub fn record_for_waves(&mut self, now: u64, orders: usize) {
        self.record(now, orders);
        self.sent_for_waves.push_back((now, orders as u64));
    }
}

/// Drops entries older than the window and sums up the others.
fn in_window(sent: &mut VecDeque<(u64, u64)>, now: u64) -> u64 {
    while sent.front().is_some_and(|(at, _)| *at + WINDOW_MS <= now) {
        sent.pop_front();
    }
    sent.iter().map(|(_, count)| count).sum()
}
