//! Configuration: queues, the pools that run them, and how a request finds its queue.

use indexmap::IndexMap;

/// One version of the operator's configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Configuration {
    /// Rises with each change.
    pub version: u64,
    /// Queues by name.
    pub queues: IndexMap<String, Queue>,
    /// Pools by name.
    pub pools: IndexMap<String, Pool>,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
}

/// Where jobs of one kind wait.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Queue {
    /// Name, unchanged over versions.
    pub name: String,
    /// Host name that requests give.
    pub host: String,
    /// Beginning of the paths of its requests.
    pub prefix: String,
    /// Pool that runs its tasks.
    pub pool: String,
    /// 0 goes first.
    pub priority: u32,
    /// Runs of a task that may end as failed.
    pub max_attempts: u32,
    /// A job's objective is this many thousandths of its longest chain of work, and `target` more.
    pub stretch: u64,
    /// Fixed part of the objective, in milliseconds.
    pub objective_base: u64,
    /// Longest time that a request may take, in milliseconds.
    pub timeout: u64,
    /// Whether an adviser limits which executors may run a step.
    pub advised: bool,
}

/// Machines that run the tasks of some queues.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Pool {
    /// Name.
    pub name: String,
    /// Whether its machines are switched off until they move elsewhere.
    pub standby: bool,
    /// Whether its executors reject what does not fit.
    pub admission_check: bool,
}

impl Configuration {
    /// The queue of a request: its host and the longest prefix of its path.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::{Configuration, Queue};
    /// let queue = |name: &str, prefix: &str| Queue {
    ///     name: name.to_owned(),
    ///     host: "a.example".to_owned(),
    ///     prefix: prefix.to_owned(),
    ///     ..Queue::default()
    /// };
    /// let mut config = Configuration::default();
    /// for q in [queue("short", "/a/"), queue("long", "/a/b/")] {
    ///     config.queues.insert(q.name.clone(), q);
    /// }
    /// assert_eq!(config.find("a.example", "/a/b/0123").unwrap().name, "long");
    /// assert!(config.find("b.example", "/a/b/0123").is_none());
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        let host = host.split(':').next().unwrap_or(host);
        self.queues
            .values()
            .filter(|q| q.host.eq_ignore_ascii_case(host) && path.starts_with(&q.prefix))
            .max_by_key(|q| q.prefix.len())
    }

    /// The queue of a name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.get(name)
    }
}
