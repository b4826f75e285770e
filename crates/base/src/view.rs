//! Bodies of the control process's responses to operators, which `jtally` prints.

use serde::{Deserialize, Serialize};

/// Response to `GET /plan/{customer}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanView {
    /// Customer whose contract is planned.
    pub customer: String,
    /// Revision of the contract on which the plan is based.
    pub revision: u64,
    /// Kind of failure domain whose loss the pools must survive.
    pub survive: String,
    /// Whether the pools share their spares.
    pub shared: bool,
    /// Reason why the spares are shared or not.
    pub reason: String,
    /// Services, in the order of the contract.
    pub services: Vec<ServiceView>,
    /// Spare instances that the plan needs, over all pools.
    pub buffer: usize,
    /// Spare instances that the pools have, over all pools.
    pub spare: usize,
    /// Minimum number of steps of a maintenance wave over all instances.
    pub steps: usize,
    /// Moves that would bring every pool to its planned size.
    pub moves: Vec<MoveView>,
    /// Shortages: services that would hold too few instances after such a loss.
    pub short: Vec<String>,
}

/// Service of a [`PlanView`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceView {
    /// Name of the service.
    pub service: String,
    /// Pool of the service.
    pub pool: String,
    /// Number of instances in the pool.
    pub instances: usize,
    /// Number of instances that the contract requires to be held.
    pub held: usize,
    /// Number of instances in the pool's largest failure domain.
    pub largest: usize,
}

/// Move of an instance in a [`PlanView`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveView {
    /// Name of the instance.
    pub id: String,
    /// Current pool of the instance.
    pub from: String,
    /// Pool after the move.
    pub to: String,
    /// Reason for the move.
    pub reason: String,
}

/// Instance in the response to `GET /fleet`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceView {
    /// Name of the instance.
    pub id: String,
    /// Data centre of the instance.
    pub centre: String,
    /// Rack of the instance.
    pub rack: String,
    /// Pool to which the instance belongs.
    pub pool: String,
    /// Customer whose contract names the pool; empty if none does.
    pub customer: String,
    /// Phase: `serving`, `draining` or `rebooting`.
    pub phase: String,
    /// State in the platform's instance list: `live` or `leaving`.
    pub listed: String,
    /// Reason for the latest change of the phase.
    pub reason: String,
}

/// Operator's order for an instance; request and response body of `PUT /orders/{instance}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderView {
    /// Pool to which the instance moves; absent for a maintenance stop.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
    /// Reason that the operator stated.
    #[serde(default)]
    pub reason: String,
}

/// Response to `GET /why/{instance}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplanationView {
    /// Name of the instance.
    pub id: String,
    /// Pool to which the instance belongs.
    pub pool: String,
    /// Phase: `serving`, `draining` or `rebooting`.
    pub phase: String,
    /// Latest decision about the instance.
    pub decision: String,
    /// Reason for the decision.
    pub reason: String,
    /// Process that made the decision; empty if there is no decision.
    pub by: String,
    /// Time of the decision, in milliseconds since 1970; 0 if there is no decision.
    pub at_ms: u64,
    /// Order that is still open.
    pub order: Option<OrderView>,
    /// Instances of the customer that have a permit to be down.
    pub permits: Vec<String>,
}

/// Contract, or one change from its history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractView {
    /// Customer of the contract.
    pub customer: String,
    /// Revision that the change created.
    pub revision: u64,
    /// YAML text; absent for a deletion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Process that committed the change; empty if the table could not be read.
    pub by: String,
    /// Time of the commit, in milliseconds since 1970; 0 if the table could not be read.
    pub at_ms: u64,
}

/// Response to a committed change of a contract.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Customer of the contract.
    pub customer: String,
    /// Revision that the change created.
    pub revision: u64,
}
