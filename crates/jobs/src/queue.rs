//! Configuration of queues and pools, and matching of requests to queues.

use indexmap::IndexMap;

use crate::organisation::{Credential, Denial, Organisations};

/// One version of the operator's configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Configuration {
    /// Version number; rises with each change.
    pub version: u64,
    /// Queues by name.
    pub queues: IndexMap<String, Queue>,
    /// Pools by name.
    pub pools: IndexMap<String, Pool>,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Organisations with their keys and limits; `None` if no queue needs a key.
    pub organisations: Option<Organisations>,
}

/// A queue of jobs and the rules for its jobs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Queue {
    /// Name; it stays the same over versions of the configuration.
    pub name: String,
    /// Host name of its requests.
    pub host: String,
    /// Path prefix of its requests.
    pub prefix: String,
    /// Pool that runs its tasks.
    pub pool: String,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task after which the job fails.
    pub max_attempts: u32,
    /// Part of a job's objective that grows with its critical path, in thousandths of that path.
    /// The objective is the time in which the job should be completed.
    pub stretch: u64,
    /// Fixed part of a job's objective, in milliseconds.
    pub objective_base: u64,
    /// Timeout of requests, in milliseconds.
    pub timeout: u64,
    /// Time that the adviser needs for a query, if it decides which executors may run a step.
    pub advice: Option<AdviceCost>,
    /// Whether requests need no key even if the configuration has organisations.
    pub public: bool,
}

/// Time that the adviser service needs for a query, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdviceCost {
    /// Time for each query.
    pub decision: u64,
    /// Additional time for each executor in it.
    pub period: u64,
}

impl AdviceCost {
    /// Returns the time for a query about a number of executors, in milliseconds.
    ///
    /// # Examples
    ///
    /// ```
    /// let cost = jobs::AdviceCost { decision: 200, period: 10 };
    /// assert_eq!(cost.query(8), 280);
    /// ```
    pub fn query(self, executors: usize) -> u64 {
        let executors = u64::try_from(executors).unwrap_or(u64::MAX);
        self.decision.saturating_add(self.period.saturating_mul(executors))
    }
}

/// A pool of machines, which run the tasks of its queues.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Pool {
    /// Name of the pool.
    pub name: String,
    /// Whether its machines are switched off, as a reserve for other pools.
    pub standby: bool,
    /// Whether its executors reject tasks that don't fit their free resources.
    pub admission_check: bool,
}

impl Configuration {
    /// Finds the queue of a request: the host must match, and the longest path prefix wins.
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

    /// Finds the organisation on whose behalf a request uses a queue; `None` if it needs none.
    ///
    /// A valid key counts on a public queue, too.
    ///
    /// # Errors
    ///
    /// Returns the reason if the queue needs a key and the credential is no valid one.
    pub fn authorise(&self, queue: &Queue, credential: Credential) -> Result<Option<&str>, Denial> {
        let Some(organisations) = &self.organisations else { return Ok(None) };
        match organisations.identify(credential) {
            Ok(organisation) => Ok(Some(&organisation.name)),
            Err(_) if queue.public => Ok(None),
            Err(denial) => Err(denial),
        }
    }

    /// Returns the queue with a name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.get(name)
    }
}
