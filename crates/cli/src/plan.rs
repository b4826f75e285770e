//! Command that shows the plan of a customer.

use base::view::PlanView;

use crate::call::{ControlClient, encode};
use crate::error::Error;
use crate::print;

/// Shows the spares, moves and steps that a contract needs, and any shortages.
pub async fn show(client: &ControlClient, customer: &str, json: bool) -> Result<(), Error> {
    let plan: PlanView = client.get(&format!("/plan/{}", encode(customer))).await?;
    if json {
        print::json(&plan);
        return Ok(());
    }
    let sharing = if plan.shared { "share their spares" } else { "hold spares of their own" };
    println!("Contract of {} at revision {}.", plan.customer, plan.revision);
    println!("To survive the loss of one {}: {} spares.", plan.survive, plan.buffer);
    println!("There are {}. The pools {sharing}, because: {}.", plan.spare, plan.reason);
    println!("A maintenance wave over all instances takes {} steps at least.", plan.steps);
    let rows: Vec<Vec<String>> = plan
        .services
        .into_iter()
        .map(|service| {
            let numbers =
                [service.instances, service.held, service.largest].map(|number| number.to_string());
            [vec![service.service, service.pool], numbers.to_vec()].concat()
        })
        .collect();
    print::table(&["SERVICE", "POOL", "INSTANCES", "HELD", "LARGEST DOMAIN"], &rows);
    for each in &plan.moves {
        println!("Move {} from {} to {}: {}.", each.id, each.from, each.to, each.reason);
    }
    plan.short.iter().for_each(|short| println!("Not met: {short}."));
    Ok(())
}
