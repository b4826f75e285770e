//! The contract that an operator writes for one customer.

use std::time::Duration;

use strum::{Display, EnumString, VariantNames};

/// Everything that one customer was promised.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contract {
    /// Name of the customer.
    pub customer: String,
    /// What the customer pays for most when plans differ.
    pub weights: Weights,
    /// Largest failure domain whose loss must leave every `held` intact.
    pub survive: Domain,
    /// Instances of all services together that may be down at once.
    pub max_down: u32,
    /// Services, in the order of the file.
    pub services: Vec<Service>,
    /// Teams whose jobs run on the customer's workers.
    pub teams: Vec<Team>,
}

/// One service of a customer, served by one pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name, as callers use it in the path.
    pub name: String,
    /// Pool whose instances serve it.
    pub pool: String,
    /// Instances that must stay serving.
    pub held: u32,
    /// Instances of this service that may be down at once.
    pub max_down: u32,
    /// Which requests go first.
    pub urgency: Urgency,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Time a request may take when its caller names none.
    pub default_deadline: Duration,
    /// Requests in progress at most, over one entry process.
    pub max_in_flight: u32,
    /// Largest request or answer body, in bytes.
    pub max_body: usize,
}

/// A team and what it may use at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Processor cores its jobs may use at once.
    pub cores: u32,
    /// Accelerators its jobs may use at once.
    pub accelerators: u32,
}

/// Relative cost of the three measures; only their ratios matter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Weights {
    /// Cost of one step of roll-out time.
    pub rollout: u32,
    /// Cost of one idle spare instance.
    pub buffer: u32,
    /// Cost of one instance move.
    pub moves: u32,
}

/// A failure domain, from the smallest to the largest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Domain {
    /// No loss has to be survived.
    None,
    /// One instance.
    Instance,
    /// All instances of a rack.
    Rack,
    /// All instances of a data centre.
    DataCentre,
}

/// Order in which requests and jobs are served.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumString, VariantNames,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Urgency {
    /// Goes before everything else.
    Urgent,
    /// Can wait, within its own deadline.
    Waiting,
    /// Keeps running and is left alone.
    Monitor,
}

/// Whether a request may run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Repeat {
    /// Idempotent work, which may be retried.
    Allowed,
    /// Work that runs at most once.
    Never,
}

impl Contract {
    /// Looks a service up by its name.
    ///
    /// # Examples
    ///
    /// ```
    /// let text = "customer: stcn\ndown: 1\nservices:\n  - {name: boards, pool: p, held: 2, down: 1}\n";
    /// let contract = fleet::file::parse("stcn.yaml", text).unwrap();
    /// assert_eq!(contract.service("boards").unwrap().pool, "p");
    /// assert!(contract.service("none").is_none());
    /// ```
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Looks the service up that a pool serves.
    ///
    /// # Examples
    ///
    /// ```
    /// let text = "customer: stcn\ndown: 1\nservices:\n  - {name: boards, pool: p, held: 2, down: 1}\n";
    /// let contract = fleet::file::parse("stcn.yaml", text).unwrap();
    /// assert_eq!(contract.service_of_pool("p").unwrap().name, "boards");
    /// ```
    pub fn service_of_pool(&self, pool: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.pool == pool)
    }
}
