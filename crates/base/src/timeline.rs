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
    entries: VecDeque<Entry>,
}

/// One event on the time line, also its wire form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
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
    /// let line = base::Timeline::open("entry-1");
    /// line.record(base::Event::Ready, &[("address", &"127.0.0.1:1")]);
    /// assert_eq!(line.since(0)[0].event, "ready");
    /// ```
    pub fn open(process: &str) -> Self {
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
        crate::logging::write(event, &fields);
        let mut state = self.lock();
        state.clock += 1;
        let entry = Entry {
            clock: state.clock,
            at_ms: wall_ms(),
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
    pub fn since(&self, clock: u64) -> Vec<Entry> {
        self.lock().entries.iter().filter(|entry| entry.clock > clock).cloned().collect()
    }

    /// Clock to send with a message.
    ///
    /// # Examples
    ///
    /// ```
    /// let (a, b) = (base::Timeline::open("a"), base::Timeline::open("b"));
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
/// let line = base::Timeline::open("a");
/// line.record(base::Event::Ready, &[]);
/// line.record(base::Event::Stopped, &[]);
/// let mut entries = line.since(0);
/// entries.reverse();
/// base::timeline::sort(&mut entries);
/// assert_eq!(entries[0].event, "ready");
/// ```
pub fn sort(entries: &mut [Entry]) {
    entries.sort_by(|a, b| (a.clock, a.at_ms, &a.process).cmp(&(b.clock, b.at_ms, &b.process)));
}
