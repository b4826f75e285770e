//! Commands about instances and processes.

use base::admin::Status;
use base::view::{ExplanationView, InstanceView, OrderView};

use crate::call::{ControlClient, encode};
use crate::error::Error;
use crate::print;

/// Lists all instances.
pub async fn fleet(client: &ControlClient, json: bool) -> Result<(), Error> {
    let views: Vec<InstanceView> = client.get("/fleet").await?;
    if json {
        print::json(&views);
        return Ok(());
    }
    let rows: Vec<Vec<String>> = views
        .into_iter()
        .map(|each| {
            vec![each.id, each.customer, each.pool, each.centre, each.rack, each.phase, each.listed]
        })
        .collect();
    print::table(&["INSTANCE", "CUSTOMER", "POOL", "CENTRE", "RACK", "PHASE", "LISTED"], &rows);
    Ok(())
}

/// Explains an instance: its state, the last decision and the open order.
pub async fn why(client: &ControlClient, id: &str, json: bool) -> Result<(), Error> {
    let explanation: ExplanationView = client.get(&format!("/why/{}", encode(id))).await?;
    if json {
        print::json(&explanation);
        return Ok(());
    }
    println!("{} is {} in pool {}.", explanation.id, explanation.phase, explanation.pool);
    println!("Last decision: {}, because: {}.", explanation.decision, explanation.reason);
    if !explanation.by.is_empty() {
        println!("Decided by {} at {} ms since 1970.", explanation.by, explanation.at_ms);
    }
    match &explanation.order {
        Some(OrderView { target: Some(pool), reason }) => {
            println!("Open order: move to {pool}, because: {reason}.");
        }
        Some(order) => println!("Open order: maintenance stop, because: {}.", order.reason),
        None => println!("No open order."),
    }
    println!(
        "The customer's instances with a permit to be down: {}.",
        join_names(&explanation.permits)
    );
    Ok(())
}

fn join_names(names: &[String]) -> String {
    if names.is_empty() { "none".to_owned() } else { names.join(", ") }
}

/// Orders a maintenance stop or a move.
pub async fn order(
    client: &ControlClient,
    id: &str,
    target: Option<String>,
    reason: Option<String>,
    json: bool,
) -> Result<(), Error> {
    let order =
        OrderView { target, reason: reason.unwrap_or_else(|| "an operator's order".to_owned()) };
    let body = serde_json::to_string(&order).unwrap_or_default();
    let order: OrderView = client.put(&format!("/orders/{}", encode(id)), body).await?;
    if json {
        print::json(&order);
    } else {
        println!("the order is taken; jtally why {id} tells how far it is");
    }
    Ok(())
}

/// Shows the state of the control process and its list of other processes.
pub async fn status(client: &ControlClient, json: bool) -> Result<(), Error> {
    let status: Status = client.get("/status").await?;
    if json {
        print::json(&status);
        return Ok(());
    }
    let platform = if status.platform_unreachable { "does not answer" } else { "answers" };
    println!("{} ({}, {}): the platform {platform}.", status.name, status.role, status.centre);
    for (customer, revision) in &status.contracts {
        println!("Contract of {customer}: revision {revision} in force.");
    }
    let rows: Vec<Vec<String>> = status
        .members
        .into_iter()
        .map(|each| {
            let live = if each.live { "yes" } else { "no" };
            vec![each.name, each.role, each.centre, each.admin.to_string(), live.to_owned()]
        })
        .collect();
    print::table(&["PROCESS", "ROLE", "CENTRE", "ADMIN", "HEARD"], &rows);
    Ok(())
}
