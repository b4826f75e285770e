//! What is known of a customer's instances at one moment.

use fleet::{Contract, ListState, Listed, Phase};
use futures_util::future::join_all;
use indexmap::IndexMap;
use peer::Facts;
use peer::reader::decode;
use peer::row::{BudgetRow, InstanceRow, OrderRow};
use plan::{Fleet, Need, Unit, Up};
use platform::{Error, Http, Row, Table, keys};

use crate::customer::probe::{self, Status};

/// One instance: its row, the platform's line and its own word.
#[derive(Debug)]
pub struct Known {
    /// The platform's line.
    pub listed: Listed,
    /// Row, if it was entered.
    pub row: Option<InstanceRow>,
    /// Version of the row; 0 when there is none.
    pub version: u64,
    /// Order of an operator.
    pub order: Option<OrderRow>,
    /// Version of the order's row.
    pub ordered: u64,
    /// What it says of itself.
    pub status: Option<Status>,
}

/// A customer's instances, budget and contract, read together.
#[derive(Debug)]
pub struct View {
    /// The contract.
    pub contract: Contract,
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

    fn up(&self) -> Up {
        match (self.phase(), &self.status) {
            (Some(Phase::Draining | Phase::Rebooting), _) => Up::Stopped,
            (_, Some(status)) if !status.draining && self.listed.state == ListState::Live => {
                Up::Serving
            }
            _ => Up::Lost,
        }
    }
}

impl View {
    /// Reads the rows of a customer and asks its instances; none without a contract.
    pub async fn read(
        facts: &Facts,
        platform: &Http,
        client: &awc::Client,
        customer: &str,
    ) -> Result<Option<Self>, Error> {
        let Some(contract) = contract(facts, customer) else { return Ok(None) };
        let listed = listed(facts);
        let rows = rows(platform, customer, &listed).await?;
        let (budget, rows) = match rows.split_first() {
            Some((budget, rows)) => (budget, rows),
            None => return Ok(None),
        };
        let mut known = IndexMap::new();
        for (listed, rows) in listed.into_iter().zip(rows.chunks(2)) {
            let (row, order) = (decode::<InstanceRow>(&rows[0]), decode::<OrderRow>(&rows[1]));
            let (version, ordered) = (rows[0].version, rows[1].version);
            let id = listed.id.clone();
            let found = Known { listed, row, version, order, ordered, status: None };
            let target = found.row.as_ref().and_then(|row| row.target.as_deref());
            let mine = |pool: &str| contract.served_by(pool).is_some();
            if mine(found.pool()) || target.is_some_and(mine) {
                known.insert(id, found);
            }
        }
        let asked = known.values().map(|found| probe::status(client, found.listed.address));
        let statuses = join_all(asked).await;
        for (found, status) in known.values_mut().zip(statuses) {
            found.status = status;
        }
        let budget_version = budget.version;
        let budget = decode(budget).unwrap_or_default();
        Ok(Some(Self { contract, budget, budget_version, known }))
    }

    /// Units for the decisions.
    pub fn units(&self) -> Vec<Unit> {
        let units = self.known.iter().map(|(id, known)| Unit {
            id: id.clone(),
            pool: known.pool().to_owned(),
            centre: known.listed.centre.clone(),
            rack: known.listed.rack.clone(),
            up: known.up(),
            need: known.order.as_ref().map(|order| match &order.target {
                Some(pool) if pool != known.pool() => Need::Move(pool.clone()),
                _ => Need::Maintain,
            }),
        });
        units.collect()
    }

    /// Decides for every waiting instance.
    pub fn choices(&self) -> Vec<plan::Choice> {
        let units = self.units();
        plan::next(Fleet { contract: &self.contract, units: &units })
    }
}

fn contract(facts: &Facts, customer: &str) -> Option<Contract> {
    let state = facts.lock();
    state.contracts.find(customer).map(|agreed| agreed.contract.clone())
}

fn listed(facts: &Facts) -> Vec<Listed> {
    let state = facts.lock();
    state.list.live().map(|(_, _, line)| line.clone()).collect()
}

/// Reads the budget's row and two rows of each listed instance.
async fn rows(platform: &Http, customer: &str, listed: &[Listed]) -> Result<Vec<Row>, Error> {
    let mut asked = vec![keys::budget(customer)];
    for line in listed {
        asked.push(keys::instance(&line.id));
        asked.push(keys::order(&line.id));
    }
    platform.read(&asked).await
}
