//! Control of the customers of one shard, for as long as the shard's lease is held.

pub mod probe;
pub mod step;
pub mod view;

use std::rc::Rc;
use std::time::Duration;

use peer::Facts;
use platform::HttpClient;

use crate::process::leases::{LeaseToken, shard_of};
use crate::process::metrics::Metrics;
use step::Stepper;

/// Pause between two passes over the active customers.
const CONTROL_INTERVAL: Duration = Duration::from_millis(500);

/// Controls the instances of a shard's customers while the lease is valid.
///
/// Runs until the lease task aborts it, and starts no work on a customer while the lease is
/// expired.
pub async fn run(lease: LeaseToken, facts: Facts, platform: Rc<HttpClient>, metrics: Metrics) {
    let mut stepper = Stepper::open(lease.clone(), facts.clone(), platform, metrics);
    loop {
        for customer in active_customers(&facts, lease.shard) {
            if !lease.is_valid() {
                break;
            }
            if let Err(error) = stepper.advance_customer(&customer).await {
                log::debug!("control of customer {customer} stopped early: {error}");
            }
        }
        tokio::time::sleep(CONTROL_INTERVAL).await;
    }
}

/// Returns the customers of a shard that have open orders or permits.
fn active_customers(facts: &Facts, shard: u64) -> Vec<String> {
    let state = facts.lock();
    let budgets = state.budgets.live().filter(|(_, _, budget)| !budget.is_idle());
    let customers = budgets.map(|(customer, _, _)| customer.to_owned());
    customers.filter(|customer| shard_of(customer) == shard).collect()
}
