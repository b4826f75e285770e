//! What lives as long as a lease on one customer.

pub mod probe;
pub mod step;
pub mod view;

use std::rc::Rc;
use std::time::Duration;

use peer::Facts;
use platform::Http;

use crate::process::leases::Holding;
use crate::process::metrics::Metrics;
use step::Stepper;

/// Time between two looks at a customer's instances.
const ROUND: Duration = Duration::from_millis(500);

/// Controls a customer's instances while its lease is held.
pub async fn run(holding: Holding, facts: Facts, platform: Rc<Http>, metrics: Metrics) {
    let mut stepper = Stepper::open(holding, facts, platform, metrics);
    loop {
        if stepper.holds()
            && let Err(error) = stepper.round().await
        {
            log::debug!("{error}");
        }
        tokio::time::sleep(ROUND).await;
    }
}
