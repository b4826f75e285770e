//! Contract of a customer, written by an operator.

use std::time::Duration;

use strum::{Display, EnumString, VariantNames};

/// Guarantees and limits that are agreed with one customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contract {
    /// Name of the customer.
    pub customer: String,
    /// Relative costs by which alternative plans are compared.
    pub weights: Weights,
    /// Largest failure domain whose loss must leave `held` instances of every service.
    pub survive: Domain,
    /// Maximum number of instances of all services that may be down at once.
    pub max_down: u32,
    /// Services, in the order of the file.
    pub services: Vec<Service>,
    /// Teams whose jobs run on the customer's workers.
    pub teams: Vec<Team>,
}

/// Service of a customer, served by one pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name, as used in request paths.
    pub name: String,
    /// Pool whose instances serve the service.
    pub pool: String,
    /// Minimum number of instances that must keep serving.
    pub held: u32,
    /// Maximum number of instances of the service that may be down at once.
    pub max_down: u32,
    /// Default urgency of requests.
    pub urgency: Urgency,
    /// Default for whether a request may run more than once.
    pub repeat: Repeat,
    /// Deadline of requests whose caller sets none.
    pub default_deadline: Duration,
    /// Maximum number of requests in flight through one entry process.
    pub max_in_flight: u32,
    /// Maximum size of a request or response body, in bytes.
    pub max_body: usize,
}

/// Team and its quota.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Processor cores that the team's jobs may use at once.
    pub cores: u32,
    /// Accelerators that the team's jobs may use at once.
    pub accelerators: u32,
}

/// Relative costs of a plan; only their ratios matter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Weights {
    /// Cost of one roll-out step.
    pub rollout: u32,
    /// Cost of one idle spare instance.
    pub buffer: u32,
    /// Cost of one instance move.
    pub moves: u32,
}

/// Kind of failure domain, from the smallest to the largest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Domain {
    /// No domain, if no loss must be survived.
    None,
    /// Single instance.
    Instance,
    /// All instances of a rack.
    Rack,
    /// All instances of a data centre.
    DataCentre,
}

/// Priority class of requests and jobs; urgent ones are served first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumString, VariantNames,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Urgency {
    /// Takes precedence over all other work.
    Urgent,
    /// May be delayed until its deadline.
    Waiting,
    /// Runs continuously and is not interrupted.
    Monitor,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Repeat {
    /// The request is idempotent and may be retried.
    Allowed,
    /// The request must run at most once.
    Never,
}

impl Contract {
    /// Returns the service with this name.
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

    /// Returns the service that a pool serves.
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
