//! The instance list, which lags behind the fleet.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use platform::wire::WireListed;

/// Age after which a state of the list is forgotten.
const HISTORY: Duration = Duration::from_secs(120);

/// The fleet now and as it was.
#[derive(Debug, Default)]
pub struct Instances {
    now: IndexMap<String, WireListed>,
    past: VecDeque<(Instant, Vec<WireListed>)>,
}

impl Instances {
    /// Enters an instance or its new state.
    pub fn enter(&mut self, at: Instant, line: WireListed) {
        self.now.insert(line.id.clone(), line);
        self.keep(at);
    }

    /// Looks an instance up as it is now.
    pub fn find(&self, id: &str) -> Option<&WireListed> {
        self.now.get(id)
    }

    /// Takes an instance off the list.
    pub fn remove(&mut self, at: Instant, id: &str) -> bool {
        let known = self.now.shift_remove(id).is_some();
        self.keep(at);
        known
    }

    /// The list as it was `lag` ago.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// let instances = standin::instances::Instances::default();
    /// assert!(instances.list(Instant::now(), Duration::ZERO).is_empty());
    /// ```
    pub fn list(&self, at: Instant, lag: Duration) -> Vec<WireListed> {
        let seen = self.past.iter().rev().find(|(when, _)| *when + lag <= at);
        seen.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn keep(&mut self, at: Instant) {
        self.past.push_back((at, self.now.values().cloned().collect()));
        while self.past.len() > 1 && self.past[1].0 + HISTORY < at {
            self.past.pop_front();
        }
    }
}
