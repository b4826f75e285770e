//! Command about a customer's plan.

use base::view::PlanView;

use crate::call::{Control, encode};
use crate::error::Error;
use crate::print;

/// Shows what a contract needs beside what is there.
pub async fn show(control: &Control, customer: &str, json: bool) -> Result<(), Error> {
    let plan: PlanView = control.get(&format!("/plan/{}", encode(customer))).await?;
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
        .map(|each| {
            let numbers =
                [each.instances, each.held, each.largest].map(|number| number.to_string());
            [vec![each.service, each.pool], numbers.to_vec()].concat()
        })
        .collect();
    print::table(&["SERVICE", "POOL", "INSTANCES", "HELD", "LARGEST DOMAIN"], &rows);
    for each in &plan.moves {
        println!("Move {} from {} to {}: {}.", each.id, each.from, each.to, each.reason);
    }
    plan.short.iter().for_each(|short| println!("Not met: {short}."));
    Ok(())
}
