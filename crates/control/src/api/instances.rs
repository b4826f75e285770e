//! Instances: shown, explained, and ordered to drain or move.

use actix_web::HttpResponse;
use actix_web::web::{Data, Json, Path};
use base::Event;
use base::admin::Refusal;
use fleet::{ListState, Phase};
use peer::Facts;
use peer::reader::decode;
use peer::row::{BudgetRow, DecisionRow, InstanceRow, OrderRow};
use platform::{Http, Table, keys};
use serde::{Deserialize, Serialize};

use crate::api::writes::{LIMIT, txn, unread, unwritten};

/// One instance as operators see it.
#[derive(Debug, Serialize, Deserialize)]
struct Shown {
    id: String,
    centre: String,
    rack: String,
    pool: String,
    customer: String,
    phase: String,
    listed: String,
    reason: String,
}

/// Answer to `GET /why/{instance}`.
#[derive(Debug, Serialize, Deserialize)]
struct Why {
    id: String,
    pool: String,
    phase: String,
    decision: String,
    reason: String,
    by: String,
    at_ms: u64,
    order: Option<OrderRow>,
    /// Permits of the customer's budget, by instance.
    permits: Vec<String>,
}

/// Body of `PUT /orders/{instance}`.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    #[serde(default)]
    target: Option<String>,
    #[serde(default)]
    reason: String,
}

/// Shows all instances as this process knows them.
pub async fn fleet(facts: Data<Facts>) -> HttpResponse {
    let state = facts.lock();
    let owner = |pool: &str| {
        let mut contracts = state.contracts.live();
        contracts.find(|(_, _, agreed)| agreed.contract.served_by(pool).is_some())
    };
    let mut shown: Vec<Shown> = Vec::new();
    for (id, _, line) in state.list.live() {
        let row = state.instances.find(id);
        let pool = row.map_or(&line.pool, |row| &row.pool).clone();
        shown.push(Shown {
            id: id.to_owned(),
            centre: line.centre.clone(),
            rack: line.rack.clone(),
            customer: owner(&pool).map_or("", |(customer, _, _)| customer).to_owned(),
            pool,
            phase: row.map_or("not entered".to_owned(), |row| row.phase.to_string()),
            listed: if line.state == ListState::Live { "live" } else { "leaving" }.to_owned(),
            reason: row.map_or(String::new(), |row| row.reason.clone()),
        });
    }
    HttpResponse::Ok().json(shown)
}

/// Explains the state of an instance.
pub async fn why(facts: Data<Facts>, platform: Data<Http>, id: Path<String>) -> HttpResponse {
    if facts.lock().list.find(&id).is_none() {
        return missing(&id);
    }
    let pool = facts.lock().instances.find(&id).map(|row| row.pool.clone()).unwrap_or_default();
    let customer = customer(&facts, &pool).unwrap_or_default();
    let asked =
        [keys::instance(&id), keys::decision(&id), keys::order(&id), keys::budget(&customer)];
    let rows = match platform.read(&asked).await {
        Ok(rows) => rows,
        Err(error) => return unread(&error),
    };
    let instance = decode::<InstanceRow>(&rows[0]);
    let decision = decode::<DecisionRow>(&rows[1]).unwrap_or_else(|| DecisionRow {
        decision: "none yet".to_owned(),
        reason: "nobody asked for it to stop".to_owned(),
        by: String::new(),
        at_ms: 0,
    });
    let budget = decode::<BudgetRow>(&rows[3]).unwrap_or_default();
    HttpResponse::Ok().json(Why {
        id: id.into_inner(),
        pool: instance.as_ref().map(|row| row.pool.clone()).unwrap_or_default(),
        phase: instance.map_or("not entered".to_owned(), |row| row.phase),
        decision: decision.decision,
        reason: decision.reason,
        by: decision.by,
        at_ms: decision.at_ms,
        order: decode(&rows[2]),
        permits: budget.permits.into_keys().collect(),
    })
}

/// Orders an instance to drain for maintenance or to move to another pool.
pub async fn order(
    facts: Data<Facts>,
    platform: Data<Http>,
    id: Path<String>,
    order: Json<Order>,
) -> HttpResponse {
    let Order { target, reason } = order.into_inner();
    if let Some(refusal) = refuse(&facts, &id, target.as_deref()) {
        return refusal;
    }
    let asked = [keys::instance(&id), keys::order(&id)];
    let rows = match platform.read(&asked).await {
        Ok(rows) => rows,
        Err(error) => return unread(&error),
    };
    let row = decode::<InstanceRow>(&rows[0]);
    let busy = row.is_some_and(|row| row.phase != Phase::Serving.to_string());
    if busy || rows[1].version != 0 {
        let error = format!("instance '{id}' already has an order; jtally why {id} tells it");
        return HttpResponse::Conflict().json(Refusal::new(error));
    }
    let row = OrderRow { target, reason };
    let txn = txn(&facts, "order").expect(keys::order(&id), 0).put(keys::order(&id), json(&row));
    match platform.commit(&txn, LIMIT).await {
        Ok(_) => {
            let fields: [(&str, &dyn std::fmt::Display); 2] =
                [("instance", &id), ("reason", &row.reason)];
            facts.timeline().record(Event::OrderTaken, &fields);
            HttpResponse::Ok().json(row)
        }
        Err(error) => unwritten(&error),
    }
}

fn refuse(facts: &Facts, id: &str, target: Option<&str>) -> Option<HttpResponse> {
    if facts.lock().list.find(id).is_none() {
        return Some(missing(id));
    }
    let pool = target?;
    if customer(facts, pool).is_some() {
        return None;
    }
    let error = format!("pool '{pool}' belongs to no contract");
    Some(HttpResponse::UnprocessableEntity().json(Refusal::new(error)))
}

/// Customer that a pool belongs to.
fn customer(facts: &Facts, pool: &str) -> Option<String> {
    let state = facts.lock();
    let mut contracts = state.contracts.live();
    let found = contracts.find(|(_, _, agreed)| agreed.contract.served_by(pool).is_some());
    found.map(|(customer, _, _)| customer.to_owned())
}

fn missing(id: &str) -> HttpResponse {
    HttpResponse::NotFound().json(Refusal::new(format!("no instance '{id}' is listed")))
}

fn json(row: &impl Serialize) -> String {
    serde_json::to_string(row).unwrap_or_default()
}
