//! Organisations: whose keys open which queues, and what each organisation may use.
//!
//! A configuration without organisations needs no keys. With them, a request for a queue that is not
//! public needs the key of an organisation.

use std::fmt;

use indexmap::IndexMap;
use sha2::{Digest, Sha256};
use strum::Display;

use crate::job::Job;
use crate::place::required_resources;
use crate::worker::Resources;

/// Number of digest bytes that logs show; enough to tell the keys of a deployment apart.
const SHOWN_DIGEST_BYTES: usize = 4;

/// Organisation whose members submit jobs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Organisation {
    /// Name; it stays the same over versions of the configuration.
    pub name: String,
    /// Share of the capacity while it is short, in thousandths of a job per second.
    pub weight: u64,
    /// Most resources that its running tasks may use over all pools; 0 for no limit.
    pub limit: Resources,
}

impl Organisation {
    /// Whether the limit allows each task of a job, if nothing else of the organisation runs.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::{Job, Organisation, Resources, Step};
    /// let limit = Resources { cpu: 4_000, ..Resources::default() };
    /// let organisation = Organisation { limit, ..Organisation::default() };
    /// let job = |cpu| {
    ///     let resources = Resources { cpu, memory: 100, gpus: 0 };
    ///     Job { steps: vec![Step { resources, ..Step::default() }], ..Job::default() }
    /// };
    /// assert!(organisation.allows_tasks_of(&job(4_000)));
    /// assert!(!organisation.allows_tasks_of(&job(4_001)));
    /// ```
    pub fn allows_tasks_of(&self, job: &Job) -> bool {
        let within = |need: u64, limit: u64| limit == 0 || need <= limit;
        job.steps.iter().map(required_resources).all(|need| {
            within(need.cpu, self.limit.cpu)
                && within(need.memory, self.limit.memory)
                && within(need.gpus, self.limit.gpus)
        })
    }
}

/// SHA-256 digest of an organisation's key.
///
/// The product keeps and logs digests only, so that a log line or a memory dump opens no queue.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digests a key.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::organisation::KeyDigest;
    /// let digest = KeyDigest::of("a secret");
    /// assert_eq!(digest, KeyDigest::of("a secret"));
    /// assert_eq!(digest.to_string().len(), 8);
    /// ```
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..SHOWN_DIGEST_BYTES].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

/// What a request presents to open a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Credential {
    /// No key.
    Missing,
    /// Something that is not a key.
    Malformed,
    /// A key.
    Key(KeyDigest),
}

/// Why a request may not use a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Denial {
    /// The request has no key.
    #[strum(to_string = "the queue needs a key")]
    Missing,
    /// The request's credential has another form than a key.
    #[strum(to_string = "the credential is not a key")]
    Malformed,
    /// No organisation has the key.
    #[strum(to_string = "the key is not valid")]
    Unknown,
}

/// A fault of the configuration that does not keep it from taking effect.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Fault {
    /// Two organisations have the same key; it counts for the one listed first.
    #[strum(to_string = "key {digest} of {ignored} already belongs to {kept}")]
    SharedKey {
        /// Digest of the key.
        digest: KeyDigest,
        /// Organisation that the key counts for.
        kept: String,
        /// Organisation that is listed later.
        ignored: String,
    },
    /// An organisation has an empty key, which matches no request.
    #[strum(to_string = "{0} has an empty key")]
    EmptyKey(String),
    /// Two organisations have the same name; the first is kept, with the keys of both.
    #[strum(to_string = "two organisations are named {0}")]
    SharedName(String),
    /// An organisation has a negative weight or limit, which counts as none.
    #[strum(to_string = "{0} has a negative weight or limit")]
    Negative(String),
}

/// Organisations of a configuration, and their keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Organisations {
    by_name: IndexMap<String, Organisation>,
    /// Names of the organisations by the digests of their keys.
    keys: IndexMap<KeyDigest, String>,
    faults: Vec<Fault>,
}

impl Organisations {
    /// Adds an organisation with its keys.
    ///
    /// # Examples
    ///
    /// ```
    /// use jobs::organisation::{Credential, Denial, KeyDigest, Organisation, Organisations};
    /// let mut all = Organisations::default();
    /// all.add(Organisation { name: "a".to_owned(), ..Organisation::default() }, &["key"]);
    /// let credential = Credential::Key(KeyDigest::of("key"));
    /// assert_eq!(all.identify(credential).unwrap().name, "a");
    /// assert_eq!(all.identify(Credential::Missing), Err(Denial::Missing));
    /// ```
    pub fn add(&mut self, organisation: Organisation, keys: &[impl AsRef<str>]) {
        let name = organisation.name.clone();
        for key in keys.iter().map(AsRef::as_ref) {
            if key.is_empty() {
                self.faults.push(Fault::EmptyKey(name.clone()));
                continue;
            }
            let digest = KeyDigest::of(key);
            match self.keys.get(&digest) {
                Some(kept) if *kept != name => self.faults.push(Fault::SharedKey {
                    digest,
                    kept: kept.clone(),
                    ignored: name.clone(),
                }),
                Some(_) => {}
                None => {
                    self.keys.insert(digest, name.clone());
                }
            }
        }
        if self.by_name.contains_key(&name) {
            self.faults.push(Fault::SharedName(name));
        } else {
            self.by_name.insert(name, organisation);
        }
    }

    /// Records a fault found while the configuration was read.
    pub fn add_fault(&mut self, fault: Fault) {
        self.faults.push(fault);
    }

    /// Faults of the configuration, for the log.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }

    /// Finds the organisation that a credential belongs to.
    ///
    /// # Errors
    ///
    /// Returns the reason to tell the client if the credential belongs to none.
    pub fn identify(&self, credential: Credential) -> Result<&Organisation, Denial> {
        match credential {
            Credential::Missing => Err(Denial::Missing),
            Credential::Malformed => Err(Denial::Malformed),
            Credential::Key(digest) => self
                .keys
                .get(&digest)
                .and_then(|name| self.by_name.get(name))
                .ok_or(Denial::Unknown),
        }
    }

    /// Returns the organisation with a name.
    pub fn get(&self, name: &str) -> Option<&Organisation> {
        self.by_name.get(name)
    }

    /// Returns the digests of all keys, with the names of the organisations that they count for.
    pub fn keys(&self) -> impl Iterator<Item = (KeyDigest, &str)> {
        self.keys.iter().map(|(digest, name)| (*digest, name.as_str()))
    }

    /// Returns all organisations, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Organisation> {
        self.by_name.values()
    }
}
