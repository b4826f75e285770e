//! Requests about contracts. A change names the revision on which it is based.

use actix_web::web::{Data, Path, Query};
use actix_web::{HttpResponse, web};
use base::Event;
use base::admin::ErrorBody;
use base::view::{Accepted, ContractView};
use peer::Facts;
use peer::reader::decode;
use peer::row::{ContractRow, HeadRow, json};
use platform::{CommitError, HttpClient, Row, Table, keys};
use serde::Deserialize;

use crate::api::plans;
use crate::api::writes::{
    MAX_WRITE_ATTEMPTS, WRITE_TIMEOUT, commit_error_response, new_txn, read_error_response,
};

/// Query parameters of a contract change.
#[derive(Debug, Deserialize)]
pub struct ChangeQuery {
    /// Revision on which the change is based; 0 for a new contract.
    #[serde(default)]
    base: u64,
    /// Whether to apply the contract before all instances that it needs are there.
    #[serde(default)]
    ahead: bool,
    /// File name to show in error messages.
    #[serde(default)]
    file: String,
}

/// Lists the contracts in force in this process, with their revisions.
pub async fn list(facts: Data<Facts>) -> HttpResponse {
    HttpResponse::Ok().json(facts.status().contracts)
}

/// Shows a contract from the table.
///
/// If the table can't be read, shows the contract that is in force in this process.
pub async fn show(
    facts: Data<Facts>,
    platform: Data<HttpClient>,
    customer: Path<String>,
) -> HttpResponse {
    let customer = customer.into_inner();
    if let Ok(rows) = platform.read(&[keys::contract(&customer)]).await {
        return match rows.first().and_then(decode::<ContractRow>) {
            Some(row) if row.text.is_some() => {
                HttpResponse::Ok().json(contract_view(customer, row))
            }
            _ => missing_contract(&customer),
        };
    }
    let state = facts.lock();
    let Some(in_force) = state.contracts.find(&customer) else {
        return missing_contract(&customer);
    };
    let (revision, text) = (in_force.revision, Some(in_force.text.clone()));
    HttpResponse::Ok().json(ContractView { customer, revision, text, by: String::new(), at_ms: 0 })
}

/// Shows all revisions of a contract, newest first.
pub async fn history(platform: Data<HttpClient>, customer: Path<String>) -> HttpResponse {
    let prefix = format!("{}{customer}/", keys::HISTORY);
    match platform.scan(&prefix).await {
        Ok(rows) => {
            let rows = rows.iter().rev().filter_map(decode::<ContractRow>);
            let rows: Vec<ContractView> =
                rows.map(|row| contract_view(customer.clone(), row)).collect();
            HttpResponse::Ok().json(rows)
        }
        Err(error) => read_error_response(&error),
    }
}

/// Applies a contract; success means that the change was committed.
pub async fn apply(
    facts: Data<Facts>,
    platform: Data<HttpClient>,
    customer: Path<String>,
    query: Query<ChangeQuery>,
    body: web::Bytes,
) -> HttpResponse {
    let text = String::from_utf8_lossy(&body).into_owned();
    let file = if query.file.is_empty() { "contract" } else { &query.file };
    let refusal = match fleet::file::parse(file, &text) {
        Err(problems) => Some(problems.to_string()),
        Ok(contract) if contract.customer != *customer => {
            Some(format!("{file}: customer: is '{}', not '{customer}'", contract.customer))
        }
        Ok(contract) => match pool_conflict(&facts, &contract) {
            Some(refusal) => Some(refusal),
            None if query.ahead => None,
            None => match capacity_refusal(&facts, &platform, &contract).await {
                Ok(refusal) => refusal,
                Err(response) => return response,
            },
        },
    };
    if let Some(refusal) = refusal {
        facts.timeline().record(Event::ContractRefused, &[("customer", &customer.as_str())]);
        return HttpResponse::UnprocessableEntity().json(ErrorBody::new(refusal));
    }
    commit_change(&facts, &platform, &customer, query.base, Some(text)).await
}

/// Deletes a contract and writes a tombstone in its place.
pub async fn delete(
    facts: Data<Facts>,
    platform: Data<HttpClient>,
    customer: Path<String>,
    query: Query<ChangeQuery>,
) -> HttpResponse {
    commit_change(&facts, &platform, &customer, query.base, None).await
}

/// Returns the first known data centre whose instance list was not read yet.
fn first_centre_without_list(facts: &Facts) -> Option<String> {
    let state = facts.lock();
    let members = state.members.values().map(|known| &known.member.centre);
    let mut centres = std::iter::once(&state.me.centre).chain(members);
    let has_list =
        |centre: &String| state.lists.get(centre).is_some_and(|list| list.watermark() > 0);
    centres.find(|centre| !has_list(centre)).cloned()
}

