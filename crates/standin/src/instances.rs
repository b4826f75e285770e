//! Instance list of the platform stand-in, which can lag behind the fleet.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use platform::wire::WireListedInstance;

/// Time for which earlier states are kept, which limits the lag of the list.
const HISTORY_RETENTION: Duration = Duration::from_secs(120);

/// States of one instance with their times, oldest first; `None` after its removal.
type History = Vec<(Instant, Option<WireListedInstance>)>;

/// Current and earlier states of all instances.
#[derive(Debug, Default)]
pub struct Instances {
    histories: IndexMap<String, History>,
}

impl Instances {
    /// Adds an instance or its new state.
    pub fn upsert(&mut self, at: Instant, instance: WireListedInstance) {
        self.push_state(at, instance.id.clone(), Some(instance));
    }

    /// Returns the current state of an instance.
    pub fn find(&self, id: &str) -> Option<&WireListedInstance> {
        self.histories.get(id).and_then(|history| history.last()?.1.as_ref())
    }

    /// Removes an instance; returns false if there is none of this name.
    pub fn remove(&mut self, at: Instant, id: &str) -> bool {
        let listed = self.find(id).is_some();
        if listed {
            self.push_state(at, id.to_owned(), None);
        }
        listed
    }

    /// Returns the list of a data centre as it was `lag` ago; an empty `centre` means all.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// let instances = standin::instances::Instances::default();
    /// assert!(instances.list(Instant::now(), Duration::ZERO, "").is_empty());
    /// ```
    pub fn list(&self, at: Instant, lag: Duration, centre: &str) -> Vec<WireListedInstance> {
        let visible = |history: &History| {
            let state = history.iter().rev().find(|(since, _)| *since + lag <= at)?;
            let instance = state.1.as_ref()?;
            (centre.is_empty() || instance.centre == centre).then(|| instance.clone())
        };
        self.histories.values().filter_map(visible).collect()
    }

    fn push_state(&mut self, at: Instant, id: String, state: Option<WireListedInstance>) {
        let history = self.histories.entry(id).or_default();
        history.push((at, state));
        while history.len() > 1 && history[1].0 + HISTORY_RETENTION < at {
            history.remove(0);
        }
    }
}
