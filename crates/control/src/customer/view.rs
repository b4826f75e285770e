//! What is known of a customer's instances at one moment.

use fleet::{Contract, ListState, ListedInstance, Phase};
use futures_util::future::join_all;
use indexmap::IndexMap;
use peer::Facts;
use peer::reader::decode;
use peer::row::{BudgetRow, InstanceRow};
use plan::{Availability, Fleet, FleetInstance, Operation};
use platform::{Error, HttpClient, Table, keys};

use crate::customer::probe::{self, Status};

/// One instance: its row, the platform's line and its own word.
#[derive(Debug)]
pub struct Known {
    /// The platform's line.
    pub listed: ListedInstance,
    /// Row, if it was entered.
    pub row: Option<InstanceRow>,
    /// Version of the row; 0 when there is none.
    pub version: u64,
    /// What it says of itself.
    pub status: Option<Status>,
}

/// A customer's instances, budget and contract, read together.
#[derive(Debug)]
pub struct View {
    /// The contract; none once it was deleted.
    pub contract: Option<Contract>,
    /// The budget.
    pub budget: BudgetRow,
    /// Version of the budget's row.
    pub budget_version: u64,
    /// Instances by name.
    pub known: IndexMap<String, Known>,
}

impl Known {
    /// Pool it belongs to.
    pub fn pool(&self) -> &str {
        self.row.as_ref().map_or(&self.listed.pool, |row| &row.pool)
    }

    /// Phase of its row.
    pub fn phase(&self) -> Option<Phase> {
        self.row.as_ref().and_then(|row| row.phase.parse().ok())
    }

    fn up(&self) -> Availability {
        match (self.phase(), &self.status) {
            (Some(Phase::Draining | Phase::Rebooting), _) => Availability::Stopped,
            (_, Some(status)) if !status.draining && self.listed.state == ListState::Live => {
                Availability::Serving
            }
            _ => Availability::Lost,
        }
    }
}

impl View {
    /// Reads the rows of a customer and asks its instances.
    pub async fn read(
        facts: &Facts,
        platform: &HttpClient,
        client: &awc::Client,
        customer: &str,
    ) -> Result<Self, Error> {
        let contract = contract(facts, customer);
        let listed = listed(facts, customer, contract.as_ref());
        let mut asked = vec![keys::budget(customer)];
        asked.extend(listed.iter().map(|line| keys::instance(&line.id)));
        let rows = platform.read(&asked).await?;
        let statuses = listed.iter().map(|line| probe::status(client, line.address));
        let statuses = join_all(statuses).await;
        let budget = rows.first().and_then(decode::<BudgetRow>).unwrap_or_default();
        let budget_version = rows.first().map_or(0, |row| row.version);
        let mut known = IndexMap::new();
        for ((listed, row), status) in listed.into_iter().zip(rows.iter().skip(1)).zip(statuses) {
            let (id, version) = (listed.id.clone(), row.version);
            known.insert(id, Known { listed, row: decode(row), version, status });
        }
        Ok(Self { contract, budget, budget_version, known })
    }

    /// Units for the decisions.
    pub fn units(&self) -> Vec<FleetInstance> {
        let units = self.known.iter().map(|(id, known)| FleetInstance {
            id: id.clone(),
            pool: known.pool().to_owned(),
            centre: known.listed.centre.clone(),
            rack: known.listed.rack.clone(),
            availability: known.up(),
            pending: self.budget.orders.get(id).map(|order| match &order.target {
                Some(pool) if pool != known.pool() => Operation::Move(pool.clone()),
                _ => Operation::Maintenance,
            }),
        });
        units.collect()
    }

    /// Decides for every waiting instance; nothing is begun without a contract.
    pub fn choices(&self) -> Vec<plan::DrainDecision> {
        let Some(contract) = &self.contract else { return Vec::new() };
        plan::next_wave(Fleet { contract, instances: &self.units() })
    }
}

fn contract(facts: &Facts, customer: &str) -> Option<Contract> {
    let state = facts.lock();
    state.contracts.find(customer).map(|agreed| agreed.contract.clone())
}

/// Listed instances of the customer's pools, and those that its budget names.
fn listed(facts: &Facts, customer: &str, contract: Option<&Contract>) -> Vec<ListedInstance> {
    let state = facts.lock();
    let budget = state.budgets.find(customer);
    let mine = |line: &&ListedInstance| {
        let row = state.instances.find(&line.id);
        let pool = row.map_or(&line.pool, |row| &row.pool);
        let named = |budget: &BudgetRow| {
            budget.orders.contains_key(&line.id) || budget.permits.contains_key(&line.id)
        };
        contract.is_some_and(|contract| contract.service_of_pool(pool).is_some())
            || budget.is_some_and(named)
    };
    state.listed_instances().filter(mine).cloned().collect()
}
