//! The instance list, which lags behind the fleet.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use platform::wire::WireListedInstance;

/// Age after which an earlier state of a line is forgotten.
const HISTORY: Duration = Duration::from_secs(120);

/// States of one line, oldest first; an absent one stands for an instance off the list.
type States = Vec<(Instant, Option<WireListedInstance>)>;

/// The fleet now and as it was.
#[derive(Debug, Default)]
pub struct Instances {
    lines: IndexMap<String, States>,
}

impl Instances {
    /// Enters an instance or its new state.
    pub fn enter(&mut self, at: Instant, line: WireListedInstance) {
        self.add(at, line.id.clone(), Some(line));
    }

    /// Looks an instance up as it is now.
    pub fn find(&self, id: &str) -> Option<&WireListedInstance> {
        self.lines.get(id).and_then(|states| states.last()?.1.as_ref())
    }

    /// Takes an instance off the list.
    pub fn remove(&mut self, at: Instant, id: &str) -> bool {
        let known = self.find(id).is_some();
        if known {
            self.add(at, id.to_owned(), None);
        }
        known
    }

    /// The list of a data centre as it was `lag` ago; an empty `centre` stands for all.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// let instances = standin::instances::Instances::default();
    /// assert!(instances.list(Instant::now(), Duration::ZERO, "").is_empty());
    /// ```
    pub fn list(&self, at: Instant, lag: Duration, centre: &str) -> Vec<WireListedInstance> {
        let seen = |states: &States| {
            let state = states.iter().rev().find(|(when, _)| *when + lag <= at)?;
            let line = state.1.as_ref()?;
            (centre.is_empty() || line.centre == centre).then(|| line.clone())
        };
        self.lines.values().filter_map(seen).collect()
    }

    fn add(&mut self, at: Instant, id: String, line: Option<WireListedInstance>) {
        let states = self.lines.entry(id).or_default();
        states.push((at, line));
        while states.len() > 1 && states[1].0 + HISTORY < at {
            states.remove(0);
        }
    }
}
