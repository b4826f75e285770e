//! Snapshot of a customer's contract, budget and instances.

use fleet::{Contract, ListState, ListedInstance, Phase};
use futures_util::future::join_all;
use indexmap::IndexMap;
use peer::Facts;
use peer::reader::decode;
use peer::row::{BudgetRow, InstanceRow};
use plan::{Availability, Fleet, FleetInstance, Operation};
use platform::{Error, HttpClient, Table, keys};

use crate::customer::probe::{self, Status};

/// Instance with its row, its entry in the platform's list and its own status.
#[derive(Debug)]
pub struct InstanceSnapshot {
    /// Entry in the platform's instance list.
    pub listed: ListedInstance,
    /// Row of the instance, if there is one.
    pub row: Option<InstanceRow>,
    /// Version of the row; 0 if there is none.
    pub version: u64,
    /// Status reported by the instance, if it answered.
    pub status: Option<Status>,
}

/// Contract, budget and instances of a customer, read at the start of a pass.
#[derive(Debug)]
pub struct CustomerView {
    /// Contract in force; `None` once it was deleted.
    pub contract: Option<Contract>,
    /// Availability budget and open orders.
    pub budget: BudgetRow,
    /// Version of the budget row.
    pub budget_version: u64,
    /// Instances by name.
    pub instances: IndexMap<String, InstanceSnapshot>,
}

impl InstanceSnapshot {
    /// Returns the pool in the instance's row, or in the platform's list if there is no row.
    pub fn pool(&self) -> &str {
        self.row.as_ref().map_or(&self.listed.pool, |row| &row.pool)
    }

    /// Returns the phase in the instance's row, if there is a row with a known phase.
    pub fn phase(&self) -> Option<Phase> {
        self.row.as_ref().and_then(|row| row.phase.parse().ok())
    }

    /// Returns whether the instance carries load, by its row, its status and the platform's list.
    fn availability(&self) -> Availability {
        match (self.phase(), &self.status) {
            (Some(Phase::Draining | Phase::Rebooting), _) => Availability::Stopped,
            (_, Some(status)) if !status.draining && self.listed.state == ListState::Live => {
                Availability::Serving
            }
            _ => Availability::Lost,
        }
    }
}

impl CustomerView {
    /// Reads the rows of a customer and the status of each instance.
    pub async fn read(
        facts: &Facts,
        platform: &HttpClient,
        client: &awc::Client,
        customer: &str,
    ) -> Result<Self, Error> {
        let contract = find_contract(facts, customer);
        let listed = customer_instances(facts, customer, contract.as_ref());
        let mut row_keys = vec![keys::budget(customer)];
        row_keys.extend(listed.iter().map(|entry| keys::instance(&entry.id)));
        let rows = platform.read(&row_keys).await?;
        let statuses = listed.iter().map(|entry| probe::fetch_status(client, entry.address));
        let statuses = join_all(statuses).await;
        let budget = rows.first().and_then(decode::<BudgetRow>).unwrap_or_default();
        let budget_version = rows.first().map_or(0, |row| row.version);
        let mut instances = IndexMap::new();
        for ((listed, row), status) in listed.into_iter().zip(rows.iter().skip(1)).zip(statuses) {
            let (id, version) = (listed.id.clone(), row.version);
            instances.insert(id, InstanceSnapshot { listed, row: decode(row), version, status });
        }
        Ok(Self { contract, budget, budget_version, instances })
    }

    /// Returns the instances as input for the decisions of `plan`.
    pub fn fleet_instances(&self) -> Vec<FleetInstance> {
        let instances = self.instances.iter().map(|(id, instance)| FleetInstance {
            id: id.clone(),
            pool: instance.pool().to_owned(),
            centre: instance.listed.centre.clone(),
            rack: instance.listed.rack.clone(),
            availability: instance.availability(),
            pending: self.budget.orders.get(id).map(|order| match &order.target {
                Some(pool) if pool != instance.pool() => Operation::Move(pool.clone()),
                _ => Operation::Maintenance,
            }),
        });
        instances.collect()
    }

    /// Decides for every waiting instance whether to drain it now.
    ///
    /// Without a contract, no drain is started.
    pub fn drain_decisions(&self) -> Vec<plan::DrainDecision> {
        let Some(contract) = &self.contract else { return Vec::new() };
        plan::next_step(Fleet { contract, instances: &self.fleet_instances() })
    }
}

/// Returns the contract of a customer that is in force in this process.
fn find_contract(facts: &Facts, customer: &str) -> Option<Contract> {
    let state = facts.lock();
    state.contracts.find(customer).map(|in_force| in_force.contract.clone())
}

/// Returns the listed instances of the customer's pools and those that its budget names.
fn customer_instances(
    facts: &Facts,
    customer: &str,
    contract: Option<&Contract>,
) -> Vec<ListedInstance> {
    let state = facts.lock();
    let budget = state.budgets.find(customer);
    let is_own = |entry: &&ListedInstance| {
        let row = state.instances.find(&entry.id);
        let pool = row.map_or(&entry.pool, |row| &row.pool);
        let in_budget = |budget: &BudgetRow| {
            budget.orders.contains_key(&entry.id) || budget.permits.contains_key(&entry.id)
        };
        contract.is_some_and(|contract| contract.service_of_pool(pool).is_some())
            || budget.is_some_and(in_budget)
    };
    state.listed_instances().filter(is_own).cloned().collect()
}
