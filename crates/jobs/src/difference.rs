//! Differences between two versions of a configuration.
//!
//! Load pattern: as for [`crate::lint`], one comparison by hand or in a pipeline; each entry is found
//! by its name.

use std::fmt;

use indexmap::IndexMap;
use serde::Serialize;
use strum::Display;

use crate::lint::Finding;
use crate::organisation::{KeyDigest, Organisation, Organisations};
use crate::queue::{Configuration, Pool, Queue};

/// What happened to an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Change {
    /// Only the new version has it.
    Added,
    /// Only the old version has it.
    Removed,
    /// It differs.
    Changed,
}

/// A difference between two versions of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// What happened.
    pub change: Change,
    /// `queue`, `pool`, `organisation`, `keys` or `configuration`.
    pub entry: &'static str,
    /// Name of the entry; of the organisation for keys.
    pub name: String,
    /// What is different; empty for an entry that was added or removed.
    pub details: Vec<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.change, self.entry)?;
        if !self.name.is_empty() {
            write!(f, " {}", self.name)?;
        }
        if !self.details.is_empty() {
            write!(f, ": {}", self.details.join(", "))?;
        }
        Ok(())
    }
}

/// Finding about the version numbers, if `new` does not supersede `old`.
///
/// # Examples
///
/// ```
/// use jobs::{Configuration, difference};
/// let version = |version| Configuration { version, ..Configuration::default() };
/// assert_eq!(difference::check_version(&version(1), &version(2)), None);
/// assert!(difference::check_version(&version(2), &version(2)).is_some());
/// ```
pub fn check_version(old: &Configuration, new: &Configuration) -> Option<Finding> {
    let (version, in_force) = (new.version, old.version);
    (version <= in_force).then_some(Finding::OldVersion { version, in_force })
}

/// Compares a configuration with an earlier version.
///
/// # Examples
///
/// ```
/// use jobs::{Configuration, Pool, difference};
/// let old = Configuration::default();
/// let mut new = old.clone();
/// new.pools.insert("p".to_owned(), Pool { name: "p".to_owned(), ..Pool::default() });
/// assert_eq!(difference::compare(&old, &new)[0].to_string(), "added pool p");
/// ```
pub fn compare(old: &Configuration, new: &Configuration) -> Vec<Difference> {
    let mut all = Vec::new();
    compare_entries("queue", &old.queues, &new.queues, queue_details, &mut all);
    compare_entries("pool", &old.pools, &new.pools, pool_details, &mut all);
    let none = Organisations::default();
    let (before, after) = (&old.organisations, &new.organisations);
    let mut details = Vec::new();
    detail(&mut details, "largest body in bytes", &old.max_body_bytes, &new.max_body_bytes);
    let needed = |organisations: &Option<_>| if organisations.is_some() { "yes" } else { "no" };
    detail(&mut details, "keys needed", &needed(before), &needed(after));
    if !details.is_empty() {
        all.push(changed("configuration", "", details));
    }
    let (before, after) = (before.as_ref().unwrap_or(&none), after.as_ref().unwrap_or(&none));
    let by_name = |all: &Organisations| -> IndexMap<String, Organisation> {
        all.iter().map(|each| (each.name.clone(), each.clone())).collect()
    };
    let (names_before, names_after) = (by_name(before), by_name(after));
    compare_entries("organisation", &names_before, &names_after, organisation_details, &mut all);
    compare_keys(before, after, &mut all);
    all
}

fn changed(entry: &'static str, name: &str, details: Vec<String>) -> Difference {
    Difference { change: Change::Changed, entry, name: name.to_owned(), details }
}