/// Returns why the instances can't meet a contract, or `None` if they can.
///
/// # Errors
///
/// Returns the response to send if this can't be decided now.
async fn capacity_refusal(
    facts: &Facts,
    platform: &HttpClient,
    contract: &fleet::Contract,
) -> Result<Option<String>, HttpResponse> {
    if let Some(centre) = first_centre_without_list(facts) {
        let refusal =
            format!("the instance list of data centre '{centre}' is not known here yet, try again");
        return Err(HttpResponse::ServiceUnavailable().json(ErrorBody::new(refusal)));
    }
    let shortages = plans::current_shortages(facts, contract);
    if shortages.is_empty() {
        return Ok(None);
    }
    // The lists are copies that may be out of date while the platform is unreachable. This read
    // makes sure that it can be reached.
    platform.read(&[keys::HEAD.to_owned()]).await.map_err(|error| read_error_response(&error))?;
    let hint = "apply it with --ahead when the instances are still to come";
    Ok(Some(format!("{}\n{hint}", shortages.join("\n"))))
}

/// Returns why a contract is refused if it names a pool of another customer's contract.
fn pool_conflict(facts: &Facts, contract: &fleet::Contract) -> Option<String> {
    let state = facts.lock();
    for (customer, _, in_force) in state.contracts.live() {
        if customer == contract.customer {
            continue;
        }
        for service in &contract.services {
            if in_force.contract.service_of_pool(&service.pool).is_some() {
                let pool = &service.pool;
                return Some(format!("pool '{pool}' belongs to customer '{customer}'"));
            }
        }
    }
    None
}

/// Commits a change if the contract still has the revision on which the change is based.
async fn commit_change(
    facts: &Facts,
    platform: &HttpClient,
    customer: &str,
    base: u64,
    text: Option<String>,
) -> HttpResponse {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let row_keys = [keys::HEAD.to_owned(), keys::contract(customer)];
        let rows = match platform.read(&row_keys).await {
            Ok(rows) => rows,
            Err(error) => return read_error_response(&error),
        };
        let current: ContractRow = decode(&rows[1]).unwrap_or_default();
        if current.revision != base {
            return stale_response(facts, customer, base, current.revision);
        }
        match commit_revision(facts, platform, customer, &rows, text.clone()).await {
            Ok(revision) => return accepted_response(facts, customer, revision),
            // A change to another contract used this revision number: read the rows again.
            Err(CommitError::Conflict { .. }) => {}
            Err(error) => return commit_error_response(&error),
        }
    }
    HttpResponse::ServiceUnavailable().json(ErrorBody::new("too many changes at once, try again"))
}

/// Commits a contract text, or a tombstone, under the next revision number.
///
/// `rows` are the head row and the contract row on which the change is based.
async fn commit_revision(
    facts: &Facts,
    platform: &HttpClient,
    customer: &str,
    rows: &[Row],
    text: Option<String>,
) -> Result<u64, CommitError> {
    let head: HeadRow = decode(&rows[0]).unwrap_or_default();
    let revision = head.revision + 1;
    let (by, at_ms) = (facts.lock().me.name.clone(), base::timeline::wall_ms());
    let row = json(&ContractRow { revision, text, by, at_ms });
    let txn = new_txn(facts, "contract")
        .expect(keys::HEAD, rows[0].version)
        .expect(keys::contract(customer), rows[1].version)
        .put(keys::HEAD, json(&HeadRow { revision }))
        .put(keys::contract(customer), row.clone())
        .put(keys::history(customer, revision), row);
    platform.commit(&txn, WRITE_TIMEOUT).await.map(|_| revision)
}

/// Records a committed change and returns its response.
fn accepted_response(facts: &Facts, customer: &str, revision: u64) -> HttpResponse {
    let fields: [(&str, &dyn std::fmt::Display); 2] =
        [("customer", &customer), ("revision", &revision)];
    facts.timeline().record(Event::ContractCommitted, &fields);
    HttpResponse::Ok().json(Accepted { customer: customer.to_owned(), revision })
}

/// Records a change that is not based on the newest revision and returns its response.
fn stale_response(facts: &Facts, customer: &str, base: u64, revision: u64) -> HttpResponse {
    facts.timeline().record(Event::ContractRefused, &[("customer", &customer)]);
    let error = format!("the change was made on revision {base}, the newest is {revision}");
    HttpResponse::Conflict().json(ErrorBody { error, revision: Some(revision) })
}

/// Returns the response for a customer without a contract.
fn missing_contract(customer: &str) -> HttpResponse {
    HttpResponse::NotFound().json(ErrorBody::new(format!("no contract of customer '{customer}'")))
}

/// Converts the row of a contract for an operator.
fn contract_view(customer: String, row: ContractRow) -> ContractView {
    ContractView { customer, revision: row.revision, text: row.text, by: row.by, at_ms: row.at_ms }
}
