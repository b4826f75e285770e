//! JSON forms of the rows that several processes read and write.

use std::net::SocketAddr;

use fleet::Instance;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::wire::{WireInstance, WireMember, WordError};

/// Row of the newest contract change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// Revision of that change.
    pub revision: u64,
}

/// Row of a contract.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractRow {
    /// Revision of the change that wrote it.
    pub revision: u64,
    /// YAML text; absent when the contract was deleted.
    pub text: Option<String>,
    /// Process that committed it.
    pub by: String,
    /// Wall clock of the commit, in milliseconds since 1970.
    pub at_ms: u64,
}

/// Row of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// Pool.
    pub pool: String,
    /// Phase by name.
    pub phase: String,
    /// Pool it moves to.
    pub target: Option<String>,
    /// Reason of the last step.
    pub reason: String,
    /// Incarnation that the last step found.
    pub incarnation: u64,
}

/// Row of a customer's availability budget.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRow {
    /// Pools of the instances that hold a permit, by instance.
    pub permits: IndexMap<String, String>,
}

/// Row of a lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Process that holds it.
    pub holder: String,
    /// Epoch under which it holds it.
    pub epoch: u64,
    /// Renewals within the epoch.
    pub beat: u64,
}

/// Row of the epoch, which changes only when the lease changes hands.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRow {
    /// The epoch.
    pub epoch: u64,
    /// Process that took the lease.
    pub holder: String,
}

/// Row of an operator's order about an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRow {
    /// Pool to move to; absent for a maintenance stop.
    pub target: Option<String>,
    /// Reason that the operator gave.
    pub reason: String,
}

/// Row of the last decision about an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionRow {
    /// What was decided.
    pub decision: String,
    /// Why.
    pub reason: String,
    /// Process that decided.
    pub by: String,
    /// Wall clock of the decision, in milliseconds since 1970.
    pub at_ms: u64,
}

/// Row of a claim on a caller's own idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Entry process that may run the request.
    pub owner: String,
    /// Its incarnation.
    pub incarnation: u64,
}

/// Row of a member.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberRow {
    /// Name of the process.
    pub name: String,
    /// Role by name.
    pub role: String,
    /// Data centre.
    pub centre: String,
    /// Time of its start.
    pub incarnation: u64,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for processes.
    pub peer: SocketAddr,
}

impl From<WireMember> for MemberRow {
    fn from(member: WireMember) -> Self {
        let WireMember { name, role, centre, incarnation, listen, admin, peer } = member;
        Self { name, role, centre, incarnation, listen, admin, peer }
    }
}

impl From<MemberRow> for WireMember {
    fn from(row: MemberRow) -> Self {
        let MemberRow { name, role, centre, incarnation, listen, admin, peer } = row;
        Self { name, role, centre, incarnation, listen, admin, peer }
    }
}

impl InstanceRow {
    /// Gives the row its domain form under the name of its instance.
    ///
    /// # Errors
    ///
    /// When the phase is none that this version knows.
    pub fn named(&self, id: &str) -> Result<Instance, WordError> {
        let wire = WireInstance {
            id: id.to_owned(),
            stamp: 0,
            pool: self.pool.clone(),
            phase: self.phase.clone(),
            target: self.target.clone(),
            reason: self.reason.clone(),
        };
        wire.try_into()
    }
}
