//! Requests about instances: lists, explanations and orders to drain or move.

use actix_web::HttpResponse;
use actix_web::web::{Data, Json, Path};
use base::Event;
use base::admin::ErrorBody;
use base::view::{ExplanationView, InstanceView, OrderView};
use fleet::{ListState, Phase};
use peer::Facts;
use peer::reader::decode;
use peer::row::{BudgetRow, DecisionRow, InstanceRow, OrderRow, json};
use platform::{CommitError, HttpClient, Table, keys};

use crate::api::writes::{
    MAX_WRITE_ATTEMPTS, WRITE_TIMEOUT, commit_error_response, new_txn, read_error_response,
};

/// Shows all instances in this process's copy of the rows and lists.
pub async fn fleet(facts: Data<Facts>) -> HttpResponse {
    let state = facts.lock();
    let mut views: Vec<InstanceView> = Vec::new();
    for entry in state.listed_instances() {
        let row = state.instances.find(&entry.id);
        let pool = row.map_or(&entry.pool, |row| &row.pool).clone();
        views.push(InstanceView {
            id: entry.id.clone(),
            centre: entry.centre.clone(),
            rack: entry.rack.clone(),
            customer: state.customer_of_pool(&pool).unwrap_or_default().to_owned(),
            pool,
            phase: row.map_or(Phase::Serving, |row| row.phase).to_string(),
            listed: if entry.state == ListState::Live { "live" } else { "leaving" }.to_owned(),
            reason: row.map_or(String::new(), |row| row.reason.clone()),
        });
    }
    HttpResponse::Ok().json(views)
}

/// Explains the state of an instance: its phase, the last decision and any open order.
pub async fn why(facts: Data<Facts>, platform: Data<HttpClient>, id: Path<String>) -> HttpResponse {
    let Some((pool, customer)) = pool_and_customer(&facts, &id) else {
        return unknown_instance(&id);
    };
    let row_keys = [keys::instance(&id), keys::decision(&id), keys::budget(&customer)];
    let rows = match platform.read(&row_keys).await {
        Ok(rows) => rows,
        Err(error) => return read_error_response(&error),
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
        order: budget.orders.get(id.as_str()).map(order_view),
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

/// Records an order to drain an instance for maintenance or to move it to another pool.
pub async fn order(
    facts: Data<Facts>,
    platform: Data<HttpClient>,
    id: Path<String>,
    order: Json<OrderView>,
) -> HttpResponse {
    let OrderView { target, reason } = order.into_inner();
    let Some((_, customer)) = pool_and_customer(&facts, &id) else {
        return unknown_instance(&id);
    };
    if customer.is_empty() {
        return invalid_order(format!("the pool of instance '{id}' belongs to no contract"));
    }
    if let Some(pool) =
        target.as_deref().filter(|pool| facts.lock().customer_of_pool(pool).is_none())
    {
        return invalid_order(format!("pool '{pool}' belongs to no contract"));
    }
    let row = OrderRow { target, reason };
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match write_order(&facts, &platform, &customer, &id, &row).await {
            Ok(true) => return accepted_response(&facts, &id, &row),
            Ok(false) => {
                let error =
                    format!("instance '{id}' already has an order; jtally why {id} tells it");
                return HttpResponse::Conflict().json(ErrorBody::new(error));
            }
            // Another order or a step of a control process changed the row: read it again.
            Err(CommitError::Conflict { .. }) => {}
            Err(error) => return commit_error_response(&error),
        }
    }
    HttpResponse::ServiceUnavailable().json(ErrorBody::new("too many changes at once, try again"))
}

/// Writes an order into the customer's budget row.
///
/// Returns false if the instance already has an order.
async fn write_order(
    facts: &Facts,
    platform: &HttpClient,
    customer: &str,
    id: &str,
    row: &OrderRow,
) -> Result<bool, CommitError> {
    let key = keys::budget(customer);
    let rows = platform.read(std::slice::from_ref(&key)).await;
    let rows = rows.map_err(|error| CommitError::Unavailable { detail: error.to_string() })?;
    let version = rows.first().map_or(0, |row| row.version);
    let mut budget: BudgetRow = rows.first().and_then(decode).unwrap_or_default();
    if budget.orders.contains_key(id) {
        return Ok(false);
    }
    budget.orders.insert(id.to_owned(), row.clone());
    let txn = new_txn(facts, "order");
    let marker = json(&txn.id);
    let txn = txn.expect(key.as_str(), version).put(key, json(&budget)).put(keys::FLEET, marker);
    platform.commit(&txn, WRITE_TIMEOUT).await.map(|_| true)
}

/// Records an accepted order and returns its response.
fn accepted_response(facts: &Facts, id: &str, row: &OrderRow) -> HttpResponse {
    let fields: [(&str, &dyn std::fmt::Display); 2] = [("instance", &id), ("reason", &row.reason)];
    facts.timeline().record(Event::OrderTaken, &fields);
    HttpResponse::Ok().json(order_view(row))
}

/// Returns the pool and the customer of a listed instance.
///
/// The customer is empty if no contract names the pool.
fn pool_and_customer(facts: &Facts, id: &str) -> Option<(String, String)> {
    let state = facts.lock();
    let row = state.instances.find(id).map(|row| row.pool.clone());
    let pool = row.or_else(|| state.listed_instance(id).map(|entry| entry.pool.clone()))?;
    let customer = state.customer_of_pool(&pool).unwrap_or_default().to_owned();
    Some((pool, customer))
}

/// Converts the row of an order for an operator.
fn order_view(row: &OrderRow) -> OrderView {
    OrderView { target: row.target.clone(), reason: row.reason.clone() }
}

/// Returns the response for an order that names no valid pool.
fn invalid_order(error: String) -> HttpResponse {
    HttpResponse::UnprocessableEntity().json(ErrorBody::new(error))
}

/// Returns the response for an instance that is not listed.
fn unknown_instance(id: &str) -> HttpResponse {
    HttpResponse::NotFound().json(ErrorBody::new(format!("no instance '{id}' is listed")))
}
