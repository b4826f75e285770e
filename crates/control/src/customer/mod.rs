//! What lives as long as a lease on a shard of the customers.

pub mod probe;
pub mod step;
pub mod view;

use std::rc::Rc;
use std::time::Duration;

use peer::Facts;
use platform::HttpClient;

use crate::process::leases::{Holding, shard};
use crate::process::metrics::Metrics;
use step::Stepper;

/// Time between two looks at the customers' open work.
const ROUND: Duration = Duration::from_millis(500);

/// Controls the instances of a shard's customers while its lease is held.
pub async fn run(holding: Holding, facts: Facts, platform: Rc<HttpClient>, metrics: Metrics) {
    let mut stepper = Stepper::open(holding.clone(), facts.clone(), platform, metrics);
    loop {
        for customer in busy(&facts, holding.shard) {
            if !holding.valid() {
                break;
            }
            if let Err(error) = stepper.round(&customer).await {
                log::debug!("{customer}: {error}");
            }
        }
        tokio::time::sleep(ROUND).await;
    }
}

/// Customers of a shard that have orders or instances under way.
fn busy(facts: &Facts, own: u64) -> Vec<String> {
    let state = facts.lock();
    let budgets = state.budgets.live().filter(|(_, _, budget)| !budget.is_idle());
    let customers = budgets.map(|(customer, _, _)| customer.to_owned());
    customers.filter(|customer| shard(customer) == own).collect()
}
