//! Recent events of one process, with a logical clock that orders them across processes.

use std::collections::VecDeque;
use std::fmt::Display;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::event::Event;

/// Events that a process keeps in memory.
const KEPT: usize = 4_096;

/// Handle on a process's time line; copies share it.
#[derive(Debug, Clone)]
pub struct Timeline {
    process: Arc<str>,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    clock: u64,
    entries: VecDeque<TimelineEntry>,
    budget: Budget,
}

/// Log lines an event may have in a second; the usual rate of the most frequent one is a third.
const LINES: u32 = 300;

/// Bounds the log lines of each event; all events stay on the time line.
#[derive(Debug, Default)]
struct Budget {
    /// Second, lines in it, and lines left out since the last note, by event.
    spent: IndexMap<Event, (u64, u32, u64)>,
}

impl Budget {
    /// Whether an event may be logged now, and how many were left out before if that is to be
    /// told.
    fn spend(&mut self, event: Event, at_ms: u64) -> (bool, Option<u64>) {
        let second = at_ms / 1_000;
        let (last, lines, left_out) = self.spent.entry(event).or_default();
        let mut told = None;
        if *last != second {
            told = (*left_out > 0).then_some(*left_out);
            (*last, *lines, *left_out) = (second, 0, 0);
        }
        *lines += 1;
        if *lines > LINES {
            *left_out += 1;
            return (false, told);
        }
        (true, told)
    }
}

/// One event on the time line, also its wire form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEntry {
    /// Logical clock; an event that was caused by another has a higher one.
    pub clock: u64,
    /// Wall clock of the process, in milliseconds since 1970.
    pub at_ms: u64,
    /// Name of the process.
    pub process: String,
    /// Number of the event.
    pub number: u16,
    /// Name of the event.
    pub event: String,
    /// Details by name.
    pub fields: IndexMap<String, String>,
}

impl Timeline {
    /// Opens an empty time line.
    ///
    /// # Examples
    ///
    /// ```
    /// let line = base::Timeline::new("entry-1");
    /// line.record(base::Event::Ready, &[("address", &"127.0.0.1:1")]);
    /// assert_eq!(line.since(0)[0].event, "ready");
    /// ```
    pub fn new(process: &str) -> Self {
        Self { process: process.into(), state: Arc::default() }
    }

    /// Name of the process.
    pub fn process(&self) -> &str {
        &self.process
    }

    /// Records an event and logs it.
    pub fn record(&self, event: Event, fields: &[(&str, &dyn Display)]) {
        let fields: IndexMap<String, String> =
            fields.iter().map(|(name, value)| ((*name).to_owned(), value.to_string())).collect();
        let at = wall_ms();
        let mut state = self.lock();
        let (log, left_out) = state.budget.spend(event, at);
        if let Some(count) = left_out {
            let note =
                [("event".to_owned(), event.to_string()), ("count".to_owned(), count.to_string())];
            crate::logging::write(Event::LinesLeftOut, &note.into_iter().collect());
        }
        if log {
            crate::logging::write(event, &fields);
        }
        state.clock += 1;
        let entry = TimelineEntry {
            clock: state.clock,
            at_ms: at,
            process: self.process.to_string(),
            number: event.number(),
            event: event.to_string(),
            fields,
        };
        if state.entries.len() == KEPT {
            state.entries.pop_front();
        }
        state.entries.push_back(entry);
    }

    /// Events whose clock is higher than `clock`, oldest first.
    pub fn since(&self, clock: u64) -> Vec<TimelineEntry> {
        self.lock().entries.iter().filter(|entry| entry.clock > clock).cloned().collect()
    }

    /// Clock to send with a message.
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

    /// Advances the clock and gives it, for ids that must differ within the process.
    pub fn tick(&self) -> u64 {
        let mut state = self.lock();
        state.clock += 1;
        state.clock
    }

    /// Takes in the clock that came with a message.
    pub fn observe(&self, clock: u64) {
        let mut state = self.lock();
        state.clock = state.clock.max(clock);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wall clock in milliseconds since 1970; only shown to people, never decided on.
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

/// Sorts entries of several processes: causes before effects, then by wall clock.
///
/// # Examples
///
/// ```
/// let line = base::Timeline::new("a");
/// line.record(base::Event::Ready, &[]);
/// line.record(base::Event::Stopped, &[]);
/// let mut entries = line.since(0);
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
