//! The registry of executors, as last read.
//!
//! An entry's key is the name of the executor, and tells which incarnation of it is the current one.
//! The list of machines and the rows of duties name executors, too, so that all of them are compared
//! by the incarnations that this module knows.
//!
//! Load pattern: hundreds of executors write their entries every second or two. Some restart under
//! their names, a write of an earlier incarnation may take effect after those of the next one, and
//! entries of other writers come and go among them.

use indexmap::{IndexMap, IndexSet};
use jobs::{Registration, incarnation};

use crate::ports::Machine;

/// Entries of the registry by the names of their executors, and the latest known incarnations.
#[derive(Debug, Default)]
pub struct Registry {
    entries: IndexMap<String, Registration>,
    /// Id of the latest incarnation of each executor that tells its start, by name; kept while its
    /// entry is missing or can't be read.
    latest: IndexMap<String, String>,
    /// Executors whose last entry was of an incarnation that an earlier entry had replaced.
    outdated: IndexSet<String>,
}

impl Registry {
    /// Applies an entry.
    ///
    /// An entry of an earlier incarnation is ignored unless the next one agrees with it: it may be a
    /// delayed write, and a delayed write is followed by one of the current incarnation. One without
    /// a start belongs to the latest known incarnation.
    ///
    /// # Examples
    ///
    /// ```
    /// use cells::registry::Registry;
    /// use jobs::Registration;
    /// let entry = |id: &str| Registration { id: id.to_owned(), ..Registration::default() };
    /// let mut registry = Registry::default();
    /// for id in ["i-1~200", "i-1~100", "i-1"] {
    ///     registry.insert("i-1", entry(id));
    ///     assert_eq!(registry.current("i-1"), Some("i-1~200"));
    /// }
    /// registry.insert("i-1", entry("i-1~300"));
    /// assert!(registry.is_replaced("i-1~200") && !registry.is_replaced("i-1~300"));
    /// ```
    pub fn insert(&mut self, name: &str, mut entry: Registration) {
        let latest = self.latest.get(name);
        if incarnation::start(&entry.id).is_none() {
            if let Some(latest) = latest {
                entry.id.clone_from(latest);
            }
        } else {
            let is_outdated = latest.is_some_and(|l| incarnation::is_replaced_by(&entry.id, l));
            if is_outdated && self.outdated.insert(name.to_owned()) {
                return;
            }
            self.latest.insert(name.to_owned(), entry.id.clone());
        }
        self.outdated.swap_remove(name);
        self.entries.insert(name.to_owned(), entry);
    }

    /// Removes an entry; its executor may still run.
    pub fn remove(&mut self, name: &str) {
        self.entries.swap_remove(name);
    }

    /// Removes all entries and what is known of incarnations.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns all entries.
    pub fn values(&self) -> impl Iterator<Item = &Registration> {
        self.entries.values()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the entry of an incarnation.
    pub fn get(&self, id: &str) -> Option<&Registration> {
        self.entries.get(incarnation::name(id)).filter(|entry| entry.id == id)
    }

    /// Returns the id of the current incarnation of an executor, by its name.
    ///
    /// It is the latest known one while the entry is missing; `None` if none is known.
    pub fn current(&self, name: &str) -> Option<&str> {
        let entry = self.entries.get(name).map(|entry| entry.id.as_str());
        entry.or_else(|| self.latest.get(name).map(String::as_str))
    }

    /// Whether a later incarnation of the same executor is known.
    pub fn is_replaced(&self, id: &str) -> bool {
        let latest = self.latest.get(incarnation::name(id));
        latest.is_some_and(|latest| incarnation::is_replaced_by(id, latest))
    }

    /// Sets the incarnations of the machines in a complete list, which names their executors only,
    /// and forgets those of executors that have neither a machine nor an entry.
    pub fn resolve(&mut self, machines: &mut [Machine]) {
        let entries = &self.entries;
        let listed: IndexSet<&str> = machines.iter().map(|m| m.executor.as_str()).collect();
        self.latest.retain(|name, _| listed.contains(name.as_str()) || entries.contains_key(name));
        for machine in machines {
            if let Some(id) = self.current(&machine.executor) {
                machine.executor = id.to_owned();
            }
        }
    }
}
