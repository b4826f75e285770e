//! Check of a configuration before it takes effect.
//!
//! Load pattern: an operator checks one file by hand or in a pipeline, with up to some hundred queues
//! and organisations; each queue is compared with each other one.
//!
//! A configuration with findings still takes effect: no process refuses it. The findings are what
//! does not work as written, or hardly can be meant.

use serde::Serialize;
use strum::{Display, EnumDiscriminants, IntoStaticStr};

use crate::organisation::{Fault, Organisation, Organisations};
use crate::queue::{Configuration, Queue};

/// Least limit on CPU that is not taken for a wrong unit, in thousandths of a core: less than one
/// core for all tasks of an organisation is most likely a number of cores.
const MIN_CPU_LIMIT_MILLICORES: u64 = 1_000;
/// Least limit on memory that is not taken for a wrong unit, in mebibytes: so few for all tasks of an
/// organisation are most likely gibibytes.
const MIN_MEMORY_LIMIT_MIB: u64 = 128;

/// How bad a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Severity {
    /// Something never works as written.
    Error,
    /// Something works, but hardly as it is meant.
    Warning,
}

/// Something in a configuration that does not work as written, or hardly can be meant.
#[derive(Debug, Clone, PartialEq, Eq, Display, EnumDiscriminants)]
#[strum_discriminants(name(Rule), vis(pub(self)), derive(IntoStaticStr))]
#[strum_discriminants(strum(serialize_all = "kebab-case"))]
pub enum Finding {
    /// The configuration has no queues.
    #[strum(to_string = "the configuration has no queues")]
    NoQueues,
    /// Two queues or pools have the same name; the last one counts.
    #[strum(to_string = "two {kind}s are named {name}; the last one counts")]
    SharedName {
        /// `queue` or `pool`.
        kind: &'static str,
        /// Their name.
        name: String,
    },
    /// A number is negative and counts as 0.
    #[strum(to_string = "queue {queue}: {field} is negative and counts as 0")]
    NegativeNumber {
        /// Name of the queue.
        queue: String,
        /// What the number is.
        field: &'static str,
    },
    /// A queue has the same host and path prefix as a later one, which gets all requests.
    #[strum(to_string = "queue {queue} never matches: {by} has the same host and prefix")]
    ShadowedQueue {
        /// Name of the queue.
        queue: String,
        /// Name of the later queue.
        by: String,
    },
    /// The host of a queue is empty or has a port, which is cut off the host of a request.
    #[strum(to_string = "queue {queue} never matches: {host:?} is no host name without a port")]
    UnmatchableHost {
        /// Name of the queue.
        queue: String,
        /// Its host.
        host: String,
    },
    /// The path prefix of a queue does not begin with a slash, as all paths do.
    #[strum(to_string = "queue {queue} never matches: prefix {prefix:?} does not begin with /")]
    UnmatchablePrefix {
        /// Name of the queue.
        queue: String,
        /// Its prefix.
        prefix: String,
    },
    /// The pool of a queue does not exist.
    #[strum(to_string = "queue {queue}: there is no pool {pool:?}")]
    UnknownPool {
        /// Name of the queue.
        queue: String,
        /// Name of the pool.
        pool: String,
    },
    /// The pool of a queue is the standby pool, whose machines are switched off.
    #[strum(to_string = "queue {queue}: the machines of pool {pool} are switched off (standby)")]
    StandbyPool {
        /// Name of the queue.
        queue: String,
        /// Name of the pool.
        pool: String,
    },
    /// No queue uses a pool.
    #[strum(to_string = "pool {0}: no queue uses it")]
    UnusedPool(String),
    /// A public queue takes a part of the paths of one that needs a key.
    #[strum(
        to_string = "queue {private}: paths below {prefix} need no key, as they match the public queue {public}"
    )]
    HiddenByPublic {
        /// Name of the queue that needs a key.
        private: String,
        /// Name of the public queue.
        public: String,
        /// Path prefix of the public queue.
        prefix: String,
    },
    /// A queue needs a key, and there are no keys.
    #[strum(to_string = "queue {0}: nobody can use it, as no organisation has a key")]
    ClosedQueue(String),
    /// A queue permits no attempts.
    #[strum(to_string = "queue {0}: the maximum number of attempts is 0 and counts as 1")]
    NoAttempts(String),
    /// A job of the queue has no time to end.
    #[strum(to_string = "queue {0}: the objective of its jobs is 0")]
    NoObjective(String),
    /// The objective of each job is shorter than its critical path.
    #[strum(
        to_string = "queue {queue}: no job can meet its objective, {stretch} thousandths of its critical path"
    )]
    ShortObjective {
        /// Name of the queue.
        queue: String,
        /// Objective in thousandths of the critical path.
        stretch: u64,
    },
    /// Requests to a queue time out at once.
    #[strum(to_string = "queue {0}: the timeout of its requests is 0, so that all time out")]
    NoTimeout(String),
    /// Request bodies must be empty.
    #[strum(to_string = "the largest body of a request is 0 bytes, so that no job is accepted")]
    NoBody,
    /// A fault of the organisations, as a process logs it.
    #[strum(to_string = "{0}")]
    Organisation(Fault),
    /// An organisation has no key that counts for it.
    #[strum(to_string = "organisation {0}: no key counts for it")]
    NoKeys(String),
    /// An organisation has no share of the capacity.
    #[strum(
        to_string = "organisation {0}: its weight is 0, so that it has no share while capacity is short"
    )]
    NoWeight(String),
    /// A limit is so small that its unit is most likely wrong.
    #[strum(
        to_string = "organisation {organisation}: {amount} {unit} is less than most tasks need"
    )]
    TinyLimit {
        /// Name of the organisation.
        organisation: String,
        /// Limit.
        amount: u64,
        /// What the limit counts.
        unit: &'static str,
    },
    /// A version does not supersede the one in force.
    #[strum(to_string = "version {version} is not higher than {in_force}, the one in force")]
    OldVersion {
        /// Version of the configuration.
        version: u64,
        /// Version in force.
        in_force: u64,
    },
}

