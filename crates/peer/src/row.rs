//! JSON forms of the rows that several processes read and write in the platform's table.

use fleet::Instance;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::wire::{UnknownValueError, WireInstance};

/// Number of latest steps whose instances a budget row names.
///
/// A reader that is further behind has to read all instance rows.
const MAX_RECENT_STEPS: usize = 32;

/// Row with the revision of the latest contract change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// Revision of the latest change.
    pub revision: u64,
}

/// Row of a contract.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractRow {
    /// Revision of the change that wrote the row.
    pub revision: u64,
    /// YAML text; `None` if the contract was deleted.
    pub text: Option<String>,
    /// Name of the control process that committed the change.
    pub by: String,
    /// Wall-clock time of the commit, in milliseconds since 1970.
    pub at_ms: u64,
}

/// Row of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// Pool to which the instance belongs.
    pub pool: String,
    /// Name of the phase.
    pub phase: String,
    /// Target pool while the instance is being moved.
    pub target: Option<String>,
    /// Reason for the latest step.
    pub reason: String,
    /// Incarnation of the instance at the latest step.
    pub incarnation: u64,
}

/// Row of a customer's availability budget and open orders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRow {
    /// Pool of each instance that holds a permit to be down, by instance.
    pub permits: IndexMap<String, String>,
    /// Open orders of operators, by instance.
    pub orders: IndexMap<String, OrderRow>,
    /// Number of steps so far; each changes one instance row.
    pub steps: u64,
    /// Instances of the latest steps, oldest first.
    pub recent: Vec<String>,
}

impl BudgetRow {
    /// Records a step that changes the row of an instance.
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
        if self.recent.len() > MAX_RECENT_STEPS {
            self.recent.remove(0);
        }
    }

    /// Returns the instances of the steps after the first `steps` ones.
    ///
    /// Returns `None` if the row no longer names all of them.
    pub fn changed_since(&self, steps: u64) -> Option<&[String]> {
        let new = usize::try_from(self.steps.saturating_sub(steps)).ok()?;
        let from = self.recent.len().checked_sub(new)?;
        Some(&self.recent[from..])
    }

    /// Returns whether no order is open and no instance holds a permit.
    pub fn is_idle(&self) -> bool {
        self.permits.is_empty() && self.orders.is_empty()
    }
}

/// Row of a lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Name of the process that holds the lease; empty if it is free.
    pub holder: String,
    /// Epoch, which increases each time the lease is acquired.
    pub epoch: u64,
    /// Number of renewals within the epoch.
    #[serde(rename = "beat")]
    pub renewals: u64,
}

impl LeaseRow {
    /// Returns the row after a renewal.
    pub fn renewed(&self) -> Self {
        Self { renewals: self.renewals + 1, ..self.clone() }
    }

    /// Returns whether both rows have the same holder and epoch.
    pub fn same_holder_and_epoch(&self, other: &Self) -> bool {
        self.holder == other.holder && self.epoch == other.epoch
    }
}

/// Row with the epoch of a lease.
///
/// Unlike the row of the lease, it changes only when the lease is acquired, not on renewals. Writes
/// of the holder are conditional on its version, which fences earlier holders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRow {
    /// Current epoch of the lease.
    pub epoch: u64,
    /// Name of the process that acquired the lease.
    pub holder: String,
}

/// Operator's order for an instance, stored in the budget row of the customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRow {
    /// Pool to which to move the instance; `None` for a maintenance stop.
    pub target: Option<String>,
    /// Reason given by the operator.
    pub reason: String,
}

/// Row of the latest decision about an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionRow {
    /// Name of the decision, such as `drains` or `waits`.
    pub decision: String,
    /// Reason for the decision.
    pub reason: String,
    /// Name of the process that made the decision.
    pub by: String,
    /// Wall-clock time of the decision, in milliseconds since 1970.
    pub at_ms: u64,
}

/// Row of the claim on an idempotency key that a caller chose.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Name of the entry process that may run the request.
    pub owner: String,
    /// Incarnation of that process.
    pub incarnation: u64,
}

impl InstanceRow {
    /// Converts the row of the named instance to its domain form.
    ///
    /// # Errors
    ///
    /// Returns an error if this version does not know the phase.
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

/// Returns the JSON text of a row.
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