/// Compares entries of one kind by their names.
fn compare_entries<T>(
    entry: &'static str,
    old: &IndexMap<String, T>,
    new: &IndexMap<String, T>,
    details: fn(&T, &T) -> Vec<String>,
    all: &mut Vec<Difference>,
) {
    let missing = |change, name: &String| Difference {
        change,
        entry,
        name: name.clone(),
        details: Vec::new(),
    };
    for (name, value) in new {
        match old.get(name).map(|before| details(before, value)) {
            None => all.push(missing(Change::Added, name)),
            Some(details) if details.is_empty() => {}
            Some(details) => all.push(changed(entry, name, details)),
        }
    }
    let removed = old.keys().filter(|name| !new.contains_key(*name));
    all.extend(removed.map(|name| missing(Change::Removed, name)));
}

/// Adds a field to the details if its values differ.
fn detail<T: PartialEq + fmt::Display>(details: &mut Vec<String>, field: &str, old: &T, new: &T) {
    if old != new {
        details.push(format!("{field} {old} -> {new}"));
    }
}

fn queue_details(old: &Queue, new: &Queue) -> Vec<String> {
    let mut details = Vec::new();
    let all = &mut details;
    detail(all, "host", &old.host, &new.host);
    detail(all, "prefix", &old.prefix, &new.prefix);
    detail(all, "pool", &old.pool, &new.pool);
    detail(all, "priority", &old.priority, &new.priority);
    detail(all, "maximum attempts", &old.max_attempts, &new.max_attempts);
    detail(all, "stretch in thousandths", &old.stretch, &new.stretch);
    detail(all, "fixed objective in ms", &old.objective_base, &new.objective_base);
    detail(all, "timeout in ms", &old.timeout, &new.timeout);
    detail(all, "advised", &old.advice.is_some(), &new.advice.is_some());
    let (old_cost, new_cost) = (old.advice.unwrap_or_default(), new.advice.unwrap_or_default());
    detail(all, "advice in ms", &old_cost.decision, &new_cost.decision);
    detail(all, "advice on each executor in ms", &old_cost.period, &new_cost.period);
    detail(all, "public", &old.public, &new.public);
    details
}

fn pool_details(old: &Pool, new: &Pool) -> Vec<String> {
    let mut details = Vec::new();
    detail(&mut details, "standby", &old.standby, &new.standby);
    detail(&mut details, "admission check", &old.admission_check, &new.admission_check);
    details
}

fn organisation_details(old: &Organisation, new: &Organisation) -> Vec<String> {
    let mut details = Vec::new();
    let all = &mut details;
    let (before, after) = (old.limit, new.limit);
    detail(all, "weight in thousandths of a job per second", &old.weight, &new.weight);
    detail(all, "limit in thousandths of a core", &before.cpu, &after.cpu);
    detail(all, "limit in MiB", &before.memory, &after.memory);
    detail(all, "limit in accelerators", &before.gpus, &after.gpus);
    details
}

/// Compares the keys of each organisation by their digests.
fn compare_keys(old: &Organisations, new: &Organisations, all: &mut Vec<Difference>) {
    let mut names: Vec<&str> = new.iter().chain(old.iter()).map(|o| o.name.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    for name in names {
        // Keys of `from` that `to` does not have for the organisation.
        let missing = |from: &Organisations, to: &Organisations| -> Vec<KeyDigest> {
            let lacks = |key: &KeyDigest| !to.keys().any(|(k, owner)| k == *key && owner == name);
            from.keys().filter(|(_, owner)| *owner == name).map(|(k, _)| k).filter(lacks).collect()
        };
        let describe = |keys: &[KeyDigest], what: &str| {
            let digests: Vec<String> = keys.iter().map(ToString::to_string).collect();
            format!("{} {what} ({})", keys.len(), digests.join(" "))
        };
        let (added, withdrawn) = (missing(new, old), missing(old, new));
        let mut details = Vec::new();
        if !added.is_empty() {
            details.push(describe(&added, "added"));
        }
        if !withdrawn.is_empty() {
            details.push(describe(&withdrawn, "withdrawn"));
        }
        if !details.is_empty() {
            all.push(changed("keys", name, details));
        }
    }
}
