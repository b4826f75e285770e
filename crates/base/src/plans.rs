//! Wire form of a customer's plan, as the control process tells it and `jtally plan` prints it.

use serde::{Deserialize, Serialize};

/// Answer to `GET /plan/{customer}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanShown {
    /// Customer.
    pub customer: String,
    /// Revision of the contract that the plan follows.
    pub revision: u64,
    /// Failure domain whose loss has to be survived.
    pub survive: String,
    /// Whether the pools share their spares.
    pub shared: bool,
    /// Why they do or do not.
    pub reason: String,
    /// Services in the order of the contract.
    pub services: Vec<ServiceShown>,
    /// Spares that the plan needs over all pools.
    pub buffer: usize,
    /// Spares that are there over all pools.
    pub spare: usize,
    /// Fewest steps of a wave over all instances.
    pub steps: usize,
    /// Moves that would bring every pool to its size.
    pub moves: Vec<MoveShown>,
    /// Promises that can't be met, if any.
    pub short: Vec<String>,
}

/// One service of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShown {
    /// Service.
    pub service: String,
    /// Pool.
    pub pool: String,
    /// Instances of the pool.
    pub instances: usize,
    /// Instances that the contract holds.
    pub held: usize,
    /// Instances in the pool's largest failure domain.
    pub largest: usize,
}

/// One move of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveShown {
    /// Instance.
    pub id: String,
    /// Pool that it would leave.
    pub from: String,
    /// Pool that it would go to.
    pub to: String,
    /// Why.
    pub reason: String,
}