impl Finding {
    /// How bad the finding is.
    pub fn severity(&self) -> Severity {
        match self {
            Self::UnusedPool(_)
            | Self::HiddenByPublic { .. }
            | Self::NoAttempts(_)
            | Self::NegativeNumber { .. }
            | Self::NoWeight(_)
            | Self::TinyLimit { .. } => Severity::Warning,
            _ => Severity::Error,
        }
    }

    /// Name of the rule that the configuration breaks, for programs.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::lint::Finding;
    /// assert_eq!(Finding::UnusedPool("p".to_owned()).rule(), "unused-pool");
    /// ```
    pub fn rule(&self) -> &'static str {
        Rule::from(self).into()
    }
}

/// Checks a configuration.
///
/// # Examples
///
/// ```
/// use jobs::lint::{self, Finding};
/// use jobs::Configuration;
/// let config = Configuration { max_body_bytes: 1, ..Configuration::default() };
/// assert_eq!(lint::check(&config), [Finding::NoQueues]);
/// ```
pub fn check(config: &Configuration) -> Vec<Finding> {
    let mut findings = Vec::new();
    if config.queues.is_empty() {
        findings.push(Finding::NoQueues);
    }
    if config.max_body_bytes == 0 {
        findings.push(Finding::NoBody);
    }
    for (position, queue) in config.queues.values().enumerate() {
        check_match(config, position, queue, &mut findings);
        check_pool(config, queue, &mut findings);
        check_bounds(queue, &mut findings);
    }
    for pool in config.pools.values().filter(|pool| !pool.standby) {
        if !config.queues.values().any(|queue| queue.pool == pool.name) {
            findings.push(Finding::UnusedPool(pool.name.clone()));
        }
    }
    if let Some(organisations) = &config.organisations {
        check_access(config, organisations, &mut findings);
        findings.extend(organisations.faults().iter().cloned().map(Finding::Organisation));
        for organisation in organisations.iter() {
            check_organisation(organisations, organisation, &mut findings);
        }
    }
    findings
}

