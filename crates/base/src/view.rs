//! Wire types of what the control process tells operators and `jtally` prints.

use serde::{Deserialize, Serialize};

/// Answer to `GET /plan/{customer}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanView {
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
    pub services: Vec<ServiceView>,
    /// Spares that the plan needs over all pools.
    pub buffer: usize,
    /// Spares that are there over all pools.
    pub spare: usize,
    /// Fewest steps of a wave over all instances.
    pub steps: usize,
    /// Moves that would bring every pool to its size.
    pub moves: Vec<MoveView>,
    /// Promises that can't be met, if any.
    pub short: Vec<String>,
}

/// One service of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceView {
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
pub struct MoveView {
    /// Instance.
    pub id: String,
    /// Pool that it would leave.
    pub from: String,
    /// Pool that it would go to.
    pub to: String,
    /// Why.
    pub reason: String,
}

/// One line of the answer to `GET /fleet`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceView {
    /// Name of the instance.
    pub id: String,
    /// Data centre.
    pub centre: String,
    /// Rack.
    pub rack: String,
    /// Pool.
    pub pool: String,
    /// Customer whose contract names the pool; empty when none does.
    pub customer: String,
    /// Phase by name.
    pub phase: String,
    /// State in the platform's list.
    pub listed: String,
    /// Reason of the last step.
    pub reason: String,
}

/// An operator's order about an instance, and body of `PUT /orders/{instance}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderView {
    /// Pool to move to; absent for a maintenance stop.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
    /// Reason that the operator gave.
    #[serde(default)]
    pub reason: String,
}

/// Answer to `GET /why/{instance}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplanationView {
    /// Name of the instance.
    pub id: String,
    /// Pool.
    pub pool: String,
    /// Phase by name.
    pub phase: String,
    /// Last decision about it.
    pub decision: String,
    /// Why it was taken.
    pub reason: String,
    /// Process that took it.
    pub by: String,
    /// When, in milliseconds since 1970.
    pub at_ms: u64,
    /// Open order, if any.
    pub order: Option<OrderView>,
    /// Instances of the customer with a permit to be down.
    pub permits: Vec<String>,
}

/// A contract or one change of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractView {
    /// Customer.
    pub customer: String,
    /// Revision of the change.
    pub revision: u64,
    /// YAML text; absent for a deletion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Process that committed it.
    pub by: String,
    /// When, in milliseconds since 1970.
    pub at_ms: u64,
}

/// Answer to a change that was committed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Customer.
    pub customer: String,
    /// Revision of the change.
    pub revision: u64,
}
