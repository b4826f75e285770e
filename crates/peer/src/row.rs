//! JSON forms of the rows that several processes read and write.

use fleet::Instance;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::wire::{UnknownValueError, WireInstance};

/// Steps whose instances a budget's row names.
const RECENT: usize = 32;

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

/// Row of a customer's availability budget and open orders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRow {
    /// Pools of the instances that hold a permit, by instance.
    pub permits: IndexMap<String, String>,
    /// Operators' open orders, by instance.
    pub orders: IndexMap<String, OrderRow>,
    /// Count of the steps that changed instance rows.
    pub steps: u64,
    /// Instances of the last steps, oldest first.
    pub recent: Vec<String>,
}

impl BudgetRow {
    /// Notes a step that changes an instance's row.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut row = peer::row::BudgetRow::default();
    /// row.record_step("a");
    /// assert_eq!(row.changed_since(0), Some(&["a".to_owned()][..]));
    /// assert_eq!(row.changed_since(1), Some(&[][..]));
    /// ```
    pub fn record_step(&mut self, id: &str) {
        self.steps += 1;
        self.recent.push(id.to_owned());
        if self.recent.len() > RECENT {
            self.recent.remove(0);
        }
    }

    /// Instances changed after so many steps; none when they are no longer all noted.
    pub fn changed_since(&self, steps: u64) -> Option<&[String]> {
        let new = usize::try_from(self.steps.saturating_sub(steps)).ok()?;
        let from = self.recent.len().checked_sub(new)?;
        Some(&self.recent[from..])
    }

    /// Whether nothing is ordered and nothing is down under a permit.
    pub fn is_idle(&self) -> bool {
        self.permits.is_empty() && self.orders.is_empty()
    }
}

/// Row of a lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Process that holds it.
    pub holder: String,
    /// Epoch under which it holds it.
    pub epoch: u64,
    /// Renewals within the epoch.
    #[serde(rename = "beat")]
    pub renewals: u64,
}

impl LeaseRow {
    /// The row after a renewal.
    pub fn renewed(&self) -> Self {
        Self { renewals: self.renewals + 1, ..self.clone() }
    }

    /// Whether two rows are of one holder in one epoch.
    pub fn same_holder_and_epoch(&self, other: &Self) -> bool {
        self.holder == other.holder && self.epoch == other.epoch
    }
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

impl InstanceRow {
    /// Gives the row its domain form under the name of its instance.
    ///
    /// # Errors
    ///
    /// When the phase is none that this version knows.
    pub fn to_instance(&self, id: &str) -> Result<Instance, UnknownValueError> {
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

/// JSON text of a row.
///
/// # Examples
///
/// ```
/// use peer::row::{HeadRow, json};
/// assert_eq!(json(&HeadRow { revision: 7 }), "{\"revision\":7}");
/// ```
pub fn json(row: &impl Serialize) -> String {
    serde_json::to_string(row).unwrap_or_default()
}