/// Checks whether requests can match a queue.
fn check_match(
    config: &Configuration,
    position: usize,
    queue: &Queue,
    findings: &mut Vec<Finding>,
) {
    if queue.host.is_empty() || queue.host.contains(':') {
        findings
            .push(Finding::UnmatchableHost { queue: queue.name.clone(), host: queue.host.clone() });
    }
    if !queue.prefix.is_empty() && !queue.prefix.starts_with('/') {
        findings.push(Finding::UnmatchablePrefix {
            queue: queue.name.clone(),
            prefix: queue.prefix.clone(),
        });
    }
    // Of equal prefixes, a request matches the last one.
    let mut later = config.queues.values().skip(position + 1);
    if let Some(other) = later.rfind(|q| has_host_of(q, queue) && q.prefix == queue.prefix) {
        findings.push(Finding::ShadowedQueue { queue: queue.name.clone(), by: other.name.clone() });
    }
}

/// Whether two queues have the same host.
fn has_host_of(queue: &Queue, other: &Queue) -> bool {
    queue.host.eq_ignore_ascii_case(&other.host)
}

/// Checks whether a queue has machines to run its tasks.
fn check_pool(config: &Configuration, queue: &Queue, findings: &mut Vec<Finding>) {
    let (name, pool) = (queue.name.clone(), queue.pool.clone());
    match config.pools.get(&queue.pool) {
        None => findings.push(Finding::UnknownPool { queue: name, pool }),
        Some(found) if found.standby => findings.push(Finding::StandbyPool { queue: name, pool }),
        Some(_) => {}
    }
}

/// Checks the attempts, objective and timeout of a queue.
fn check_bounds(queue: &Queue, findings: &mut Vec<Finding>) {
    let name = || queue.name.clone();
    if queue.max_attempts == 0 {
        findings.push(Finding::NoAttempts(name()));
    }
    match (queue.stretch, queue.objective_base) {
        (0, 0) => findings.push(Finding::NoObjective(name())),
        (stretch @ ..1_000, 0) => {
            findings.push(Finding::ShortObjective { queue: name(), stretch });
        }
        _ => {}
    }
    if queue.timeout == 0 {
        findings.push(Finding::NoTimeout(name()));
    }
}

/// Checks which queues can be used with and without a key.
fn check_access(
    config: &Configuration,
    organisations: &Organisations,
    findings: &mut Vec<Finding>,
) {
    for private in config.queues.values().filter(|queue| !queue.public) {
        if organisations.keys().next().is_none() {
            findings.push(Finding::ClosedQueue(private.name.clone()));
        }
        let hides = |public: &&Queue| {
            public.public
                && has_host_of(public, private)
                && public.prefix.len() > private.prefix.len()
                && public.prefix.starts_with(&private.prefix)
        };
        findings.extend(config.queues.values().filter(hides).map(|public| {
            Finding::HiddenByPublic {
                private: private.name.clone(),
                public: public.name.clone(),
                prefix: public.prefix.clone(),
            }
        }));
    }
}

/// Checks the keys, weight and limits of an organisation.
fn check_organisation(
    organisations: &Organisations,
    organisation: &Organisation,
    findings: &mut Vec<Finding>,
) {
    let name = &organisation.name;
    if !organisations.keys().any(|(_, owner)| owner == name) {
        findings.push(Finding::NoKeys(name.clone()));
    }
    if organisation.weight == 0 {
        findings.push(Finding::NoWeight(name.clone()));
    }
    let limit = organisation.limit;
    let limits = [
        (limit.cpu, MIN_CPU_LIMIT_MILLICORES, "thousandths of a core"),
        (limit.memory, MIN_MEMORY_LIMIT_MIB, "MiB of memory"),
    ];
    for (amount, least, unit) in limits {
        if amount > 0 && amount < least {
            findings.push(Finding::TinyLimit { organisation: name.clone(), amount, unit });
        }
    }
}
