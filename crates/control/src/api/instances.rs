//! Instances: shown, explained, and ordered to drain or move.

use actix_web::HttpResponse;
use actix_web::web::{Data, Json, Path};
use base::Event;
use base::admin::ErrorBody;
use base::view::{ExplanationView, InstanceView, OrderView};
use fleet::{ListState, Phase};
use peer::Facts;
use peer::reader::decode;
use peer::row::{BudgetRow, DecisionRow, InstanceRow, OrderRow, json};
use platform::{CommitError, Http, Table, keys};

use crate::api::writes::{LIMIT, TRIES, txn, unread, unwritten};

/// Shows all instances as this process knows them.
pub async fn fleet(facts: Data<Facts>) -> HttpResponse {
    let state = facts.lock();
    let mut shown: Vec<InstanceView> = Vec::new();
    for line in state.listed() {
        let row = state.instances.find(&line.id);
        let pool = row.map_or(&line.pool, |row| &row.pool).clone();
        shown.push(InstanceView {
            id: line.id.clone(),
            centre: line.centre.clone(),
            rack: line.rack.clone(),
            customer: state.owner(&pool).unwrap_or_default().to_owned(),
            pool,
            phase: row.map_or(Phase::Serving, |row| row.phase).to_string(),
            listed: if line.state == ListState::Live { "live" } else { "leaving" }.to_owned(),
            reason: row.map_or(String::new(), |row| row.reason.clone()),
        });
    }
    HttpResponse::Ok().json(shown)
}

/// Explains the state of an instance.
pub async fn why(facts: Data<Facts>, platform: Data<Http>, id: Path<String>) -> HttpResponse {
    let Some((pool, customer)) = place(&facts, &id) else { return missing(&id) };
    let asked = [keys::instance(&id), keys::decision(&id), keys::budget(&customer)];
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
    let budget = decode::<BudgetRow>(&rows[2]).unwrap_or_default();
    let (pool, phase) = instance.map_or_else(
        || (pool, Phase::Serving.to_string()),
        |instance| (instance.pool, instance.phase),
    );
    HttpResponse::Ok().json(ExplanationView {
        order: budget.orders.get(id.as_str()).map(order_shown),
        id: id.into_inner(),
        pool,
        phase,
        decision: decision.decision,
        reason: decision.reason,
        by: decision.by,
        at_ms: decision.at_ms,
        permits: budget.permits.into_keys().collect(),
    })
}

/// Orders an instance to drain for maintenance or to move to another pool.
pub async fn order(
    facts: Data<Facts>,
    platform: Data<Http>,
    id: Path<String>,
    order: Json<OrderView>,
) -> HttpResponse {
    let OrderView { target, reason } = order.into_inner();
    let Some((_, customer)) = place(&facts, &id) else { return missing(&id) };
    if customer.is_empty() {
        return refused(format!("the pool of instance '{id}' belongs to no contract"));
    }
    if let Some(pool) = target.as_deref().filter(|pool| facts.lock().owner(pool).is_none()) {
        return refused(format!("pool '{pool}' belongs to no contract"));
    }
    let row = OrderRow { target, reason };
    for _ in 0..TRIES {
        match enter(&facts, &platform, &customer, &id, &row).await {
            Ok(true) => return taken(&facts, &id, &row),
            Ok(false) => {
                let error =
                    format!("instance '{id}' already has an order; jtally why {id} tells it");
                return HttpResponse::Conflict().json(ErrorBody::new(error));
            }
            // Another order or a step of the control process went first.
            Err(CommitError::Conflict { .. }) => {}
            Err(error) => return unwritten(&error),
        }
    }
    HttpResponse::ServiceUnavailable().json(ErrorBody::new("too many changes at once, try again"))
}

/// Writes an order into the customer's budget row; false when there is one already.
async fn enter(
    facts: &Facts,
    platform: &Http,
    customer: &str,
    id: &str,
    row: &OrderRow,
) -> Result<bool, CommitError> {
    let key = keys::budget(customer);
    let rows = platform.read(std::slice::from_ref(&key)).await;
    let rows = rows.map_err(|error| CommitError::Away { what: error.to_string() })?;
    let version = rows.first().map_or(0, |row| row.version);
    let mut budget: BudgetRow = rows.first().and_then(decode).unwrap_or_default();
    if budget.orders.contains_key(id) {
        return Ok(false);
    }
    budget.orders.insert(id.to_owned(), row.clone());
    let txn = txn(facts, "order");
    let marker = json(&txn.id);
    let txn = txn.expect(key.as_str(), version).put(key, json(&budget)).put(keys::FLEET, marker);
    platform.commit(&txn, LIMIT).await.map(|_| true)
}

fn taken(facts: &Facts, id: &str, row: &OrderRow) -> HttpResponse {
    let fields: [(&str, &dyn std::fmt::Display); 2] = [("instance", &id), ("reason", &row.reason)];
    facts.timeline().record(Event::OrderTaken, &fields);
    HttpResponse::Ok().json(order_shown(row))
}

/// Pool and customer of a listed instance; the customer is empty when no contract names the pool.
fn place(facts: &Facts, id: &str) -> Option<(String, String)> {
    let state = facts.lock();
    let row = state.instances.find(id).map(|row| row.pool.clone());
    let pool = row.or_else(|| state.line(id).map(|line| line.pool.clone()))?;
    let customer = state.owner(&pool).unwrap_or_default().to_owned();
    Some((pool, customer))
}

fn order_shown(row: &OrderRow) -> OrderView {
    OrderView { target: row.target.clone(), reason: row.reason.clone() }
}

fn refused(error: String) -> HttpResponse {
    HttpResponse::UnprocessableEntity().json(ErrorBody::new(error))
}

fn missing(id: &str) -> HttpResponse {
    HttpResponse::NotFound().json(ErrorBody::new(format!("no instance '{id}' is listed")))
}
