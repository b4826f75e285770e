//! Timeline: recent events of a process, ordered across processes by a logical clock.
//!
//! The clock is a Lamport clock: messages between processes carry it, so that an event has a higher
//! clock than the events that caused it.

use std::collections::VecDeque;
use std::fmt::Display;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::event::Event;

/// Maximum number of events kept in memory; the oldest is dropped first.
const MAX_ENTRIES: usize = 4_096;

/// Timeline of a process; clones share the same events and clock.
#[derive(Debug, Clone)]
pub struct Timeline {
    process: Arc<str>,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    clock: u64,
    entries: VecDeque<TimelineEntry>,
    log_limit: LogLimit,
}

/// Maximum log lines of an event per second, three times the usual rate of the busiest event.
const MAX_LINES_PER_SECOND: u32 = 300;

/// Limits the log lines of each event per second; the timeline still records every event.
#[derive(Debug, Default)]
struct LogLimit {
    /// Current second, number of events in it and lines left out in it, by event.
    counts: IndexMap<Event, (u64, u32, u64)>,
}

impl LogLimit {
    /// Returns whether to log an event, and how many lines were left out in its previous second.
    ///
    /// The number is present once, at the first event after a second with lines left out.
    fn admit(&mut self, event: Event, at_ms: u64) -> (bool, Option<u64>) {
        let second = at_ms / 1_000;
        let (last, lines, left_out) = self.counts.entry(event).or_default();
        let mut report = None;
        if *last != second {
            report = (*left_out > 0).then_some(*left_out);
            (*last, *lines, *left_out) = (second, 0, 0);
        }
        *lines += 1;
        if *lines > MAX_LINES_PER_SECOND {
            *left_out += 1;
            return (false, report);
        }
        (true, report)
    }
}

/// Event on the timeline, as `GET /timeline` returns it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEntry {
    /// Logical clock, higher than that of every event that caused this one.
    pub clock: u64,
    /// Wall clock of the process at the event, in milliseconds since 1970.
    pub at_ms: u64,
    /// Name of the process that recorded the event.
    pub process: String,
    /// Number of the event, see [`Event::number`].
    pub number: u16,
    /// Name of the event, in kebab case.
    pub event: String,
    /// Details by name.
    pub fields: IndexMap<String, String>,
}

impl Timeline {
    /// Creates an empty timeline for a process.
    ///
    /// # Examples
    ///
    /// ```
    /// let timeline = base::Timeline::new("entry-1");
    /// timeline.record(base::Event::Ready, &[("address", &"127.0.0.1:1")]);
    /// assert_eq!(timeline.since(0)[0].event, "ready");
    /// ```
    pub fn new(process: &str) -> Self {
        Self { process: process.into(), state: Arc::default() }
    }

    /// Returns the name of the process.
    pub fn process(&self) -> &str {
        &self.process
    }

    /// Records an event, and logs it unless the event has reached its limit of log lines.
    pub fn record(&self, event: Event, fields: &[(&str, &dyn Display)]) {
        let fields: IndexMap<String, String> =
            fields.iter().map(|(name, value)| ((*name).to_owned(), value.to_string())).collect();
        let at_ms = wall_ms();
        let mut state = self.lock();
        let (log, left_out) = state.log_limit.admit(event, at_ms);
        if let Some(count) = left_out {
            let fields =
                [("event".to_owned(), event.to_string()), ("count".to_owned(), count.to_string())];
            crate::logging::write_event(Event::LinesLeftOut, &fields.into_iter().collect());
        }
        if log {
            crate::logging::write_event(event, &fields);
        }
        state.clock += 1;
        let entry = TimelineEntry {
            clock: state.clock,
            at_ms,
            process: self.process.to_string(),
            number: event.number(),
            event: event.to_string(),
            fields,
        };
        if state.entries.len() == MAX_ENTRIES {
            state.entries.pop_front();
        }
        state.entries.push_back(entry);
    }

    /// Returns the events whose clock is higher than `clock`, oldest first.
    pub fn since(&self, clock: u64) -> Vec<TimelineEntry> {
        self.lock().entries.iter().filter(|entry| entry.clock > clock).cloned().collect()
    }

    /// Returns the logical clock, to be sent with a message.
    ///
    /// # Examples
    ///
    /// ```
    /// let (a, b) = (base::Timeline::new("a"), base::Timeline::new("b"));
    /// a.record(base::Event::Ready, &[]);
    /// b.observe(a.clock());
    /// b.record(base::Event::Ready, &[]);
    /// assert!(b.since(0)[0].clock > a.since(0)[0].clock);
    /// ```
    pub fn clock(&self) -> u64 {
        self.lock().clock
    }

    /// Advances the logical clock and returns it, for ids that are unique within the process.
    pub fn tick(&self) -> u64 {
        let mut state = self.lock();
        state.clock += 1;
        state.clock
    }

    /// Advances the logical clock to at least the clock received with a message.
    pub fn observe(&self, clock: u64) {
        let mut state = self.lock();
        state.clock = state.clock.max(clock);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the wall clock in milliseconds since 1970.
///
/// It serves for display and as the start of incarnation and list version numbers. Leases and time
/// limits don't use it, as the wall clock can jump.
///
/// # Examples
///
/// ```
/// assert!(base::timeline::wall_ms() > 0);
/// ```
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Sorts entries of several processes by logical clock, then by wall clock and process.
///
/// Causes therefore precede their effects.
///
/// # Examples
///
/// ```
/// let timeline = base::Timeline::new("a");
/// timeline.record(base::Event::Ready, &[]);
/// timeline.record(base::Event::Stopped, &[]);
/// let mut entries = timeline.since(0);
/// entries.reverse();
/// base::timeline::sort(&mut entries);
/// assert_eq!(entries[0].event, "ready");
/// ```
pub fn sort(entries: &mut [TimelineEntry]) {
    entries.sort_by(|a, b| (a.clock, a.at_ms, &a.process).cmp(&(b.clock, b.at_ms, &b.process)));
}

#[cfg(test)]
#[path = "../tests/unit/timeline.rs"]
mod tests;
